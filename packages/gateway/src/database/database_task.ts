import {
  addPositionSample,
  fail,
  laterPosition,
  ok,
  rankForRead,
  requiredPosition,
} from '@pistachiorill/core';
import type {
  LogPosition,
  MemberLoad,
  PositionSamples,
  PrimaryRight,
  PrimarySighting,
  Result,
  VersionedLeadership,
} from '@pistachiorill/core';
import {Task} from '@pistachiorill/tasks';
import type {Clock, Reply} from '@pistachiorill/tasks';
import type {Logger} from '@pistachiorill/telemetry';
import type {ListedMember} from '../ports/member_directory.js';
import type {MemberLinks} from '../ports/member_link.js';
import {ControlConnections} from './control_connections.js';
import type {
  DatabaseMessage,
  GroupView,
  LeaseValidity,
  StatusResult,
  StopMode,
} from './database_message.js';
import type {Lease, LeaseRefusal, LeaseRequest} from './lease.js';
import {MemberConnection} from './member_connection.js';
import {
  NEW_MEMBER_HEALTH,
  afterAnswer,
  afterBehind,
  afterFailure,
  sightingOf,
} from './member_health.js';
import type {MemberHealth} from './member_health.js';
import {MemberPool} from './member_pool.js';
import type {PoolRefusal} from './member_pool.js';

const TICK_MS = 50;
/** How long statements may finish before a planned change of primary. */
const FINISH_MS = 600;
/** A replica that refused a position is avoided for this long. */
const BEHIND_AVOID_MS = 150;
/** The demanded age is lowered by this, as a statement waits before it runs. */
const AGE_MARGIN_MS = 100;
/** Statements that a VM runs on a member at a time, for each of its slots. */
const STATEMENTS_PER_SLOT = 2;
/** Connections of each member that stay free for control. */
const CONTROL_CONNECTIONS = 1;
/** How soon a refused caller may come back. */
const RETRY_SOON_MS = 50;
const RETRY_MOVING_MS = 400;

/** What a database's task needs of the VM. */
export interface DatabaseTools {
  readonly vm: {readonly dataCentre: string; readonly region: string};
  readonly regionOf: (dataCentre: string) => string;
  readonly links: MemberLinks;
  readonly clock: Clock;
  /** The VM's right to use the recorded primary now. */
  readonly right: (leadership: VersionedLeadership | undefined) => PrimaryRight;
  /** Called while the primary cannot be reached. */
  readonly onSuspect: (group: string, primary: string, since: number) => void;
  readonly log: Logger;
  readonly onFailed: (err: unknown) => void;
}

interface WaitingForPrimary {
  readonly request: LeaseRequest;
  readonly reply: Reply<Result<Lease, LeaseRefusal>>;
}

interface PendingStop {
  readonly until: number;
  readonly from: string;
  readonly reply: Reply<LogPosition | undefined>;
}

/** Owns one VM's view of a group, its connections and its right to write. */
export class DatabaseTask extends Task<DatabaseMessage> {
  private view: GroupView | undefined;
  private leadership: VersionedLeadership | undefined;
  private samples: PositionSamples = [];
  private readonly pools = new Map<string, MemberPool>();
  private readonly health = new Map<string, MemberHealth>();
  /** When each connection's request was sent, by member. */
  private readonly pending = new Map<string, Map<MemberConnection, number>>();
  /** Members that are being asked whether they answer again. */
  private readonly probing = new Set<string>();
  private waiting: WaitingForPrimary[] = [];
  private stops: PendingStop[] = [];
  private ticker: NodeJS.Timeout | undefined;
  private readonly control: ControlConnections;

  constructor(
    private readonly group: string,
    private readonly tools: DatabaseTools,
  ) {
    super();
    this.control = new ControlConnections(tools.links);
  }

  protected override handle(message: DatabaseMessage): void {
    this.dispatch(message);
    this.scheduleTick();
  }

  protected override onFailure(err: unknown): void {
    this.tools.onFailed(err);
  }

