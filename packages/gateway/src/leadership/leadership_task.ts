import {
  SUSPECT_AFTER_MS,
  decideDuty,
  earliestStoreTime,
  judgeSuspicion,
  latestStoreTime,
  mayStillHoldRight,
  rendezvousOrder,
} from '@pistachiorill/core';
import type {
  DutyRecord,
  MoveReason,
  PrimarySighting,
  SuspicionVerdict,
} from '@pistachiorill/core';
import {Task, ask} from '@pistachiorill/tasks';
import type {DatabaseTask} from '../database/database_task.js';
import {DUTY_KEY, leadershipKey} from '../fleet/fleet_rows.js';
import {hearsStore, isProven} from '../fleet/fleet_view.js';
import type {ListedMember} from '../ports/member_directory.js';
import {Move} from './move.js';
import type {MoveOutcome, MoveTools} from './move_tools.js';

/** How often the groups are looked over. */
const REVIEW_MS = 250;
/** VMs act in an order that depends on the group, so that one goes first. */
const RANK_DELAY_MS = 120;
/** A peer may try to reach the primary before it answers. */
const SIGHT_TIMEOUT_MS = 800;
/** How often one suspicion is judged; the interval doubles up to a limit. */
const JUDGE_INTERVAL_MS = 400;
const MAX_JUDGE_INTERVAL_MS = 2_000;
/** A suspicion that was not raised for this long starts anew. */
const SUSPICION_PAUSE_MS = 5_000;
/**
 * How long a planned change waits for VMs that do not answer, while its primary
 * still serves. It ends before VMs stop the use of a primary that leaves.
 */
const PLANNED_PATIENCE_MS = 3_500;
const PING_TIMEOUT_MS = 250;
/** How long a primary may be missing from the directory. */
const GONE_AFTER_MS = 1_500;

export type LeadershipMessage =
  | {
      readonly kind: 'suspected';
      readonly group: string;
      readonly primary: string;
      readonly since: number;
    }
  /** A peer asks this VM, as the holder of the duty, to look at a group. */
  | {readonly kind: 'asked'; readonly group: string}
  | {readonly kind: 'review'}
  | {
      readonly kind: 'moved';
      readonly group: string;
      readonly outcome: MoveOutcome;
    }
  | {readonly kind: 'stop'};

export interface LeadershipTools extends Omit<
  MoveTools,
  'database' | 'members' | 'synchronousReplicas' | 'judge'
> {
  readonly groups: () => readonly string[];
  readonly database: (group: string) => DatabaseTask | undefined;
  readonly members: (group: string) => readonly ListedMember[];
  readonly synchronousReplicas: (group: string) => number;
  /** Whether a member's data centre is out of service. */
  readonly isOut: (member: ListedMember) => boolean;
  /** Whether the directory has been read. */
  readonly directory: () => 'known' | 'unknown';
  readonly onMoved: (outcome: MoveOutcome) => void;
  readonly onFailed: (err: unknown) => void;
}

interface Concern {
  readonly reason: MoveReason;
  readonly from: string;
  readonly since: number;
}

/** Owns this VM's part in giving groups another primary. */
export class LeadershipTask extends Task<LeadershipMessage> {
  private readonly moves = new Set<string>();
  private readonly concerns = new Map<string, Concern>();
  private readonly judged = new Map<
    string,
    {readonly at: number; readonly waitMs: number}
  >();
  private timer: NodeJS.Timeout | undefined;
  /** Groups for whose planned change the VMs are being asked. */
  private readonly asking = new Set<string>();
  private claiming: 'idle' | 'under-way' = 'idle';

  constructor(private readonly tools: LeadershipTools) {
    super();
  }

  protected override handle(message: LeadershipMessage): void {
    switch (message.kind) {
      case 'suspected':
        this.suspected(message.group, message.primary, message.since);
        return;
      case 'asked':
        void this.judge(message.group, 0);
        return;
      case 'review':
        this.review();
        this.timer = setTimeout(() => this.tell({kind: 'review'}), REVIEW_MS);
        return;
      case 'moved':
        this.moves.delete(message.group);
        this.concerns.delete(message.group);
        this.tools.onMoved(message.outcome);
        return;
      case 'stop':
        clearTimeout(this.timer);
        return;
    }
  }

  protected override onFailure(err: unknown): void {
    this.tools.onFailed(err);
  }

