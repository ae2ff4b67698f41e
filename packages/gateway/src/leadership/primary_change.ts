import {
  chooseSuccessor,
  eraOf,
  isOfEra,
  laterPosition,
} from '@pistachiorill/core';
import type {
  LeadershipRecord,
  LogPosition,
  SuccessorChoice,
} from '@pistachiorill/core';
import {sleep} from '@pistachiorill/tasks';
import {
  COORDINATOR_LEASE_KEY,
  encodeLeadership,
  leadershipKey,
} from '../fleet/fleet_rows.js';
import {
  CoordinatorLeaseHolder,
  ORDER_TIMEOUT_MS,
  STORE_RETRY_MS,
} from './coordinator_lease_holder.js';
import type {
  PrimaryChangeOutcome,
  PrimaryChangeRequest,
  PrimaryChangeDependencies,
} from './primary_change_dependencies.js';
import {PrimaryStopper} from './primary_stopper.js';
import type {ChangeAnnouncement} from './primary_stopper.js';
import {SettledRecordWriter} from './settled_record_writer.js';
import {collectReports, statusOf} from './successor_reports.js';

const STATUS_INTERVAL_MS = 60;
const ORDER_RETRY_MS = 200;
/** A promotion that has not taken effect after this time is ordered again. */
const PROMOTION_WAIT_MS = 2_500;
/**
 * The former primary is evaluated again if stopping its use took at least this
 * long, as it may be reachable again by then.
 */
const REEVALUATE_AFTER_MS = 1_000;
/** A change that takes longer is given up, and another VM may take it over. */
const CHANGE_TIMEOUT_MS = 20_000;

/**
 * Carries out one primary change. The order of the steps keeps the former
 * primary from serving beside its successor: the stored record announces the
 * change; every VM stops using the former primary or its primary lease expires;
 * only then a successor is promoted and recorded.
 */
export class PrimaryChange {
  private readonly startedAt: number;
  private readonly lease: CoordinatorLeaseHolder;
  private readonly primaryStopper: PrimaryStopper;
  private readonly recordWriter: SettledRecordWriter;
  /** Whether a promotion that this change ordered may still take effect. */
  private orders: 'none' | 'may-take-effect' = 'none';
  /** The last choice that was logged, as text. */
  private loggedChoice = '';

  /** Creates a change under the coordinator lease with the given number. */
  constructor(
    private readonly request: PrimaryChangeRequest,
    private readonly fence: number,
    private readonly deps: PrimaryChangeDependencies,
  ) {
    this.startedAt = deps.clock();
    this.lease = new CoordinatorLeaseHolder(fence, deps);
    this.primaryStopper = new PrimaryStopper(request, {
      ...deps,
      renewLeaseIfNeeded: () => this.renewLeaseIfNeeded(),
      onStep: (step, details) => this.log(step, details),
    });
    this.recordWriter = new SettledRecordWriter({
      ...deps,
      group: request.group,
      isWithinTimeLimit: () => this.isWithinTimeLimit(),
      onStep: (step, details) => this.log(step, details),
    });
  }

  /** Runs the change. */
  async run(): Promise<PrimaryChangeOutcome> {
    const announced = await this.announce();
    if (!announced) return 'lost';
    const lastPosition = await this.primaryStopper.stopAll(announced);
    const revertOutcome = await this.revertIfReachable(announced);
    return revertOutcome ?? this.promoteSuccessor(announced, lastPosition);
  }

  /**
   * Keeps a former primary that was unreachable because of a partition, if it
   * is reachable again by the time the VMs behind the partition could be asked
   * to stop. A promotion would drop the commits that it made meanwhile.
   */
  private async revertIfReachable(
    announced: ChangeAnnouncement,
  ): Promise<PrimaryChangeOutcome | undefined> {
    const {from, reason} = this.request;
    const waitedMs = this.deps.clock() - this.startedAt;
    if (reason !== 'unreachable' || waitedMs < REEVALUATE_AFTER_MS) {
      return undefined;
    }
    const former = await statusOf(this.deps.database, from);
    if (!former.ok || former.value.role !== 'primary') return undefined;
    if ((await this.deps.reevaluate()) === 'replace') return undefined;
    return this.revert(announced);
  }