  private dispatch(message: DatabaseMessage): void {
    const now = this.tools.clock();
    switch (message.kind) {
      case 'view':
        this.setView(message.view, now);
        return;
      case 'leadership':
        this.setLeadership(message.leadership, now);
        return;
      case 'lease':
        this.lease(message, now);
        return;
      case 'release':
        this.pools
          .get(message.lease.member)
          ?.release(message.lease.connection, now);
        this.finishStops(now);
        return;
      case 'confirm':
        message.reply.answer(this.validityOf(message.lease));
        return;
      case 'behind':
        this.setHealth(message.member, health =>
          afterBehind(health, message.applied, BEHIND_AVOID_MS, now),
        );
        return;
      case 'not-primary':
        this.notPrimary(message.member, now);
        return;
      case 'sent':
        this.pendingOf(message.member).set(message.connection, now);
        return;
      case 'answered':
        this.answered(message);
        return;
      case 'fault':
        this.faulted(message, now);
        return;
      case 'probed':
        this.probed(message, now);
        return;
      case 'stop-primary':
        this.stopPrimary(message, now);
        return;
      case 'sight':
        void this.sight(message.reply);
        return;
      case 'status':
        this.readStatus(message.member, message.reply);
        return;
      case 'step-down':
        this.stepDown(message.member, message.term);
        return;
      case 'tick':
        this.tick(now);
        return;
      case 'close':
        clearTimeout(this.ticker);
        for (const pool of this.pools.values()) pool.abandon();
        this.refuseWaiting('no-member', 'the VM stops');
        return;
    }
  }

  private setView(view: GroupView, now: number): void {
    this.view = view;
    for (const [member, pool] of this.pools) {
      const listed = view.members.find(item => item.member === member);
      if (!listed) {
        pool.drain();
        if (pool.size === 0) this.forget(member);
      } else if (!this.accepts(listed)) {
        pool.drain();
      }
    }
    for (const member of view.members) {
      const limits = this.limitsOf(member, view);
      const pool = this.pools.get(member.member);
      if (pool) pool.setLimits(limits);
      else this.pools.set(member.member, this.newPool(member, view));
    }
    this.serveWaiting(now);
  }

  private newPool(member: ListedMember, view: GroupView): MemberPool {
    const target = {
      member: member.member,
      address: member.address,
      group: this.group,
    };
    const {links, clock, onFailed} = this.tools;
    return new MemberPool(this.limitsOf(member, view), workspace => {
      const connection: MemberConnection = new MemberConnection(
        member.member,
        links.create(target, workspace),
        clock,
        {
          onSent: () =>
            this.tell({kind: 'sent', member: member.member, connection}),
          onAnswered: heard =>
            this.tell({
              kind: 'answered',
              member: member.member,
              connection,
              heard,
              at: clock(),
            }),
          onFault: fault =>
            this.tell({
              kind: 'fault',
              member: member.member,
              connection,
              fault,
            }),
        },
        onFailed,
      );
      return connection;
    });
  }

  private limitsOf(member: ListedMember, {settings, vmCount}: GroupView) {
    const connections = Math.max(
      1,
      settings.connectionLimit - CONTROL_CONNECTIONS,
    );
    return {
      connections,
      share: Math.max(1, Math.floor(connections / Math.max(1, vmCount))),
      statements: Math.max(1, member.slots * STATEMENTS_PER_SLOT),
    };
  }

  private forget(member: string): void {
    this.pools.delete(member);
    this.health.delete(member);
    this.pending.delete(member);
  }

  /** Whether a member gets new work. */
  private accepts(member: ListedMember): boolean {
    return (
      member.state === 'ready' &&
      this.view?.dataCentresOut.has(member.dataCentre) !== true
    );
  }

  private setLeadership(
    leadership: VersionedLeadership | undefined,
    now: number,
  ): void {
    if (!leadership) return;
    if (this.leadership && this.leadership.version >= leadership.version) {
      return;
    }
    const before = this.leadership?.record;
    this.leadership = leadership;
    const {record} = leadership;
    this.tools.log.info(
      {
        event: 'leadership.learned',
        group: this.group,
        version: leadership.version,
        record,
      },
      'leadership of the group changed',
    );
    const former = before?.phase === 'settled' ? before.primary : undefined;
    if (record.phase === 'moving') {
      this.endUse(
        record.from,
        record.reason === 'leaving' ? 'finish' : 'abandon',
      );
    } else if (former !== undefined && former !== record.primary) {
      this.endUse(former, 'abandon');
    }
    this.serveWaiting(now);
  }

  /** Lets statements on a former primary finish, or ends them. */
  private endUse(member: string, mode: StopMode): void {
    const pool = this.pools.get(member);
    if (mode === 'abandon') pool?.abandon();
    else pool?.drain();
  }

  private stopPrimary(
    message: Extract<DatabaseMessage, {kind: 'stop-primary'}>,
    now: number,
  ): void {
    this.setLeadership(message.leadership, now);
    const {record} = message.leadership;
    if (record.phase !== 'moving') {
      message.reply.answer(undefined);
      return;
    }
    this.stops.push({
      until: now + (message.mode === 'finish' ? FINISH_MS : 0),
      from: record.from,
      reply: message.reply,
    });
    this.finishStops(now);
  }

