import type {
  LogPosition,
  MemberLoad,
  MemberRole,
  PrimaryObservation,
} from '@pistachiorill/core';
import type {ListedMember} from '../ports/member_directory.js';
import type {LinkFault} from '../ports/member_link.js';
import {FormerLimits} from './former_limits.js';
import {WarmupLimit} from './warmup_limit.js';
import type {GroupView} from './database_message.js';
import type {CheckoutRequest} from './checkout.js';
import type {ResponseInfo, MemberConnection} from './member_connection.js';
import {
  INITIAL_MEMBER_HEALTH,
  afterAnswer,
  afterBehind,
  afterBusy,
  afterFailure,
  observationOf,
} from './member_health.js';
import type {MemberHealth} from './member_health.js';
import type {ConcurrencyObserver} from './member_limit_log.js';
import {MemberPool} from './member_pool.js';
import {poolLimitsOf, warmupShareOf} from './member_shares.js';
import type {MemberPoolLimits} from './pool_request.js';

/** A replica that lacks a required position is avoided for this long. */
const BEHIND_AVOID_MS = 150;
/** Reads prefer other members for this long after a member was busy. */
const BUSY_AVOID_MS = 50;
/** The services that the table uses. */
export interface MemberTableDependencies {
  readonly vm: {readonly dataCentre: string; readonly region: string};
  readonly regionOf: (dataCentre: string) => string;
  /** Creates a connection to a member for a workspace. */
  readonly open: (listed: ListedMember, workspace: string) => MemberConnection;
  /** Called when a member's limit on concurrent statements changes. */
  readonly onConcurrency?: ConcurrencyObserver;
}

interface MemberEntry {
  listed: ListedMember;
  /** `gone` once the directory no longer lists the member. */
  state: 'listed' | 'gone';
  pool: MemberPool;
  health: MemberHealth;
  /** The time at which each connection sent its pending request. */
  readonly pending: Map<MemberConnection, number>;
  /** Since when the directory has listed the member as leaving. */
  leavingSince: number | undefined;
  warmup: WarmupLimit;
}

/** The members of a group: their pools and health as this VM observes them. */
export class MemberTable {
  private readonly entries = new Map<string, MemberEntry>();
  private dataCentresOut: ReadonlySet<string> = new Set();
  private readonly formerLimits = new FormerLimits();

  constructor(private readonly deps: MemberTableDependencies) {}

  /** Applies the current settings and member list. */
  setView(view: GroupView, now: number): void {
    this.dataCentresOut = view.dataCentresOut;
    const listed = new Map(view.members.map(item => [item.member, item]));
    for (const [member, entry] of this.entries) {
      const current = listed.get(member);
      if (current?.address === entry.listed.address) continue;
      // Removed, or restarted at another address under the same name.
      entry.pool.drain();
      entry.state = 'gone';
      this.formerLimits.record(member, entry.pool.concurrency);
      this.deps.onConcurrency?.(member, undefined);
      if (current || entry.pool.size === 0) this.entries.delete(member);
    }
    for (const item of view.members) this.updateEntry(item, view, now);
    this.formerLimits.listed(view.members, now);
  }

  /** Limits a member that has just become primary. */
  promoted(member: string, now: number): void {
    this.pool(member)?.starts('promoted', now);
  }

  private updateEntry(
    listed: ListedMember,
    view: GroupView,
    now: number,
  ): void {
    const limits = poolLimitsOf(listed, view);
    const known = this.entries.get(listed.member);
    const entry = known ?? this.addEntry(listed, limits);
    const before = known?.state === 'listed' ? known.listed : undefined;
    if (this.formerLimits.hasStarted(before, listed)) {
      entry.pool.starts('started', now);
    }
    entry.listed = listed;
    entry.state = 'listed';
    entry.pool.setLimits(limits);
    entry.leavingSince =
      listed.state === 'leaving' ? (entry.leavingSince ?? now) : undefined;
    entry.warmup.configure(
      view.settings.warmupPerSecond * warmupShareOf(listed, view),
      now + listed.remainingWarmupMs,
    );
    if (!this.accepts(listed)) entry.pool.drain();
  }

