import type {
  LogPosition,
  MemberLoad,
  MemberRole,
  PrimarySighting,
} from '@pistachiorill/core';
import type {ListedMember} from '../ports/member_directory.js';
import type {LinkFault} from '../ports/member_link.js';
import {WarmupLimit} from './warmup_limit.js';
import type {GroupView} from './database_message.js';
import type {LeaseRequest} from './lease.js';
import type {HeardAnswer, MemberConnection} from './member_connection.js';
import {
  NEW_MEMBER_HEALTH,
  afterAnswer,
  afterBehind,
  afterFailure,
  sightingOf,
} from './member_health.js';
import type {MemberHealth} from './member_health.js';
import {MemberPool} from './member_pool.js';
import type {MemberPoolLimits} from './member_pool.js';

/** A replica that refused a position is avoided for this long. */
const BEHIND_AVOID_MS = 150;
/** Statements that a VM runs on a member at a time, for each of its slots. */
const STATEMENTS_PER_SLOT = 2;
/** The part of a member's connections that all VMs together keep idle. */
const IDLE_SHARE = 0.5;
/** Connections of each member that stay free for control. */
const CONTROL_CONNECTIONS = 1;

/** What the table needs of the task that owns it. */
export interface MemberTableTools {
  readonly vm: {readonly dataCentre: string; readonly region: string};
  readonly regionOf: (dataCentre: string) => string;
  readonly open: (listed: ListedMember, workspace: string) => MemberConnection;
}

interface MemberEntry {
  listed: ListedMember;
  /** False once the directory no longer lists it. */
  state: 'listed' | 'gone';
  pool: MemberPool;
  health: MemberHealth;
  /** When the request that each connection works on was sent. */
  readonly pending: Map<MemberConnection, number>;
  leavingSince: number | undefined;
  warmup: WarmupLimit;
}

/** The members of a group as one VM sees and uses them. */
export class MemberTable {
  private readonly entries = new Map<string, MemberEntry>();
  private dataCentresOut: ReadonlySet<string> = new Set();

  constructor(private readonly tools: MemberTableTools) {}

  /** Takes over what the directory and the operators say. */
  setView(view: GroupView, now: number): void {
    this.dataCentresOut = view.dataCentresOut;
    const listed = new Map(view.members.map(item => [item.member, item]));
    for (const [member, entry] of this.entries) {
      const current = listed.get(member);
      if (current?.address === entry.listed.address) continue;
      // Gone, or started again elsewhere under the same name.
      entry.pool.drain();
      entry.state = 'gone';
      if (current || entry.pool.size === 0) this.entries.delete(member);
    }
    for (const item of view.members) this.update(item, view, now);
  }

  private update(listed: ListedMember, view: GroupView, now: number): void {
    const limits = limitsOf(listed, view);
    const entry = this.entries.get(listed.member) ?? this.add(listed, limits);
    entry.listed = listed;
    entry.state = 'listed';
    entry.pool.setLimits(limits);
    entry.leavingSince =
      listed.state === 'leaving' ? (entry.leavingSince ?? now) : undefined;
    entry.warmup.configure(
      view.settings.warmupPerSecond / view.vmCount,
      now + listed.remainingWarmupMs,
    );
    if (!this.accepts(listed)) entry.pool.drain();
  }

  private add(listed: ListedMember, limits: MemberPoolLimits): MemberEntry {
    const entry: MemberEntry = {
      listed,
      state: 'listed',
      pool: new MemberPool(limits, workspace =>
        this.tools.open(listed, workspace),
      ),
      health: NEW_MEMBER_HEALTH,
      pending: new Map(),
      leavingSince: undefined,
      warmup: new WarmupLimit(),
    };
    this.entries.set(listed.member, entry);
    return entry;
  }

  get all(): readonly ListedMember[] {
    return [...this.entries.values()]
      .filter(entry => entry.state === 'listed')
      .map(entry => entry.listed);
  }

  listed(member: string): ListedMember | undefined {
    const entry = this.entries.get(member);
    return entry?.state === 'listed' ? entry.listed : undefined;
  }

  pool(member: string): MemberPool | undefined {
    return this.entries.get(member)?.pool;
  }

  health(member: string): MemberHealth {
    return this.entries.get(member)?.health ?? NEW_MEMBER_HEALTH;
  }

  /** Whether a member gets new work. */
  accepts({state, dataCentre}: ListedMember): boolean {
    return state === 'ready' && !this.dataCentresOut.has(dataCentre);
  }

  isOut({dataCentre}: ListedMember): boolean {
    return this.dataCentresOut.has(dataCentre);
  }

  /** For how long the member has been known to leave. */
  leavingMs(member: string, now: number): number {
    const since = this.entries.get(member)?.leavingSince;
    return since === undefined ? 0 : now - since;
  }

  /** Takes one statement of what a member allows while it warms up. */
  admitWarmingUp(member: string, now: number): boolean {
    return this.entries.get(member)?.warmup.admit(now) ?? true;
  }

