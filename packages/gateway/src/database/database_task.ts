import {fail, supersedesLeadership} from '@pistachiorill/core';
import type {
  PrimaryObservation,
  VersionedLeadership,
} from '@pistachiorill/core';
import {Task} from '@pistachiorill/tasks';
import type {Reply} from '@pistachiorill/tasks';
import type {ListedMember} from '../ports/member_directory.js';
import type {CheckoutValidity, DatabaseMessage} from './database_message.js';
import type {DatabaseDependencies} from './database_tools.js';
import type {Checkout} from './checkout.js';
import {DeferredCheckouts} from './deferred_checkouts.js';
import {enqueueCheckout} from './enqueue_checkout.js';
import {MemberConnection} from './member_connection.js';
import {MemberLimitLog} from './member_limit_log.js';
import {MemberProbes} from './member_probes.js';
import {MemberTable} from './member_table.js';
import {OverloadRefusals} from './overload_refusals.js';
import {placeStatement} from './place_statement.js';
import {PendingPrimaryStops} from './pending_primary_stops.js';
import {primaryToStop, promotedMember} from './primary_to_stop.js';
import {PrimarySampler} from './primary_sampler.js';
import {RecentPositions} from './recent_positions.js';

const MAINTENANCE_INTERVAL_MS = 50;

type CheckoutMessage = Extract<DatabaseMessage, {kind: 'check-out'}>;

/** Owns this VM's members, connections and leadership record of one group. */
export class DatabaseTask extends Task<DatabaseMessage> {
  private leadership: VersionedLeadership | undefined;
  private readonly positions = new RecentPositions();
  private readonly members: MemberTable;
  private readonly stops = new PendingPrimaryStops();
  private readonly deferred = new DeferredCheckouts();
  private ticker: NodeJS.Timeout | undefined;
  private readonly probes: MemberProbes;
  private readonly refusals: OverloadRefusals;
  private readonly sampler: PrimarySampler;

  constructor(
    private readonly group: string,
    private readonly deps: DatabaseDependencies,
  ) {
    super();
    const {vm, regionOf, clock} = deps;
    const open = (listed: ListedMember, workspace: string): MemberConnection =>
      this.openConnection(listed, workspace);
    this.sampler = new PrimarySampler({open, clock});
    this.refusals = new OverloadRefusals(deps);
    const limitLog = new MemberLimitLog(group, deps);
    this.members = new MemberTable({
      vm,
      regionOf,
      open,
      onConcurrency: (member, state) => limitLog.changed(member, state),
    });
    this.probes = new MemberProbes(group, deps.links, this.members);
  }

  protected override handle(message: DatabaseMessage): void {
    this.dispatch(message, this.deps.clock());
    this.scheduleTick();
  }

  protected override onFailure(err: unknown): void {
    this.deps.onFailed(err);
  }

  private dispatch(message: DatabaseMessage, now: number): void {
    switch (message.kind) {
      case 'view':
        this.members.setView(message.view, now);
        this.retryDeferred(now);
        return;
      case 'leadership':
        this.setLeadership(message.leadership, now);
        return;
      case 'check-out':
        this.checkOut(message, now);
        return;
      case 'return': {
        const {member, connection} = message.checkout;
        this.members.pool(member)?.returnConnection(connection, now);
        this.finishStops(now);
        return;
      }
      case 'confirm':
        message.reply.answer(this.validityOf(message.checkout));
        return;
      case 'behind':
        this.members.behind(message.member, message.applied, now);
        return;
      case 'not-primary':
        this.handleNotPrimary(message.member, now);
        return;
      case 'sent':
        this.members.sent(message.member, message.connection, now);
        return;
      case 'answered':
        this.answered(message);
        return;
      case 'fault':
        this.handleFault(message, now);
        return;
      case 'probed':
        if (
          this.probes.ended(message.member, message.status, now) === 'failed'
        ) {
          return;
        }
        this.logMember(
          'member.answers',
          message.member,
          'member responds again',
        );
        this.retryDeferred(now);
        return;
      case 'stop-primary':
        this.stopPrimary(message, now);
        return;
      case 'sight':
        this.runInBackground(() => this.sight(message.reply));
        return;
      case 'status':
        this.runInBackground(async () =>
          message.reply.answer(await this.probes.status(message.member)),
        );
        return;
      case 'step-down':
        this.runInBackground(() =>
          this.probes.stepDown(message.member, message.term),
        );
        return;
      case 'positions':
        for (const waiting of this.positions.merge(message.samples)) {
          this.checkOut(waiting, now);
        }
        return;
      case 'samples':
        message.reply.answer(this.positions.samples);
        return;
      case 'sample-primary':
        this.samplePrimary();
        return;
      case 'tick':
        this.tick(now);
        return;
      case 'close':
        this.close();
        return;
    }
  }

