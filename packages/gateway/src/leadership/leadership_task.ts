import {
  SUSPECT_AFTER_MS,
  earliestStoreTime,
  eraOf,
  mayHoldPrimaryLease,
  rankDelayMs,
  rendezvousOrder,
} from '@pistachiorill/core';
import type {PrimaryChangeReason, SuspicionOutcome} from '@pistachiorill/core';
import {Task} from '@pistachiorill/tasks';
import type {DatabaseTask} from '../database/database_task.js';
import {encodeLeadership, leadershipKey} from '../fleet/fleet_rows.js';
import {isStoreResponsive, isProven} from '../fleet/fleet_view.js';
import type {DirectoryView} from '../operators/member_list.js';
import type {ListedMember} from '../ports/member_directory.js';
import {collectVerdict} from './collect_verdict.js';
import {LeadershipRewriter} from './leadership_rewriter.js';
import {LeaseAcquirer} from './lease_acquirer.js';
import {MissingPrimaries} from './missing_primaries.js';
import {PrimaryChange} from './primary_change.js';
import type {
  PrimaryChangeOutcome,
  PrimaryChangeDependencies,
} from './primary_change_dependencies.js';

/** How often all groups are checked for a needed primary change. */
const REVIEW_INTERVAL_MS = 250;
/** First pause between evaluations of a primary; doubles up to the maximum. */
const EVALUATION_INTERVAL_MS = 400;
const MAX_EVALUATION_INTERVAL_MS = 2_000;
/** The pause between evaluations starts over when none ran for this long. */
const SUSPICION_RESET_MS = 5_000;
/**
 * How long a switchover waits for unresponsive VMs while the primary still
 * serves. It ends before VMs stop using a primary that is leaving.
 */
const SWITCHOVER_WAIT_MS = 3_500;
const PING_TIMEOUT_MS = 250;

/** Messages that the leadership task handles. */
export type LeadershipMessage =
  /** This VM has not reached a primary since the given time. */
  | {
      readonly kind: 'suspected';
      readonly group: string;
      readonly primary: string;
      readonly since: number;
    }
  /** A peer asks this VM, as the coordinator, to evaluate a group's primary. */
  | {readonly kind: 'asked'; readonly group: string}
  | {readonly kind: 'review'}
  | {
      readonly kind: 'change-ended';
      readonly group: string;
      readonly outcome: PrimaryChangeOutcome;
    }
  | {readonly kind: 'stop'};

/** Collaborators of the task, with lookups by group. */
export interface LeadershipDependencies extends Omit<
  PrimaryChangeDependencies,
  'database' | 'members' | 'listing' | 'synchronousReplicas' | 'reevaluate'
> {
  readonly groups: () => readonly string[];
  readonly database: (group: string) => DatabaseTask | undefined;
  readonly members: (group: string) => readonly ListedMember[];
  readonly synchronousReplicas: (group: string) => number;
  /** Whether a member's data centre is out of service. */
  readonly isOutOfService: (member: ListedMember) => boolean;
  /** The list of members; undefined if none was received since the start. */
  readonly directory: () => DirectoryView | undefined;
  readonly onChangeEnded: (outcome: PrimaryChangeOutcome) => void;
  readonly onFailed: (err: unknown) => void;
}

/** A needed primary change and since when it has been needed. */
interface PendingChange {
  readonly reason: PrimaryChangeReason;
  readonly from: string;
  readonly since: number;
}

/** Detects that a group needs another primary; changes it as coordinator. */
export class LeadershipTask extends Task<LeadershipMessage> {
  /** Groups whose primary change runs on this VM. */
  private readonly runningChanges = new Set<string>();
  private readonly pendingChanges = new Map<string, PendingChange>();
  /** By group, the last evaluation and the pause until the next one. */
  private readonly evaluations = new Map<
    string,
    {readonly at: number; readonly waitMs: number}
  >();
  private timer: NodeJS.Timeout | undefined;
  /** Groups whose switchover waits for the VMs' answers to a ping. */
  private readonly pingingGroups = new Set<string>();
  private readonly lease: LeaseAcquirer;
  private readonly rewriter: LeadershipRewriter;
  private readonly missing: MissingPrimaries;

  constructor(private readonly deps: LeadershipDependencies) {
    super();
    this.lease = new LeaseAcquirer(deps);
    this.missing = new MissingPrimaries(deps.log);
    this.rewriter = new LeadershipRewriter({
      ...deps,
      rankDelay: group => this.rankDelay(group),
    });
  }