  isInRegions({dataCentre}: ListedMember, regions: readonly string[]): boolean {
    return (
      regions.length === 0 || regions.includes(this.tools.regionOf(dataCentre))
    );
  }

  /** The members that may run a read, with what is known of their load. */
  loads(
    request: LeaseRequest,
    roleOf: (member: string) => MemberRole | 'unusable',
    now: number,
  ): MemberLoad[] {
    const loads: MemberLoad[] = [];
    for (const listed of this.all) {
      const {member} = listed;
      const role = roleOf(member);
      if (role === 'unusable' || request.avoid.includes(member)) continue;
      if (!this.accepts(listed)) continue;
      if (!this.isInRegions(listed, request.regions)) continue;
      const pool = this.pool(member);
      const health = this.health(member);
      loads.push({
        member,
        role,
        proximity: this.proximityOf(listed),
        inFlight: pool?.inFlight ?? 0,
        slots: listed.slots,
        meanMs: health.meanMs,
        connection: pool?.hasIdle(request.workspace) ? 'idle' : 'to-open',
        applied: health.applied,
        avoidUntil:
          this.sighting(member, now) === 'unreachable'
            ? Math.max(now + 1, health.avoidUntil)
            : health.avoidUntil,
      });
    }
    return loads;
  }

  sent(member: string, connection: MemberConnection, now: number): void {
    this.entries.get(member)?.pending.set(connection, now);
  }

  /** Returns whether the member had failed before. */
  answered(
    member: string,
    connection: MemberConnection,
    {askedAt, applied, work}: HeardAnswer,
    at: number,
  ): boolean {
    this.entries.get(member)?.pending.delete(connection);
    const wasFailing = this.isFailing(member);
    const tookMs = at - askedAt;
    this.change(member, health =>
      afterAnswer(health, {tookMs, applied, work}, at),
    );
    return wasFailing;
  }

  /** Returns what the fault means for the member. */
  faulted(
    member: string,
    connection: MemberConnection,
    fault: LinkFault,
    now: number,
  ): 'answered' | 'failed' | 'failed-again' {
    this.entries.get(member)?.pending.delete(connection);
    const pool = this.pool(member);
    if (fault.kind === 'rejected' && fault.error.kind !== 'wrong-member') {
      if (fault.error.kind === 'too-many-connections') pool?.memberFull(now);
      return 'answered';
    }
    const wasFailing = this.isFailing(member);
    this.failed(member, now);
    // Other connections of the member may be as silent as this one.
    if (fault.kind !== 'rejected') pool?.dropIdle();
    return wasFailing ? 'failed-again' : 'failed';
  }

  failed(member: string, now: number): void {
    this.change(member, health => afterFailure(health, now));
  }

  /** The member answered a question about its state. */
  recovered(member: string, now: number): void {
    const heard = {tookMs: 0, applied: undefined, work: 'setup'} as const;
    this.change(member, health => afterAnswer(health, heard, now));
  }

  behind(member: string, applied: LogPosition | undefined, now: number): void {
    this.change(member, health =>
      afterBehind(health, applied, BEHIND_AVOID_MS, now),
    );
  }

  sighting(member: string, now: number): PrimarySighting {
    return sightingOf(this.health(member), this.oldestPending(member), now);
  }

  /** Since when the member has not answered. */
  failingSince(member: string): number | undefined {
    return this.health(member).failingSince ?? this.oldestPending(member);
  }

  /** Members that failed and may be asked again. */
  toProbe(now: number): readonly ListedMember[] {
    return this.all.filter(({member}) => {
      const {failingSince, avoidUntil} = this.health(member);
      return failingSince !== undefined && avoidUntil <= now;
    });
  }

  maintain(now: number): void {
    for (const [member, {pool, state}] of this.entries) {
      pool.maintain(now);
      if (pool.size === 0 && state === 'gone') this.entries.delete(member);
    }
  }

  abandonAll(): void {
    for (const {pool} of this.entries.values()) pool.abandon();
  }

  /** Whether something may change without a further message. */
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
    const {vm, regionOf} = this.tools;
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

  private change(
    member: string,
    change: (health: MemberHealth) => MemberHealth,
  ): void {
    const entry = this.entries.get(member);
    if (entry) entry.health = change(entry.health);
  }
}

function limitsOf(
  {slots}: ListedMember,
  {settings, vmCount}: GroupView,
): MemberPoolLimits {
  const connections = Math.max(
    1,
    settings.connectionLimit - CONTROL_CONNECTIONS,
  );
  return {
    connections,
    share: idleShareOf(connections, vmCount),
    statements: Math.max(1, slots * STATEMENTS_PER_SLOT),
  };
}

/**
 * The connections that a VM keeps while they are idle. All VMs together leave
 * half of a member's connections free, as those of a VM that lost power stay
 * open at the member for seconds. Where a member has fewer connections than
 * there are VMs, none is kept, or the VMs would lock each other out.
 */
function idleShareOf(connections: number, vmCount: number): number {
  if (vmCount > connections) return 0;
  return Math.max(1, Math.floor((connections * IDLE_SHARE) / vmCount));
}
