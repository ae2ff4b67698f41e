import {Random, UNLIMITED_CONCURRENCY, withJitter} from '@pistachiorill/core';
import type {Checkout, CheckoutRequest} from '../database/checkout.js';
import type {ResponseInfo} from '../database/member_connection.js';
import {placeStatement} from '../database/place_statement.js';
import {listedMember} from './fake_group.js';
import {SimulatedMember} from './simulated_member.js';
import type {MemberBehaviour} from './simulated_member.js';
import {SimulatedTime} from './simulated_time.js';
import {newVm, viewOf} from './simulated_vm.js';
import type {SimulatedVm} from './simulated_vm.js';

/** The time between a VM and a member, or a caller, in one direction. */
const ONE_WAY_MS = 1;
const MAINTENANCE_MS = 50;
const CLIENT_RETRIES = 2;
/** A refusal within this time of the arrival at the VM is one at once. */
const AT_ONCE_MS = 10;
const ATTEMPT_TIMEOUT_MS = 1_000;
const POSITION = {term: 1, position: 1};

/** A kind of request that callers send. */
export interface RequestKind {
  readonly name: string;
  readonly perSecond: number;
  readonly requirement: 'primary' | 'recent';
  readonly priority: number;
  readonly serviceMs: number;
  readonly targetMs: number;
  readonly deadlineMs: number;
}

/** A load on the members of one group, of which `a` is the primary. */
export interface SimulatedLoad extends MemberBehaviour {
  readonly seed: number;
  readonly vms: number;
  readonly kinds: readonly RequestKind[];
  readonly durationMs: number;
  /** A time in which callers send more requests by a factor. */
  readonly burst?: {
    readonly from: number;
    readonly to: number;
    readonly factor: number;
  };
  /** The members that are listed from a time on; later ones replace earlier. */
  readonly listings: ReadonlyArray<{
    readonly at: number;
    readonly members: Readonly<Record<string, string>>;
  }>;
  /** `before`: no limits and priorities, immediate retries, fixed delays. */
  readonly decisions: 'before' | 'now';
}

/** What the callers of one kind got. */
export interface CallerOutcomes {
  inTime: number;
  late: number;
  refusedAtOnce: number;
  refusedLate: number;
  /** Statements that a member refused as busy. */
  busy: number;
  /** The 95th percentile of the time to the answers. */
  p95Ms: number;
}

type OutcomesByKind = Readonly<Record<string, CallerOutcomes>>;

const NO_OUTCOMES: CallerOutcomes = {
  inTime: 0,
  late: 0,
  refusedAtOnce: 0,
  refusedLate: 0,
  busy: 0,
  p95Ms: 0,
};

interface Request {
  readonly kind: RequestKind;
  readonly vm: number;
  readonly arrivedAt: number;
  /** The arrival of the caller's present try. */
  triedAt: number;
  tries: number;
  refusals: number;
  excluded: readonly string[];
}

/** Runs the pools of several VMs against a group in simulated time. */
class LoadSimulation {
  private readonly time = new SimulatedTime();
  private readonly random: Random;
  private readonly vms: readonly SimulatedVm[];
  private readonly members = new Map<string, SimulatedMember>();
  private readonly tookMs = new Map<string, number[]>();
  private readonly outcomes = new Map<string, CallerOutcomes>();

  constructor(readonly load: SimulatedLoad) {
    this.random = new Random(load.seed);
    this.vms = Array.from({length: load.vms}, () => newVm(this.random));
    for (const {name} of load.kinds) {
      this.tookMs.set(name, []);
      this.outcomes.set(name, {...NO_OUTCOMES});
    }
  }