  protected override handle(message: LeadershipMessage): void {
    switch (message.kind) {
      case 'suspected':
        this.handleSuspicion(message.group, message.primary, message.since);
        return;
      case 'asked':
        this.runInBackground(() => this.evaluatePrimary(message.group, 0));
        return;
      case 'review':
        this.review();
        this.timer = setTimeout(
          () => this.tell({kind: 'review'}),
          REVIEW_INTERVAL_MS,
        );
        return;
      case 'change-ended':
        this.runningChanges.delete(message.group);
        this.pendingChanges.delete(message.group);
        this.deps.onChangeEnded(message.outcome);
        return;
      case 'stop':
        clearTimeout(this.timer);
        return;
    }
  }

  protected override onFailure(err: unknown): void {
    this.deps.onFailed(err);
  }

  private review(): void {
    const now = this.deps.clock();
    if (!isProven(this.deps.view(), now)) return;
    this.rewriter.review(now);
    const directory = this.deps.directory();
    if (!directory) return;
    for (const group of this.deps.groups()) {
      this.reviewGroup(group, directory, now);
    }
  }

  private reviewGroup(
    group: string,
    directory: DirectoryView,
    now: number,
  ): void {
    const record = this.deps.view().rows.leadership.get(group)?.record;
    if (!record) {
      this.recordFirstPrimary(group, now);
      return;
    }
    if (record.phase === 'moving') {
      this.considerChange(group, record.reason, record.from, now);
      return;
    }
    const presence = this.missing.review(group, record.primary, directory);
    if (presence === 'missing') this.deps.requestList();
    const listed = this.deps
      .members(group)
      .find(item => item.member === record.primary);
    if (presence === 'gone') {
      this.considerChange(group, 'gone', record.primary, now);
    } else if (listed && !this.deps.isEligible(listed)) {
      this.considerChange(group, 'leaving', record.primary, now);
    } else {
      this.pendingChanges.delete(group);
    }
  }

  /** Starts a primary change once its cause has lasted, delayed by rank. */
  private considerChange(
    group: string,
    reason: PrimaryChangeReason,
    from: string,
    now: number,
  ): void {
    const pending = this.pendingChanges.get(group);
    const change =
      pending?.reason === reason && pending.from === from
        ? pending
        : {reason, from, since: now};
    this.pendingChanges.set(group, change);
    if (now - change.since < this.rankDelay(group)) return;
    this.runInBackground(() => this.startChange(group, change));
  }

  /** Records the member that is listed as primary, before any VM uses it. */
  private recordFirstPrimary(group: string, now: number): void {
    const primary = this.deps
      .members(group)
      .find(item => item.role === 'primary');
    // The store may have gone back to a copy that lacks the record.
    if (!primary || this.lease.mustWait()) return;
    const pending = this.pendingChanges.get(group);
    const since = pending?.since ?? now;
    this.pendingChanges.set(group, {reason: 'gone', from: '', since});
    if (now - since < this.rankDelay(group)) return;
    this.pendingChanges.delete(group);
    const record = {phase: 'settled' as const, primary: primary.member};
    const era = eraOf(this.deps.view().version);
    void this.deps
      .transact({
        expected: new Map([[leadershipKey(group), 0]]),
        puts: new Map([[leadershipKey(group), encodeLeadership(record, era)]]),
      })
      .then(result =>
        this.deps.log.info(
          {
            event: 'leadership.first',
            group,
            primary: primary.member,
            result: result.ok ? 'done' : result.err,
          },
          'tried to record the first primary of the group',
        ),
      );
  }

  /** How long this VM waits before it acts; 0 for the VM that ranks first. */
  private rankDelay(group: string): number {
    const {vm, view, peers} = this.deps;
    const names = [...view().rows.vms.keys()].filter(
      name => name === vm || !peers.isUnresponsive(name),
    );
    const rank = rendezvousOrder(group, names).indexOf(vm);
    return rankDelayMs(rank);
  }

  private handleSuspicion(group: string, primary: string, since: number): void {
    const now = this.deps.clock();
    if (now - since < SUSPECT_AFTER_MS + this.rankDelay(group)) return;
    if (this.runningChanges.has(group)) return;
    const last = this.evaluations.get(group);
    if (last && now - last.at < last.waitMs) return;
    const record = this.deps.view().rows.leadership.get(group)?.record;
    if (record?.phase !== 'settled' || record.primary !== primary) return;
    this.runInBackground(() => this.evaluatePrimary(group, since));
  }