  private addEntry(
    listed: ListedMember,
    limits: MemberPoolLimits,
  ): MemberEntry {
    const entry: MemberEntry = {
      listed,
      state: 'listed',
      pool: new MemberPool(
        limits,
        workspace => this.deps.open(listed, workspace),
        this.formerLimits.get(listed.member),
        state => this.deps.onConcurrency?.(listed.member, state),
      ),
      health: INITIAL_MEMBER_HEALTH,
      pending: new Map(),
      leavingSince: undefined,
      warmup: new WarmupLimit(),
    };
    this.entries.set(listed.member, entry);
    return entry;
  }

  /** The members that the directory lists. */
  get all(): readonly ListedMember[] {
    return [...this.entries.values()]
      .filter(entry => entry.state === 'listed')
      .map(entry => entry.listed);
  }

  /** The directory's entry for a member, if it is listed. */
  listed(member: string): ListedMember | undefined {
    const entry = this.entries.get(member);
    return entry?.state === 'listed' ? entry.listed : undefined;
  }

  /** The pool of a member, also while its last connections are in use. */
  pool(member: string): MemberPool | undefined {
    return this.entries.get(member)?.pool;
  }

  /** The health of a member; that of a new one if it is unknown. */
  health(member: string): MemberHealth {
    return this.entries.get(member)?.health ?? INITIAL_MEMBER_HEALTH;
  }

  /** Whether a member may receive new work. */
  accepts({state, dataCentre}: ListedMember): boolean {
    return state === 'ready' && !this.dataCentresOut.has(dataCentre);
  }

  /** Whether operators took the member's data centre out. */
  isOut({dataCentre}: ListedMember): boolean {
    return this.dataCentresOut.has(dataCentre);
  }

  /** How long the directory has listed the member as leaving. */
  leavingMs(member: string, now: number): number {
    const since = this.entries.get(member)?.leavingSince;
    return since === undefined ? 0 : now - since;
  }

  /**
   * Admits one statement under the rate limit of a member that warms up.
   * Returns true for members without a limit.
   */
  admitDuringWarmup(member: string, now: number): boolean {
    return this.entries.get(member)?.warmup.admit(now) ?? true;
  }

  /** Whether a member is in one of the regions; an empty list allows all. */
  isInRegions({dataCentre}: ListedMember, regions: readonly string[]): boolean {
    return (
      regions.length === 0 || regions.includes(this.deps.regionOf(dataCentre))
    );
  }

  /** The members that may run a read, with their load. */
  readCandidates(
    request: CheckoutRequest,
    roleOf: (member: string) => MemberRole | 'unusable',
    now: number,
  ): MemberLoad[] {
    const loads: MemberLoad[] = [];
    for (const listed of this.all) {
      const {member} = listed;
      const role = roleOf(member);
      if (role === 'unusable' || request.excluded.includes(member)) continue;
      if (!this.accepts(listed)) continue;
      if (!this.isInRegions(listed, request.regions)) continue;
      const pool = this.pool(member);
      const health = this.health(member);
      loads.push({
        member,
        role,
        proximity: this.proximityOf(listed),
        inFlight: pool?.inFlight ?? 0,
        slots: Math.min(listed.slots, pool?.statementLimit(now) ?? Infinity),
        meanLatencyMs: health.meanLatencyMs,
        connection: pool?.hasIdle(request.workspace) ? 'idle' : 'to-open',
        applied: health.applied,
        avoidUntil:
          this.observation(member, now) === 'unreachable'
            ? Math.max(now + 1, health.avoidUntil)
            : health.avoidUntil,
      });
    }
    return loads;
  }

  /** Records that a connection sent a request. */
  sent(member: string, connection: MemberConnection, now: number): void {
    const entry = this.entries.get(member);
    entry?.pending.set(connection, now);
    entry?.pool.sent(connection);
  }

  /** Records a response; returns whether the member was failing before. */
  answered(
    member: string,
    connection: MemberConnection,
    info: ResponseInfo,
    at: number,
  ): boolean {
    const {sentAt, applied, work} = info;
    this.entries.get(member)?.pending.delete(connection);
    const pool = this.pool(member);
    pool?.accepted();
    const wasFailing = this.isFailing(member);
    if (wasFailing) pool?.starts('recovered', at);
    pool?.answered(connection, info, at);
    const answer = {tookMs: at - sentAt, applied, work};
    this.updateHealth(member, health =>
      info.outcome === 'busy'
        ? afterBusy(health, applied, BUSY_AVOID_MS, at)
        : afterAnswer(health, answer, at),
    );
    return wasFailing;
  }