  private review(): void {
    const now = this.tools.clock();
    if (!isProven(this.tools.view(), now)) return;
    if (this.tools.directory() === 'unknown') return;
    for (const group of this.tools.groups()) this.reviewGroup(group, now);
  }

  private reviewGroup(group: string, now: number): void {
    const record = this.tools.view().rows.leadership.get(group)?.record;
    if (!record) {
      this.recordFirstPrimary(group, now);
      return;
    }
    if (record.phase === 'moving') {
      this.concern(group, record.reason, record.from, now);
      return;
    }
    const listed = this.tools
      .members(group)
      .find(item => item.member === record.primary);
    if (!listed) {
      this.concern(group, 'gone', record.primary, now);
    } else if (!this.tools.isEligible(listed)) {
      this.concern(group, 'leaving', record.primary, now);
    } else {
      this.concerns.delete(group);
    }
  }

  /** Acts on a concern once it has lasted, in the order of the VMs' ranks. */
  private concern(
    group: string,
    reason: MoveReason,
    from: string,
    now: number,
  ): void {
    const known = this.concerns.get(group);
    const concern =
      known?.reason === reason && known.from === from
        ? known
        : {reason, from, since: now};
    this.concerns.set(group, concern);
    const waitMs =
      (reason === 'gone' ? GONE_AFTER_MS : 0) + this.rankDelay(group);
    if (now - concern.since >= waitMs) void this.startMove(group, concern);
  }

  /** Records the member that says it leads, before any VM uses it. */
  private recordFirstPrimary(group: string, now: number): void {
    const primary = this.tools
      .members(group)
      .find(item => item.role === 'primary');
    if (!primary) return;
    const known = this.concerns.get(group);
    const since = known?.since ?? now;
    this.concerns.set(group, {reason: 'gone', from: '', since});
    if (now - since < this.rankDelay(group)) return;
    this.concerns.delete(group);
    const record = {phase: 'settled', primary: primary.member};
    void this.tools
      .transact({
        expected: new Map([[leadershipKey(group), 0]]),
        puts: new Map([[leadershipKey(group), JSON.stringify(record)]]),
      })
      .then(result =>
        this.tools.log.info(
          {
            event: 'leadership.first',
            group,
            primary: primary.member,
            result: result.ok ? 'done' : result.err,
          },
          'recorded the primary',
        ),
      );
  }

  private rankDelay(group: string): number {
    const {vm, view, peers} = this.tools;
    const names = [...view().rows.vms.keys()].filter(
      name => name === vm || !peers.isSilent(name),
    );
    const rank = rendezvousOrder(group, names).indexOf(vm);
    return Math.max(0, rank) * RANK_DELAY_MS;
  }

  private suspected(group: string, primary: string, since: number): void {
    const now = this.tools.clock();
    if (now - since < SUSPECT_AFTER_MS + this.rankDelay(group)) return;
    if (this.moves.has(group)) return;
    const judged = this.judged.get(group);
    if (judged && now - judged.at < judged.waitMs) return;
    const record = this.tools.view().rows.leadership.get(group)?.record;
    if (record?.phase !== 'settled' || record.primary !== primary) return;
    void this.judge(group, since);
  }

  private noteJudgement(group: string, now: number): void {
    const last = this.judged.get(group);
    const isSame = last !== undefined && now - last.at < SUSPICION_PAUSE_MS;
    const waitMs = isSame
      ? Math.min(MAX_JUDGE_INTERVAL_MS, last.waitMs * 2)
      : JUDGE_INTERVAL_MS;
    this.judged.set(group, {at: now, waitMs});
  }

  /** Acts on what most VMs say of a primary. */
  private async judge(group: string, since: number): Promise<void> {
    const {clock, view} = this.tools;
    const record = view().rows.leadership.get(group)?.record;
    if (record?.phase !== 'settled') return;
    this.noteJudgement(group, clock());
    if ((await this.verdictOn(group, record.primary)) === 'keep') return;
    const concern: Concern = {
      reason: 'unreachable',
      from: record.primary,
      since,
    };
    await this.startMove(group, concern);
  }

  /** Asks all VMs how they see a primary. */
  private async verdictOn(
    group: string,
    primary: string,
  ): Promise<SuspicionVerdict> {
    const {peers, log} = this.tools;
    const database = this.tools.database(group);
    if (!database) return 'keep';
    const views: Array<PrimarySighting | 'vm-down'> = await Promise.all([
      ask<PrimarySighting>(reply => database.tell({kind: 'sight', reply})),
      ...peers.names.map(async name => {
        const answer = await peers.sight(name, group, SIGHT_TIMEOUT_MS);
        if (answer.ok) return answer.value;
        const isDown = answer.err.detail.includes('ECONNREFUSED');
        return isDown ? 'vm-down' : 'unknown';
      }),
    ]);
    const verdict = judgeSuspicion(views);
    log.info(
      {event: 'primary.judged', group, primary, views, verdict},
      'primary suspected',
    );
    return verdict;
  }