  /**
   * Writes the record that announces the change, or takes over the one that an
   * earlier coordinator wrote.
   */
  private async announce(): Promise<ChangeAnnouncement | undefined> {
    const {group, from, reason} = this.request;
    while (this.isWithinTimeLimit()) {
      const view = this.deps.view();
      const current = view.rows.leadership.get(group);
      const lease = view.rows.duty;
      if (!current || !lease) return undefined;
      if (!this.lease.holds(lease.value, this.deps.clock())) return undefined;
      const {record} = current;
      const recorded = recordedPrimary(record);
      if (recorded.member !== from) return undefined;
      const fromTerm = recorded.term;
      const moving = {phase: 'moving' as const, from, fromTerm, reason};
      const result = await this.deps.transact({
        expected: new Map([
          [leadershipKey(group), current.version],
          [COORDINATOR_LEASE_KEY, lease.version],
        ]),
        puts: new Map([
          [leadershipKey(group), encodeLeadership(moving, this.era())],
        ]),
      });
      if (result.ok) {
        this.log('announced', {version: result.value.version, fromTerm});
        const origin = record.phase === 'settled' ? 'own-move' : 'taken-over';
        return {...result.value, fromTerm, origin};
      }
      this.log('announce-failed', {err: result.err});
      await sleep(STORE_RETRY_MS);
    }
    return undefined;
  }

  /**
   * Records the former primary again instead of a successor. Returns undefined if
   * it is certain that this does not take effect, so that a promotion may be
   * ordered.
   */
  private async revert(
    announced: ChangeAnnouncement,
  ): Promise<PrimaryChangeOutcome | undefined> {
    const primary = this.request.from;
    const term = announced.fromTerm;
    const record = {phase: 'settled' as const, primary, term};
    const outcome = await this.recordWriter.write(record, announced, () =>
      this.revertConditions(announced),
    );
    if (outcome === 'not-written') return undefined;
    this.log('reverted', {primary, outcome});
    switch (outcome) {
      case 'written':
        return 'reverted';
      case 'superseded':
        return 'lost';
      case 'unknown':
        return this.lease.isTakenOver() ? 'lost' : 'given-up';
    }
  }

  /**
   * Returns the rows that must not change before the former primary is recorded
   * again; undefined if it must not be. Another VM as coordinator may have ordered
   * a promotion that takes effect later, so the coordinator lease must not have
   * changed hands since the announcement. An order of this change excludes the
   * return as well: its member may lead although it does not answer this VM.
   */
  private revertConditions(
    announced: ChangeAnnouncement,
  ): ReadonlyMap<string, number> | undefined {
    const lease = this.deps.view().rows.duty;
    const isOwn =
      this.orders === 'none' &&
      announced.origin === 'own-move' &&
      lease?.value.holder === this.deps.vm &&
      lease.value.fence === this.fence &&
      isOfEra(lease.value, this.era());
    return isOwn
      ? new Map([[COORDINATOR_LEASE_KEY, lease.version]])
      : undefined;
  }

  /**
   * Collects reports until a successor can be chosen, promotes and records it.
   * Records the former primary again if no other member answers.
   */
  private async promoteSuccessor(
    announced: ChangeAnnouncement,
    lastPosition: LogPosition | undefined,
  ): Promise<PrimaryChangeOutcome> {
    const choosingSince = this.deps.clock();
    // In another era of the store the lease of this change does not count.
    const era = eraOf(announced.version);
    while (this.isWithinTimeLimit() && this.era() === era) {
      if (this.recordWriter.isSuperseded(announced)) return 'lost';
      const waitedMs = this.deps.clock() - choosingSince;
      const {choice, minTerm, former} = await this.choose(
        announced,
        lastPosition,
        waitedMs,
      );
      if (choice.kind === 'already') {
        return this.settle(announced, choice.member, choice.term);
      }
      if (choice.kind === 'promote') {
        const term = await this.promote(choice.member, minTerm);
        if (term !== undefined) {
          return this.settle(announced, choice.member, term);
        }
        if (this.lease.isTakenOver()) {
          this.log('duty', {outcome: 'lost'});
          return 'lost';
        }
      } else if (
        choice.reason === 'no-report' &&
        former?.role === 'primary' &&
        waitedMs > PROMOTION_WAIT_MS
      ) {
        const outcome = await this.revert(announced);
        if (outcome) return outcome;
      }
      await sleep(STATUS_INTERVAL_MS);
    }
    return 'given-up';
  }