  run(): OutcomesByKind {
    const {kinds, listings, durationMs, vms, outage} = this.load;
    if (outage) {
      const restart = (): void => this.members.get(outage.address)?.reset();
      this.time.schedule(outage.to, restart);
    }
    for (const {at, members} of listings) {
      this.time.schedule(at, () => this.list(members));
    }
    for (const kind of kinds) {
      for (let at = 0; at < durationMs;) {
        const perSecond = kind.perSecond * this.factorAt(at);
        at += -Math.log(1 - this.random.fraction()) * (1_000 / perSecond);
        const vm = this.random.integer(0, vms - 1);
        const req = {
          kind,
          vm,
          arrivedAt: at,
          triedAt: at,
          tries: 0,
          refusals: 0,
          excluded: [],
        };
        this.time.schedule(at, () => this.startTry(req));
      }
    }
    this.vms.forEach((vm, index) => {
      const offset = (MAINTENANCE_MS * index) / vms;
      this.time.schedule(offset, () => this.maintain(vm));
    });
    this.time.run(durationMs * 2);
    for (const [name, outcomes] of this.outcomes) {
      const sorted = (this.tookMs.get(name) ?? []).sort((a, b) => a - b);
      outcomes.p95Ms = Math.round(
        sorted[Math.floor(sorted.length * 0.95)] ?? 0,
      );
    }
    return Object.fromEntries(this.outcomes);
  }

  private factorAt(at: number): number {
    const {burst} = this.load;
    return burst && at >= burst.from && at < burst.to ? burst.factor : 1;
  }

  /** Maintains the pools and probes the members that failed. */
  private maintain(vm: SimulatedVm): void {
    const {table} = vm;
    this.time.after(MAINTENANCE_MS, () => this.maintain(vm));
    table.maintain(this.time.now);
    for (const {member, address} of table.membersToProbe(this.time.now)) {
      if (this.members.get(address)?.isUp) {
        table.recovered(member, this.time.now);
      } else table.failed(member, this.time.now);
    }
  }

  private list(members: Readonly<Record<string, string>>): void {
    const listed = Object.entries(members).map(([member, address]) =>
      listedMember(member, {address, slots: this.load.slots}),
    );
    for (const {address} of listed) {
      if (!this.members.has(address)) {
        this.members.set(
          address,
          new SimulatedMember(address, this.time, this.load),
        );
      }
    }
    for (const {table} of this.vms) {
      table.setView(viewOf(listed), this.time.now);
      if (this.load.decisions === 'now') continue;
      for (const {member} of listed) {
        Object.defineProperty(table.pool(member), 'concurrency', {
          get: () => UNLIMITED_CONCURRENCY,
          set: () => undefined,
          configurable: true,
        });
        Object.assign(table.pool(member) ?? {}, {
          expectedLoad: () => ({waitMs: 0, intervalMs: 0}),
        });
      }
    }
  }

  private arrive(req: Request): void {
    const vm = this.vms[req.vm];
    if (!vm) return;
    const {table, refusals} = vm;
    const {priority} = req.kind;
    const isNow = this.load.decisions === 'now';
    const hasPriorities = isNow && this.load.kinds.length > 1;
    const request = {
      ...requestOf(req, this.time.now),
      priority: isNow ? priority : 1,
      dueAt: hasPriorities ? this.time.now + req.kind.targetMs : undefined,
    };
    const placed = placeStatement(request, {
      members: table,
      samples: [{askedAt: this.time.now, end: POSITION}],
      primaryLease: {kind: 'granted', primary: 'a'},
      record: {phase: 'settled', primary: 'a'},
      now: this.time.now,
    });
    if (!placed.ok) {
      const {retryAfterMs} = isNow ? refusals.spread(placed.err) : placed.err;
      this.refused(req, retryAfterMs);
      return;
    }
    const {member} = placed.value;
    table.pool(member)?.add(
      {
        ...request,
        grant: connection => this.send(req, vm, {...placed.value, connection}),
        refuse: (reason, load) => {
          if (reason === 'pool-drained') {
            this.arrive(req);
            return;
          }
          const {now} = this.time;
          const args = [reason, member, priority, load, now] as const;
          const {retryAfterMs} = refusals.ofPool(...args);
          this.refused(req, isNow ? retryAfterMs : 50);
        },
      },
      this.time.now,
    );
  }