  /**
   * Records a fault; returns whether the member responded, failed for the first
   * time or failed again. A rejected connection is a response.
   */
  recordFault(
    member: string,
    connection: MemberConnection,
    fault: LinkFault,
    now: number,
  ): 'answered' | 'failed' | 'failed-again' {
    this.entries.get(member)?.pending.delete(connection);
    // The member responds; the limit is one of this VM.
    if (fault.kind === 'too-large') return 'answered';
    const pool = this.pool(member);
    if (fault.kind === 'rejected' && fault.error.kind !== 'wrong-member') {
      if (fault.error.kind === 'too-many-connections') pool?.lowerLimit(now);
      return 'answered';
    }
    const wasFailing = this.isFailing(member);
    this.failed(member, now);
    // The member's other connections may be dead as well.
    if (fault.kind !== 'rejected') pool?.closeIdle();
    return wasFailing ? 'failed-again' : 'failed';
  }

  /** Records a failure. */
  failed(member: string, now: number): void {
    this.pool(member)?.failed(now);
    this.updateHealth(member, health => afterFailure(health, now));
  }

  /** Records the response to a status probe. */
  recovered(member: string, now: number): void {
    if (this.isFailing(member)) this.pool(member)?.starts('recovered', now);
    const statusAnswer = {
      tookMs: 0,
      applied: undefined,
      work: 'setup',
    } as const;
    this.updateHealth(member, health => afterAnswer(health, statusAnswer, now));
  }

  /** Records that a replica lacked a required position. */
  behind(member: string, applied: LogPosition | undefined, now: number): void {
    this.updateHealth(member, health =>
      afterBehind(health, applied, BEHIND_AVOID_MS, now),
    );
  }

  /** Whether the member is reachable, as observed by this VM. */
  observation(member: string, now: number): PrimaryObservation {
    return observationOf(this.health(member), this.oldestPending(member), now);
  }

  /** Since when the member has not responded, if it is failing. */
  failingSince(member: string): number | undefined {
    return this.health(member).failingSince ?? this.oldestPending(member);
  }

  /** The failing members that are due for a status probe. */
  membersToProbe(now: number): readonly ListedMember[] {
    return this.all.filter(({member}) => {
      const {failingSince, avoidUntil} = this.health(member);
      return failingSince !== undefined && avoidUntil <= now;
    });
  }

  /** Maintains all pools and removes members that are no longer in use. */
  maintain(now: number): void {
    for (const [member, {pool, state}] of this.entries) {
      pool.maintain(now);
      if (pool.size === 0 && state === 'gone') this.entries.delete(member);
    }
  }

  /** Closes all connections and refuses all queued requests. */
  abandonAll(): void {
    for (const {pool} of this.entries.values()) pool.abandon();
  }

  /** Whether periodic maintenance is required without further messages. */
  get isBusy(): boolean {
    return [...this.entries.values()].some(
      ({pool, health}) =>
        pool.size > 0 || pool.waiting > 0 || health.failingSince !== undefined,
    );
  }

  private isFailing(member: string): boolean {
    return this.health(member).failingSince !== undefined;
  }

  private proximityOf(listed: ListedMember): MemberLoad['proximity'] {
    const {vm, regionOf} = this.deps;
    if (listed.dataCentre === vm.dataCentre) return 'same-data-centre';
    return regionOf(listed.dataCentre) === vm.region
      ? 'same-region'
      : 'other-region';
  }

  private oldestPending(member: string): number | undefined {
    let oldest: number | undefined;
    for (const at of this.entries.get(member)?.pending.values() ?? []) {
      if (oldest === undefined || at < oldest) oldest = at;
    }
    return oldest;
  }

  private updateHealth(
    member: string,
    change: (health: MemberHealth) => MemberHealth,
  ): void {
    const entry = this.entries.get(member);
    if (entry) entry.health = change(entry.health);
  }
}