  private recordEvaluation(group: string, now: number): void {
    const last = this.evaluations.get(group);
    const isSame = last !== undefined && now - last.at < SUSPICION_RESET_MS;
    const waitMs = isSame
      ? Math.min(MAX_EVALUATION_INTERVAL_MS, last.waitMs * 2)
      : EVALUATION_INTERVAL_MS;
    this.evaluations.set(group, {at: now, waitMs});
  }

  /** Starts a failover if the VMs' observations call for it. */
  private async evaluatePrimary(group: string, since: number): Promise<void> {
    const {clock, view} = this.deps;
    const record = view().rows.leadership.get(group)?.record;
    if (record?.phase !== 'settled' || this.lease.mustWait()) return;
    this.recordEvaluation(group, clock());
    if ((await this.collectVerdict(group, record.primary)) === 'keep') return;
    const change: PendingChange = {
      reason: 'unreachable',
      from: record.primary,
      since,
    };
    await this.startChange(group, change);
  }

  private async collectVerdict(
    group: string,
    primary: string,
  ): Promise<SuspicionOutcome> {
    const database = this.deps.database(group);
    if (!database) return 'keep';
    return collectVerdict(group, primary, database, this.deps);
  }

  private async startChange(
    group: string,
    {reason, from, since}: PendingChange,
  ): Promise<void> {
    const database = this.deps.database(group);
    if (this.runningChanges.has(group) || !database) return;
    if (this.lease.mustWait()) return;
    if (reason === 'leaving' && !(await this.mayAnnounce(group, since))) return;
    // A change started without the store may be out of date when it returns.
    if (!isStoreResponsive(this.deps.view(), this.deps.clock())) return;
    const fence = await this.lease.acquire(group);
    if (fence === undefined || this.runningChanges.has(group)) return;
    this.runningChanges.add(group);
    const change = new PrimaryChange({group, from, reason}, fence, {
      ...this.deps,
      database,
      members: () => this.deps.members(group),
      listing: () => this.deps.directory()?.completeness ?? 'partial',
      synchronousReplicas: () => this.deps.synchronousReplicas(group),
      reevaluate: () => this.collectVerdict(group, from),
    });
    let outcome: PrimaryChangeOutcome = 'given-up';
    try {
      outcome = await change.run();
    } catch (err) {
      this.onFailure(err);
    }
    this.tell({kind: 'change-ended', group, outcome});
  }

  /** Whether all VMs can be asked to stop, or the wait for them is over. */
  private async mayAnnounce(group: string, since: number): Promise<boolean> {
    const {clock, peers, view, log} = this.deps;
    const record = view().rows.leadership.get(group)?.record;
    if (record?.phase !== 'settled') return true;
    const primary = this.deps
      .members(group)
      .find(item => item.member === record.primary);
    // The announcement stops all statements at the primary. Waiting first keeps
    // it available, unless it is unlisted or its data centre is out of service.
    if (!primary || this.deps.isOutOfService(primary)) return true;
    if (this.pingingGroups.has(group)) return false;
    this.pingingGroups.add(group);
    const answers = await Promise.all(
      peers.names.map(async vm => ({
        vm,
        ok: (await peers.ping(vm, PING_TIMEOUT_MS)).ok,
      })),
    );
    this.pingingGroups.delete(group);
    const unresponsive = answers.filter(item => !item.ok).map(item => item.vm);
    const holding = unresponsive.filter(vm => this.mayHoldPrimaryLease(vm));
    const waitedMs = Math.round(clock() - since);
    const outcome =
      holding.length === 0 || waitedMs >= SWITCHOVER_WAIT_MS ? 'go' : 'wait';
    if (holding.length > 0) {
      log.info(
        {event: 'move.planned', group, holding, waitedMs, outcome},
        'unresponsive VMs may still hold the primary lease',
      );
    }
    return outcome === 'go';
  }

  /** Whether an unresponsive VM may still hold primary leases. */
  private mayHoldPrimaryLease(vm: string): boolean {
    const {rows, storeClock} = this.deps.view();
    const lostBy = rows.shares?.value[vm]?.lostBy;
    const earliest = earliestStoreTime(storeClock, this.deps.clock());
    return lostBy === undefined || mayHoldPrimaryLease(lostBy, earliest);
  }
}