  private send(req: Request, vm: SimulatedVm, checkout: Checkout): void {
    const {table} = vm;
    const {member, connection} = checkout;
    const sentAt = this.time.now;
    table.sent(member, connection, sentAt);
    const address = table.listed(member)?.address ?? '';
    const serviceMs = req.kind.serviceMs * (0.5 + this.random.fraction());
    let phase: 'pending' | 'over' = 'pending';
    this.time.after(ATTEMPT_TIMEOUT_MS, () => {
      if (phase === 'over') return;
      phase = 'over';
      const fault = {kind: 'silent', afterMs: ATTEMPT_TIMEOUT_MS} as const;
      Object.assign(connection, {state: 'closed'});
      table.recordFault(member, connection, fault, this.time.now);
      table.pool(member)?.returnConnection(connection, this.time.now);
      req.excluded = [...req.excluded, member];
      this.arrive(req);
    });
    const answered = (outcome: 'done' | 'busy'): void => {
      if (phase === 'over') return;
      phase = 'over';
      const info: ResponseInfo = {
        sentAt,
        applied: POSITION,
        work: 'statement',
        // A refusal was taken for any other answer.
        outcome: this.load.decisions === 'now' ? outcome : 'done',
      };
      table.answered(member, connection, info, this.time.now);
      table.pool(member)?.returnConnection(connection, this.time.now);
      if (outcome === 'done') this.served(req);
      else this.busy(req, vm, member);
    };
    this.time.after(ONE_WAY_MS, () =>
      this.members
        .get(address)
        ?.receive(serviceMs, outcome =>
          this.time.after(ONE_WAY_MS, () => answered(outcome)),
        ),
    );
  }

  private served({kind, arrivedAt}: Request): void {
    const tookMs = this.time.now + ONE_WAY_MS - arrivedAt;
    this.tookMs.get(kind.name)?.push(tookMs);
    const isLate = tookMs > kind.targetMs;
    this.count(kind, isLate ? 'late' : 'inTime');
  }

  /** Tries a statement again that a member refused, or refuses it. */
  private busy(req: Request, vm: SimulatedVm, member: string): void {
    this.count(req.kind, 'busy');
    const {priority, requirement} = req.kind;
    const hasOthers = requirement === 'recent';
    const refusals = ++req.refusals;
    if (this.load.decisions === 'before') {
      req.excluded = hasOthers ? [...req.excluded, member] : [];
      if (refusals < (hasOthers ? 4 : 2)) this.arrive(req);
      else this.refused(req, 50);
      return;
    }
    const until = req.triedAt + req.kind.deadlineMs - 100;
    const failed = {conclusion: 'retry', cause: 'busy'} as const;
    const plan = vm.retries.plan(
      {...failed, priority, hasOthers, refusals, until},
      this.time.now,
    );
    if (plan.kind === 'give-up') {
      this.refused(req, withJitter(100, this.random));
      return;
    }
    if (plan.next === 'other-member') req.excluded = [...req.excluded, member];
    this.time.after(plan.delayMs, () => this.arrive(req));
  }

  /** The caller repeats a refused request after the delay of the refusal. */
  private refused(req: Request, retryAfterMs: number): void {
    const {now} = this.time;
    const at = now + retryAfterMs + ONE_WAY_MS * 2;
    const isOver = at - req.arrivedAt > req.kind.deadlineMs;
    if (req.tries++ >= CLIENT_RETRIES || isOver) {
      const isAtOnce = now - req.triedAt <= AT_ONCE_MS;
      this.count(req.kind, isAtOnce ? 'refusedAtOnce' : 'refusedLate');
      return;
    }
    this.time.schedule(at, () => this.startTry(req));
  }

  private startTry(req: Request): void {
    req.triedAt = this.time.now;
    req.refusals = 0;
    req.excluded = [];
    this.vms[req.vm]?.retries.started(req.kind.priority);
    this.arrive(req);
  }

  private count(
    {name}: RequestKind,
    outcome: Exclude<keyof CallerOutcomes, 'p95Ms'>,
  ): void {
    const outcomes = this.outcomes.get(name);
    if (outcomes) outcomes[outcome]++;
  }
}

/** Returns what the callers of each kind get under a load. */
export function simulateLoad(load: SimulatedLoad): OutcomesByKind {
  return new LoadSimulation(load).run();
}

function requestOf(
  {kind, excluded}: Request,
  now: number,
): Omit<CheckoutRequest, 'priority'> {
  const {requirement, targetMs} = kind;
  const waitMs = targetMs * 0.9;
  return {
    workspace: 'co-op',
    values: new Map(),
    use: 'statement',
    requirement:
      requirement === 'primary'
        ? {kind: 'primary'}
        : {kind: 'recent', maxAgeMs: 1_500, seen: undefined},
    excluded,
    regions: [],
    until: now + (requirement === 'primary' ? Math.max(600, waitMs) : waitMs),
  };
}