  private openConnection(
    listed: ListedMember,
    workspace: string,
  ): MemberConnection {
    const {links, clock, onStatement, onFailed} = this.deps;
    const {member, address} = listed;
    const connection: MemberConnection = new MemberConnection(
      member,
      links.create({member, address, group: this.group}, workspace),
      clock,
      {
        onSent: () => this.tell({kind: 'sent', member, connection}),
        onAnswered: info =>
          this.tell({kind: 'answered', member, connection, info, at: clock()}),
        onFault: fault => this.tell({kind: 'fault', member, connection, fault}),
        onStatement: (state, at) => onStatement?.(workspace, state, at),
      },
      onFailed,
    );
    return connection;
  }

  /** Applies a newer leadership record; stops using a replaced primary. */
  private setLeadership(
    leadership: VersionedLeadership | undefined,
    now: number,
  ): void {
    if (!leadership) return;
    const known = this.leadership;
    if (known && !supersedesLeadership(leadership, known)) return;
    const before = known?.record;
    this.leadership = leadership;
    this.sampler.close();
    const {record, version} = leadership;
    this.deps.log.info(
      {event: 'leadership.learned', group: this.group, version, record},
      'leadership record of the group changed',
    );
    const stop = primaryToStop(before, record);
    // Statements of the former primary finish or are aborted.
    const pool = stop && this.members.pool(stop.member);
    if (stop?.mode === 'abandon') pool?.abandon();
    else pool?.drain();
    const promoted = promotedMember(before, record);
    if (promoted !== undefined) this.members.promoted(promoted, now);
    this.retryDeferred(now);
  }

  private stopPrimary(
    message: Extract<DatabaseMessage, {kind: 'stop-primary'}>,
    now: number,
  ): void {
    const {leadership, mode, reply} = message;
    this.setLeadership(leadership, now);
    const {record} = leadership;
    if (record.phase !== 'moving') {
      reply.answer(undefined);
      return;
    }
    this.stops.add(record.from, mode, reply, now);
    this.finishStops(now);
  }

  private finishStops(now: number): void {
    if (this.stops.size === 0) return;
    const latestPosition = this.positions.samples.at(-1)?.end;
    this.stops.finish(member => this.members.pool(member), latestPosition, now);
  }

  private checkOut(message: CheckoutMessage, now: number): void {
    if (this.deferred.refuseIfClosed(message)) return;
    const {request, reply} = message;
    const requestPositions = () => this.deps.requestPositions(this.group);
    if (this.positions.holdBack(message, now, requestPositions)) return;
    const placed = placeStatement(request, {
      members: this.members,
      samples: this.positions.samples,
      primaryLease: this.deps.primaryLease(this.leadership),
      record: this.leadership?.record,
      now,
    });
    if (placed.ok) {
      enqueueCheckout(placed.value, request, {
        pool: this.members.pool(placed.value.member),
        refusals: this.refusals,
        reply,
        // Placed again, as another member or the next primary may run it.
        placeAgain: () => this.tell({kind: 'check-out', request, reply}),
        clock: this.deps.clock,
      });
    } else if (placed.err.kind === 'primary-changing' && now < request.until) {
      this.deferred.add(message);
    } else {
      reply.answer(fail(this.refusals.spread(placed.err)));
    }
  }