  /**
   * Queries all members and chooses a successor. It leads in `minTerm` or a later
   * term once it is promoted.
   */
  private async choose(
    announced: ChangeAnnouncement,
    lastPosition: LogPosition | undefined,
    waitedMs: number,
  ) {
    const {from, reason} = this.request;
    const replacedTerm = announced.fromTerm ?? 0;
    const others = this.deps.members().filter(item => item.member !== from);
    const [reports, status] = await Promise.all([
      collectReports(others, this.deps),
      statusOf(this.deps.database, from),
    ]);
    const former = status.ok ? status.value : undefined;
    const required =
      reason === 'leaving'
        ? laterPosition(lastPosition, former?.received)
        : undefined;
    const listing = this.deps.listing();
    if (listing === 'partial') this.deps.requestList();
    const choice = chooseSuccessor({
      reports,
      former,
      replacedTerm,
      lastPosition,
      listedCount: others.length,
      listing,
      required,
      synchronousReplicas: this.deps.synchronousReplicas(),
      waitedMs,
    });
    this.logChoice(choice, {replacedTerm, lastPosition, listing, reports});
    const minTerm = Math.max(
      replacedTerm + 1,
      lastPosition?.term ?? 0,
      former?.term ?? 0,
      ...reports.map(item => item.term),
    );
    return {choice, minTerm, former};
  }

  /**
   * Orders the promotion and waits until the member is primary in `minTerm` or a
   * later term; returns its term. A member that was primary before reports to be
   * primary in its earlier term until the order takes effect.
   */
  private async promote(
    member: string,
    minTerm: number,
  ): Promise<number | undefined> {
    const {group} = this.request;
    const until = this.deps.clock() + PROMOTION_WAIT_MS;
    let ordered: 'no' | 'yes' = 'no';
    while (this.deps.clock() < until) {
      if (ordered === 'no') {
        const lease = this.deps.view().rows.duty;
        const now = this.deps.clock();
        if (!lease || !this.lease.holds(lease.value, now)) {
          // Renews the lease under the same number while no other VM holds it.
          if (!(await this.lease.renew(now))) return undefined;
          continue;
        }
        const result = await this.deps.orders.promote(
          {group, member, holder: this.deps.vm, fence: this.fence},
          ORDER_TIMEOUT_MS,
        );
        this.log('ordered', {member, result: result.ok ? 'done' : result.err});
        if (!result.ok && result.err.kind === 'rejected') return undefined;
        if (result.ok || result.err.kind === 'unknown-outcome') {
          this.orders = 'may-take-effect';
        }
        if (result.ok) ordered = 'yes';
        else await sleep(ORDER_RETRY_MS);
      }
      const status = await statusOf(this.deps.database, member);
      if (
        status.ok &&
        status.value.role === 'primary' &&
        status.value.term >= minTerm
      ) {
        return status.value.term;
      }
      await sleep(STATUS_INTERVAL_MS);
    }
    return undefined;
  }

  private async renewLeaseIfNeeded(): Promise<void> {
    const outcome = await this.lease.renewIfNeeded(this.deps.clock());
    if (outcome) this.log('duty', {outcome});
  }

  /**
   * Records the new primary and demotes the former one. Only the announcement of
   * this change is replaced: another coordinator announces the change anew
   * before it orders the promotion of a member of its own choice.
   */
  private async settle(
    announced: ChangeAnnouncement,
    primary: string,
    term: number,
  ): Promise<PrimaryChangeOutcome> {
    const record = {phase: 'settled' as const, primary, term};
    const outcome = await this.recordWriter.write(
      record,
      announced,
      () => new Map(),
    );
    if (outcome === 'superseded') return 'lost';
    if (outcome !== 'written') return 'given-up';
    this.log('settled', {primary, term});
    const {from} = this.request;
    this.deps.database.tell({kind: 'step-down', member: from, term});
    return 'settled';
  }

  /** The era of the store's rows. */
  private era(): number {
    return eraOf(this.deps.view().version);
  }

  private isWithinTimeLimit(): boolean {
    return this.deps.clock() - this.startedAt < CHANGE_TIMEOUT_MS;
  }

  /** Logs a choice, with what it was based on, if it differs from the last. */
  private logChoice(choice: SuccessorChoice, inputs: object): void {
    const key = JSON.stringify(choice);
    if (key === this.loggedChoice) return;
    this.loggedChoice = key;
    this.log('chosen', {choice, ...inputs});
  }

  private log(step: string, details: object): void {
    this.deps.log.info(
      {
        event: 'move.step',
        step,
        ...this.request,
        fence: this.fence,
        elapsedMs: Math.round(this.deps.clock() - this.startedAt),
        ...details,
      },
      'primary change step',
    );
  }
}

/** Returns the member that leads, or that is replaced, and its recorded term. */
function recordedPrimary(record: LeadershipRecord) {
  return record.phase === 'settled'
    ? {member: record.primary, term: record.term}
    : {member: record.from, term: record.fromTerm};
}