  private finishStops(now: number): void {
    if (this.stops.length === 0) return;
    this.stops = this.stops.filter(stop => {
      const pool = this.pools.get(stop.from);
      if (pool && pool.inUse > 0 && now < stop.until) return true;
      pool?.abandon();
      stop.reply.answer(this.samples.at(-1)?.end);
      return false;
    });
  }

  private lease(
    {request, reply}: Extract<DatabaseMessage, {kind: 'lease'}>,
    now: number,
  ): void {
    const refused =
      request.need.kind === 'primary'
        ? this.leasePrimary(request, reply, now)
        : this.leaseRecent(request, request.need, reply, now);
    if (!refused) return;
    if (refused.kind === 'primary-moving' && now < request.until) {
      this.waiting.push({request, reply});
      return;
    }
    reply.answer(fail(refused));
  }

  private leasePrimary(
    request: LeaseRequest,
    reply: Reply<Result<Lease, LeaseRefusal>>,
    now: number,
  ): LeaseRefusal | undefined {
    const right = this.tools.right(this.leadership);
    if (right.kind === 'denied') return refusalOf(right.reason);
    const member = right.primary;
    const listed = this.listed(member);
    const pool = this.pools.get(member);
    if (!listed || !pool || request.avoid.includes(member)) {
      return refusal('no-primary', 'the primary is not available');
    }
    if (this.view?.dataCentresOut.has(listed.dataCentre)) {
      return refusal('primary-moving', 'the data centre is taken out');
    }
    if (!this.isInRegions(listed, request.regions)) {
      return refusal('no-member', 'the primary is in another region');
    }
    if (this.sighting(member, now) === 'unreachable') {
      return refusal('no-primary', 'the primary does not answer');
    }
    this.enqueue(pool, member, 'primary', undefined, request, reply, now);
    return undefined;
  }

  private leaseRecent(
    request: LeaseRequest,
    need: Extract<LeaseRequest['need'], {kind: 'recent'}>,
    reply: Reply<Result<Lease, LeaseRefusal>>,
    now: number,
  ): LeaseRefusal | undefined {
    const sample = requiredPosition(
      this.samples,
      need.maxAgeMs - AGE_MARGIN_MS,
      now,
    );
    const after = sample && laterPosition(sample, need.seen);
    const loads = this.loads(request, now);
    const ranked = rankForRead(loads, after, now);
    const roles = new Map(loads.map(load => [load.member, load.role]));
    const member =
      ranked.find(item => this.pools.get(item)?.canGrant(request, now)) ??
      ranked[0];
    const pool = member === undefined ? undefined : this.pools.get(member);
    if (member === undefined || !pool) {
      const right = this.tools.right(this.leadership);
      return right.kind === 'denied'
        ? refusalOf(right.reason)
        : refusal('no-member', 'no member holds recent data');
    }
    const role = roles.get(member) ?? 'replica';
    this.enqueue(
      pool,
      member,
      role,
      role === 'replica' ? after : undefined,
      request,
      reply,
      now,
    );
    return undefined;
  }

  /** A replica's answer stands, as it held the position that was asked for. */
  private validityOf({role, member}: Lease): LeaseValidity {
    if (role === 'replica') return 'valid';
    const right = this.tools.right(this.leadership);
    return right.kind === 'granted' && right.primary === member
      ? 'valid'
      : 'expired';
  }