  /** Asks the primary for the end of its log, if it may receive work. */
  private samplePrimary(): void {
    const lease = this.deps.primaryLease(this.leadership);
    if (lease.kind === 'denied') return;
    const listed = this.members.listed(lease.primary);
    if (listed && this.members.accepts(listed)) this.sampler.sample(listed);
  }

  /** A replica's result stays valid: the replica had the required position. */
  private validityOf({role, member}: Checkout): CheckoutValidity {
    return role === 'replica' || this.isPrimary(member) ? 'valid' : 'expired';
  }

  private isPrimary(member: string): boolean {
    const lease = this.deps.primaryLease(this.leadership);
    return lease.kind === 'granted' && lease.primary === member;
  }

  private answered(
    message: Extract<DatabaseMessage, {kind: 'answered'}>,
  ): void {
    const {member, connection, info, at} = message;
    if (this.members.answered(member, connection, info, at)) {
      this.logMember('member.answers', member, 'member responds again');
    }
    const {sentAt, applied: end} = info;
    // A position counts only if the VM holds the primary lease on receipt.
    if (end && this.isPrimary(member)) {
      this.positions.add({askedAt: sentAt, end});
    }
  }

  private handleFault(
    message: Extract<DatabaseMessage, {kind: 'fault'}>,
    now: number,
  ): void {
    const {member, connection, fault} = message;
    const effect = this.members.recordFault(member, connection, fault, now);
    if (effect === 'failed') {
      this.logMember('member.fails', member, 'member does not respond', fault);
    }
    if (effect !== 'answered') this.suspect(now);
  }

  /** Handles the report of the recorded primary that it is not the primary. */
  private handleNotPrimary(member: string, now: number): void {
    if (!this.isPrimary(member)) return;
    this.members.failed(member, now);
    this.suspect(now);
  }

  /** Reports the recorded primary if it is unreachable. */
  private suspect(now: number): void {
    const record = this.leadership?.record;
    if (record?.phase !== 'settled') return;
    const {primary} = record;
    if (this.members.observation(primary, now) !== 'unreachable') return;
    const since = this.members.failingSince(primary) ?? now;
    this.deps.onPrimaryUnreachable(this.group, primary, since);
  }

  /**
   * Replies with this VM's observation of the primary, or of the one that is
   * being replaced.
   */
  private async sight(reply: Reply<PrimaryObservation>): Promise<void> {
    const record = this.leadership?.record;
    const primary =
      (record?.phase === 'settled' ? record.primary : record?.from) ?? '';
    reply.answer(await this.probes.observe(primary, this.deps.clock()));
  }

  private tick(now: number): void {
    this.members.maintain(now);
    this.probeFailedMembers(now);
    this.finishStops(now);
    this.retryDeferred(now);
    this.suspect(now);
  }

  /** Probes failing members, so that no caller's statement has to. */
  private probeFailedMembers(now: number): void {
    for (const member of this.probes.start(now)) {
      this.runInBackground(async () => {
        const status = await this.probes.status(member);
        this.tell({kind: 'probed', member, status});
      });
    }
  }

  private retryDeferred(now: number): void {
    for (const message of this.deferred.takeAll()) this.checkOut(message, now);
  }

  private close(): void {
    clearTimeout(this.ticker);
    this.members.abandonAll();
    this.sampler.close();
    this.deferred.close(this.positions.merge([]));
  }

  /** Schedules maintenance while requests wait or a member is in use. */
  private scheduleTick(): void {
    const isBusy =
      this.deferred.size > 0 || this.stops.size > 0 || this.members.isBusy;
    if (this.ticker || !isBusy) return;
    this.ticker = setTimeout(() => {
      this.ticker = undefined;
      this.tell({kind: 'tick'});
    }, MAINTENANCE_INTERVAL_MS);
  }

  private logMember(
    event: string,
    member: string,
    text: string,
    fault?: unknown,
  ): void {
    this.deps.log.info({event, group: this.group, member, fault}, text);
  }
}