  private async startMove(
    group: string,
    {reason, from, since}: Concern,
  ): Promise<void> {
    const database = this.tools.database(group);
    if (this.moves.has(group) || !database) return;
    if (reason === 'leaving' && !(await this.mayAnnounce(group, since))) return;
    // A change that is under way when the store returns may be out of date.
    if (!hearsStore(this.tools.view(), this.tools.clock())) return;
    const fence = await this.takeDuty(group);
    if (fence === undefined || this.moves.has(group)) return;
    this.moves.add(group);
    const move = new Move(
      {group, from, reason},
      {
        ...this.tools,
        database,
        members: () => this.tools.members(group),
        synchronousReplicas: () => this.tools.synchronousReplicas(group),
        judge: () => this.verdictOn(group, from),
      },
    );
    let outcome: MoveOutcome = 'given-up';
    try {
      outcome = await move.run(fence);
    } catch (err) {
      this.onFailure(err);
    }
    this.tell({kind: 'moved', group, outcome});
  }

  /**
   * Whether a planned change may be announced, after which its primary serves
   * nobody: once all VMs can be asked to stop, or when the time is over.
   */
  private async mayAnnounce(group: string, since: number): Promise<boolean> {
    const {clock, peers, view, log} = this.tools;
    const record = view().rows.leadership.get(group)?.record;
    if (record?.phase !== 'settled') return true;
    const primary = this.tools
      .members(group)
      .find(item => item.member === record.primary);
    // Without a primary that serves, waiting gains nothing.
    if (!primary || this.tools.isOut(primary)) return true;
    if (this.asking.has(group)) return false;
    this.asking.add(group);
    const answers = await Promise.all(
      peers.names.map(async vm => ({
        vm,
        ok: (await peers.ping(vm, PING_TIMEOUT_MS)).ok,
      })),
    );
    this.asking.delete(group);
    const silent = answers.filter(item => !item.ok).map(item => item.vm);
    const holding = silent.filter(vm => this.mayHoldRight(vm));
    const waitedMs = Math.round(clock() - since);
    const outcome =
      holding.length === 0 || waitedMs >= PLANNED_PATIENCE_MS ? 'go' : 'wait';
    if (holding.length > 0) {
      log.info(
        {event: 'move.planned', group, holding, waitedMs, outcome},
        'VMs that do not answer may use the primary',
      );
    }
    return outcome === 'go';
  }

  /** Whether a VM that does not answer may still use primaries. */
  private mayHoldRight(vm: string): boolean {
    const {rows, storeClock} = this.tools.view();
    const lostBy = rows.shares?.value[vm]?.lostBy;
    const earliest = earliestStoreTime(storeClock, this.tools.clock());
    return lostBy === undefined || mayStillHoldRight(lostBy, earliest);
  }

  /** Takes or extends the duty; returns its fencing number. */
  private async takeDuty(group: string): Promise<number | undefined> {
    if (this.claiming === 'under-way') return undefined;
    const {vm, view, clock, peers, log} = this.tools;
    const {rows, storeClock} = view();
    const now = clock();
    const decision = decideDuty(
      vm,
      rows.duty?.value,
      earliestStoreTime(storeClock, now),
    );
    if (decision.kind === 'leave') {
      void peers.suspect(decision.holder, group, SIGHT_TIMEOUT_MS);
      return undefined;
    }
    const takenAt = latestStoreTime(storeClock, now);
    const record: DutyRecord = {holder: vm, fence: decision.fence, takenAt};
    this.claiming = 'under-way';
    const result = await this.tools.transact({
      expected: new Map([[DUTY_KEY, rows.duty?.version ?? 0]]),
      puts: new Map([[DUTY_KEY, JSON.stringify(record)]]),
    });
    this.claiming = 'idle';
    log.info(
      {
        event: 'duty.taken',
        group,
        fence: decision.fence,
        result: result.ok ? 'done' : result.err,
      },
      'took the duty to change primaries',
    );
    return result.ok ? decision.fence : undefined;
  }
}