  private loads(request: LeaseRequest, now: number): MemberLoad[] {
    const right = this.tools.right(this.leadership);
    const record = this.leadership?.record;
    const recorded =
      record?.phase === 'settled' ? record.primary : (record?.from ?? '');
    const loads: MemberLoad[] = [];
    for (const listed of this.view?.members ?? []) {
      const {member} = listed;
      const isPrimary = member === recorded;
      if (isPrimary && right.kind === 'denied') continue;
      if (!this.accepts(listed) || request.avoid.includes(member)) continue;
      if (!this.isInRegions(listed, request.regions)) continue;
      const pool = this.pools.get(member);
      const health = this.healthOf(member);
      loads.push({
        member,
        role: isPrimary ? 'primary' : 'replica',
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

  private enqueue(
    pool: MemberPool,
    member: string,
    role: Lease['role'],
    after: LogPosition | undefined,
    request: LeaseRequest,
    reply: Reply<Result<Lease, LeaseRefusal>>,
    now: number,
  ): void {
    pool.add(
      {
        workspace: request.workspace,
        values: request.values,
        use: request.use,
        until: request.until,
        grant: connection =>
          reply.answer(ok({connection, member, role, after})),
        refuse: reason => {
          // Another member may take it, or the next primary.
          if (reason === 'member-left') {
            this.tell({kind: 'lease', request, reply});
          } else {
            reply.answer(fail(poolRefusal(reason)));
          }
        },
      },
      now,
    );
  }

  private answered(
    message: Extract<DatabaseMessage, {kind: 'answered'}>,
  ): void {
    const {member, connection, heard, at} = message;
    const {askedAt, applied, work} = heard;
    this.pendingOf(member).delete(connection);
    const wasFailing = this.healthOf(member).failingSince !== undefined;
    this.setHealth(member, health =>
      afterAnswer(health, {tookMs: at - askedAt, applied, work}, at),
    );
    if (wasFailing) this.logMember('member.answers', member, 'member answers');
    if (!applied) return;
    const right = this.tools.right(this.leadership);
    // Only what the primary reports while the right holds is a valid sample.
    if (right.kind === 'granted' && right.primary === member) {
      this.samples = addPositionSample(this.samples, {askedAt, end: applied});
    }
  }

  private faulted(
    {member, connection, fault}: Extract<DatabaseMessage, {kind: 'fault'}>,
    now: number,
  ): void {
    this.pendingOf(member).delete(connection);
    const pool = this.pools.get(member);
    if (fault.kind === 'rejected' && fault.error.kind !== 'wrong-member') {
      if (fault.error.kind === 'too-many-connections') pool?.memberFull(now);
      return;
    }
    const wasFailing = this.healthOf(member).failingSince !== undefined;
    this.setHealth(member, health => afterFailure(health, now));
    // Other connections of the member may be as silent as this one.
    if (fault.kind !== 'rejected') pool?.dropIdle();
    if (!wasFailing) {
      this.logMember('member.fails', member, 'member does not answer', fault);
    }
    this.suspect(now);
  }

  /** A member refused a write although it is recorded as the primary. */
  private notPrimary(member: string, now: number): void {
    const right = this.tools.right(this.leadership);
    if (right.kind !== 'granted' || right.primary !== member) return;
    this.setHealth(member, health => afterFailure(health, now));
    this.suspect(now);
  }

  private suspect(now: number): void {
    const record = this.leadership?.record;
    if (record?.phase !== 'settled') return;
    const {primary} = record;
    if (this.sighting(primary, now) !== 'unreachable') return;
    const since =
      this.health.get(primary)?.failingSince ?? this.oldestPending(primary);
    this.tools.onSuspect(this.group, primary, since ?? now);
  }

  private async sight(reply: Reply<PrimarySighting>): Promise<void> {
    const record = this.leadership?.record;
    const primary = record?.phase === 'settled' ? record.primary : undefined;
    const listed = primary === undefined ? undefined : this.listed(primary);
    if (primary === undefined || !listed) {
      reply.answer('unknown');
      return;
    }
    const seen = this.sighting(primary, this.tools.clock());
    if (seen === 'reachable') {
      reply.answer(seen);
      return;
    }
    const status = await this.control.status(this.group, listed);
    const isPrimary = status.ok && status.value.role === 'primary';
    const isOther = status.ok && !isPrimary;
    reply.answer(answersNow(status) && !isOther ? 'reachable' : 'unreachable');
  }

  private readStatus(
    member: string,
    reply: Extract<DatabaseMessage, {kind: 'status'}>['reply'],
  ): void {
    const listed = this.listed(member);
    if (!listed) {
      reply.answer(
        fail({kind: 'not-sent', detail: 'the member is not listed'}),
      );
      return;
    }
    void this.control.status(this.group, listed).then(reply.answer);
  }

  private stepDown(member: string, term: number): void {
    const listed = this.listed(member);
    if (listed) void this.control.stepDown(this.group, listed, term);
  }

  private tick(now: number): void {
    for (const [member, pool] of this.pools) {
      pool.maintain(now);
      if (pool.size === 0 && !this.listed(member)) this.forget(member);
    }
    this.probeFailing(now);
    this.finishStops(now);
    this.serveWaiting(now);
    this.suspect(now);
  }

  /** Asks members that failed whether they answer, in place of statements. */
  private probeFailing(now: number): void {
    for (const listed of this.view?.members ?? []) {
      const {member} = listed;
      const {failingSince, avoidUntil} = this.healthOf(member);
      if (failingSince === undefined || avoidUntil > now) continue;
      if (this.probing.has(member)) continue;
      this.probing.add(member);
      const askedAt = now;
      void this.control
        .status(this.group, listed)
        .then(status => this.tell({kind: 'probed', member, askedAt, status}));
    }
  }

  private probed(
    {member, status}: Extract<DatabaseMessage, {kind: 'probed'}>,
    now: number,
  ): void {
    this.probing.delete(member);
    if (!answersNow(status)) {
      this.setHealth(member, health => afterFailure(health, now));
      return;
    }
    this.setHealth(member, health =>
      afterAnswer(health, {tookMs: 0, applied: undefined, work: 'setup'}, now),
    );
    this.logMember('member.answers', member, 'member answers');
    this.serveWaiting(now);
  }

  private serveWaiting(now: number): void {
    const waiting = this.waiting;
    this.waiting = [];
    for (const {request, reply} of waiting) {
      this.lease({kind: 'lease', request, reply}, now);
    }
  }

  private refuseWaiting(kind: LeaseRefusal['kind'], detail: string): void {
    for (const {reply} of this.waiting) {
      reply.answer(fail(refusal(kind, detail)));
    }
    this.waiting = [];
  }

  /** Wakes the task while somebody waits or a member owes an answer. */
  private scheduleTick(): void {
    if (this.ticker) return;
    const isBusy =
      this.waiting.length > 0 ||
      this.stops.length > 0 ||
      [...this.pools.values()].some(
        pool => pool.size > 0 || pool.waiting > 0,
      ) ||
      [...this.health.values()].some(item => item.failingSince !== undefined);
    if (!isBusy) return;
    this.ticker = setTimeout(() => {
      this.ticker = undefined;
      this.tell({kind: 'tick'});
    }, TICK_MS);
  }

  private listed(member: string): ListedMember | undefined {
    return this.view?.members.find(item => item.member === member);
  }

  private proximityOf(listed: ListedMember): MemberLoad['proximity'] {
    const {vm, regionOf} = this.tools;
    if (listed.dataCentre === vm.dataCentre) return 'same-data-centre';
    return regionOf(listed.dataCentre) === vm.region
      ? 'same-region'
      : 'other-region';
  }

  private isInRegions(
    listed: ListedMember,
    regions: readonly string[],
  ): boolean {
    return (
      regions.length === 0 ||
      regions.includes(this.tools.regionOf(listed.dataCentre))
    );
  }

  private sighting(member: string, now: number): PrimarySighting {
    return sightingOf(this.healthOf(member), this.oldestPending(member), now);
  }

  private oldestPending(member: string): number | undefined {
    let oldest: number | undefined;
    for (const sentAt of this.pending.get(member)?.values() ?? []) {
      if (oldest === undefined || sentAt < oldest) oldest = sentAt;
    }
    return oldest;
  }

  private pendingOf(member: string): Map<MemberConnection, number> {
    const known = this.pending.get(member);
    if (known) return known;
    const created = new Map<MemberConnection, number>();
    this.pending.set(member, created);
    return created;
  }

  private healthOf(member: string): MemberHealth {
    return this.health.get(member) ?? NEW_MEMBER_HEALTH;
  }

  private setHealth(
    member: string,
    change: (health: MemberHealth) => MemberHealth,
  ): void {
    this.health.set(member, change(this.healthOf(member)));
  }

  private logMember(
    event: string,
    member: string,
    text: string,
    fault?: unknown,
  ): void {
    this.tools.log.info({event, group: this.group, member, fault}, text);
  }
}

/** Whether a member answered at all; one without a free slot did. */
function answersNow(status: StatusResult): boolean {
  if (status.ok || status.err === 'unreadable') return true;
  return (
    status.err.kind === 'rejected' && status.err.error.kind !== 'wrong-member'
  );
}

function refusal(kind: LeaseRefusal['kind'], detail: string): LeaseRefusal {
  const retryAfterMs =
    kind === 'primary-moving' ? RETRY_MOVING_MS : RETRY_SOON_MS;
  return {kind, detail, retryAfterMs};
}

function refusalOf(
  reason: Extract<PrimaryRight, {kind: 'denied'}>['reason'],
): LeaseRefusal {
  switch (reason) {
    case 'moving':
      return refusal('primary-moving', 'the group gets another primary');
    case 'no-record':
      return refusal('no-primary', 'no primary is recorded');
    case 'proof-expired':
    case 'not-joined':
      return refusal('view-expired', reason);
  }
}

function poolRefusal(
  reason: Exclude<PoolRefusal, 'member-left'>,
): LeaseRefusal {
  switch (reason) {
    case 'queue-full':
      return refusal('overloaded', 'too many statements of the workspace wait');
    case 'wait-ended':
      return refusal('overloaded', 'no connection became free in time');
  }
}
