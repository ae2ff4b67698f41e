import {Random, UNLIMITED_CONCURRENCY} from '@pistachiorill/core';
import type {Checkout, CheckoutRequest} from '../database/checkout.js';
import type {MemberConnection} from '../database/member_connection.js';
import {MemberTable} from '../database/member_table.js';
import {placeStatement} from '../database/place_statement.js';
import type {ListedMember} from '../ports/member_directory.js';
import {listedMember} from './fake_group.js';

/** The time between a VM and a member, or a caller, in one direction. */
const ONE_WAY_MS = 1;
const MAINTENANCE_MS = 50;
/** A member queues this many statements for each of its slots. */
const QUEUE_PER_SLOT = 8;
const CLIENT_RETRIES = 2;
const CLIENT_DELAY_MS = 50;
const MAX_ATTEMPTS = 2;
const ATTEMPT_TIMEOUT_MS = 1_000;
const POSITION = {term: 1, position: 1};

/** A kind of request that callers send. */
export interface RequestKind {
  readonly name: string;
  readonly perSecond: number;
  readonly requirement: 'primary' | 'recent';
  readonly serviceMs: number;
  readonly targetMs: number;
  readonly deadlineMs: number;
}

/** A load on the members of one group, of which `a` is the primary. */
export interface SimulatedLoad {
  readonly seed: number;
  readonly vms: number;
  readonly slots: number;
  readonly kinds: readonly RequestKind[];
  readonly durationMs: number;
  /** The members that are listed from a time on; later ones replace earlier. */
  readonly listings: ReadonlyArray<{
    readonly at: number;
    readonly members: Readonly<Record<string, string>>;
  }>;
  /** A time in which a member does not respond, after which it is cold. */
  readonly outage?: {
    readonly address: string;
    readonly from: number;
    readonly to: number;
  };
  /** How many times longer a member takes after `executed` statements. */
  readonly slowness: (address: string, executed: number) => number;
  readonly limits: 'none' | 'adaptive';
}

/** What the callers of one kind got. */
export interface CallerOutcomes {
  inTime: number;
  late: number;
  refused: number;
  /** Statements that a member refused as busy. */
  busy: number;
  /** The 95th percentile of the time to the answers. */
  p95Ms: number;
}

interface Request {
  readonly kind: RequestKind;
  readonly vm: number;
  readonly arrivedAt: number;
  tries: number;
  attempts: number;
  excluded: readonly string[];
}

/** A member that queues statements in front of its slots. */
class SimulatedMember {
  private readonly waiting: Array<() => void> = [];
  private executing = 0;
  private executed = 0;

  constructor(
    private readonly address: string,
    private readonly simulation: LoadSimulation,
  ) {}

  /** Whether the member responds. */
  get isUp(): boolean {
    const {outage} = this.simulation.load;
    if (outage?.address !== this.address) return true;
    return !(
      this.simulation.now >= outage.from && this.simulation.now < outage.to
    );
  }

  /** Restarts the member without the statements that it held. */
  reset(): void {
    this.executing = 0;
    this.executed = 0;
    this.waiting.length = 0;
  }

  /** Executes a statement, or refuses it if the queue is full. */
  receive(serviceMs: number, done: (outcome: 'done' | 'busy') => void): void {
    if (!this.isUp) return;
    const {slots} = this.simulation.load;
    const run = (): void => this.execute(serviceMs, () => done('done'));
    if (this.executing < slots) run();
    else if (this.waiting.length < slots * QUEUE_PER_SLOT) {
      this.waiting.push(run);
    } else done('busy');
  }

  private execute(serviceMs: number, done: () => void): void {
    this.executing++;
    const {load} = this.simulation;
    const tookMs = serviceMs * load.slowness(this.address, this.executed++);
    this.simulation.after(tookMs, () => {
      if (!this.isUp) return;
      this.executing--;
      done();
      this.waiting.shift()?.();
    });
  }
}

/** Runs the pools of several VMs against a group in simulated time. */
class LoadSimulation {
  now = 0;
  private readonly events: Array<{at: number; run: () => void}> = [];
  private readonly random: Random;
  private readonly tables: readonly MemberTable[];
  private readonly members = new Map<string, SimulatedMember>();
  private readonly tookMs = new Map<string, number[]>();
  private readonly outcomes = new Map<string, CallerOutcomes>();

  constructor(readonly load: SimulatedLoad) {
    this.random = new Random(load.seed);
    this.tables = Array.from({length: load.vms}, () => newTable());
    for (const {name} of load.kinds) {
      this.tookMs.set(name, []);
      this.outcomes.set(name, {
        inTime: 0,
        late: 0,
        refused: 0,
        busy: 0,
        p95Ms: 0,
      });
    }
  }

  run(): Readonly<Record<string, CallerOutcomes>> {
    const {kinds, listings, durationMs, vms, outage} = this.load;
    if (outage) {
      const restart = (): void => this.members.get(outage.address)?.reset();
      this.schedule(outage.to, restart);
    }
    for (const {at, members} of listings) {
      this.schedule(at, () => this.list(members));
    }
    for (const kind of kinds) {
      for (let at = 0; at < durationMs;) {
        at += -Math.log(1 - this.random.fraction()) * (1_000 / kind.perSecond);
        const vm = this.random.integer(0, vms - 1);
        const req = {
          kind,
          vm,
          arrivedAt: at,
          tries: 0,
          attempts: 0,
          excluded: [],
        };
        this.schedule(at, () => this.arrive(req));
      }
    }
    for (let at = 0; at < durationMs * 2; at += MAINTENANCE_MS) {
      this.schedule(at, () => this.tables.forEach(item => this.maintain(item)));
    }
    for (let next; (next = this.events.shift());) {
      this.now = next.at;
      next.run();
    }
    for (const [name, outcomes] of this.outcomes) {
      const sorted = (this.tookMs.get(name) ?? []).sort((a, b) => a - b);
      outcomes.p95Ms = Math.round(
        sorted[Math.floor(sorted.length * 0.95)] ?? 0,
      );
    }
    return Object.fromEntries(this.outcomes);
  }

  after(delayMs: number, run: () => void): void {
    this.schedule(this.now + delayMs, run);
  }

  /** Maintains the pools and probes the members that failed. */
  private maintain(table: MemberTable): void {
    table.maintain(this.now);
    for (const {member, address} of table.membersToProbe(this.now)) {
      if (this.members.get(address)?.isUp) table.recovered(member, this.now);
      else table.failed(member, this.now);
    }
  }

  private list(members: Readonly<Record<string, string>>): void {
    const listed = Object.entries(members).map(([member, address]) =>
      listedMember(member, {address, slots: this.load.slots}),
    );
    for (const {address} of listed) {
      if (!this.members.has(address)) {
        this.members.set(address, new SimulatedMember(address, this));
      }
    }
    for (const table of this.tables) {
      table.setView(viewOf(listed), this.now);
      if (this.load.limits === 'adaptive') continue;
      for (const {member} of listed) {
        Object.defineProperty(table.pool(member), 'concurrency', {
          get: () => UNLIMITED_CONCURRENCY,
          set: () => undefined,
          configurable: true,
        });
      }
    }
  }

  private arrive(req: Request): void {
    const table = this.tables[req.vm];
    if (!table) return;
    const request = requestOf(req, this.now);
    const placed = placeStatement(request, {
      members: table,
      samples: [{askedAt: this.now, end: POSITION}],
      primaryLease: {kind: 'granted', primary: 'a'},
      record: {phase: 'settled', primary: 'a'},
      now: this.now,
    });
    if (!placed.ok) {
      this.refused(req);
      return;
    }
    const {member} = placed.value;
    table.pool(member)?.add(
      {
        ...request,
        grant: connection =>
          this.send(req, table, {...placed.value, connection}),
        refuse: () => this.refused(req),
      },
      this.now,
    );
  }

  private send(req: Request, table: MemberTable, checkout: Checkout): void {
    const {member, connection} = checkout;
    const sentAt = this.now;
    table.sent(member, connection, sentAt);
    const address = table.listed(member)?.address ?? '';
    const serviceMs = req.kind.serviceMs * (0.5 + this.random.fraction());
    let phase: 'pending' | 'over' = 'pending';
    this.after(ATTEMPT_TIMEOUT_MS, () => {
      if (phase === 'over') return;
      phase = 'over';
      const fault = {kind: 'silent', afterMs: ATTEMPT_TIMEOUT_MS} as const;
      Object.assign(connection, {state: 'closed'});
      table.recordFault(member, connection, fault, this.now);
      table.pool(member)?.returnConnection(connection, this.now);
      req.excluded = [...req.excluded, member];
      this.arrive(req);
    });
    const answered = (outcome: 'done' | 'busy'): void => {
      if (phase === 'over') return;
      phase = 'over';
      const info = {sentAt, applied: POSITION, work: 'statement'} as const;
      table.answered(member, connection, {...info, outcome}, this.now);
      table.pool(member)?.returnConnection(connection, this.now);
      if (outcome === 'done') this.served(req);
      else this.busy(req);
    };
    this.after(ONE_WAY_MS, () =>
      this.members
        .get(address)
        ?.receive(serviceMs, outcome =>
          this.after(ONE_WAY_MS, () => answered(outcome)),
        ),
    );
  }

  private served({kind, arrivedAt}: Request): void {
    const tookMs = this.now + ONE_WAY_MS - arrivedAt;
    this.tookMs.get(kind.name)?.push(tookMs);
    const isLate = tookMs > kind.targetMs;
    this.count(kind, isLate ? 'late' : 'inTime');
  }

  private busy(req: Request): void {
    this.count(req.kind, 'busy');
    if (++req.attempts < MAX_ATTEMPTS) this.arrive(req);
    else this.refused(req);
  }

  /** The caller repeats a refused request after the delay that it was told. */
  private refused(req: Request): void {
    const at = this.now + CLIENT_DELAY_MS;
    const isOver = at - req.arrivedAt > req.kind.deadlineMs;
    if (req.tries++ >= CLIENT_RETRIES || isOver) {
      this.count(req.kind, 'refused');
      return;
    }
    req.attempts = 0;
    req.excluded = [];
    this.schedule(at, () => this.arrive(req));
  }

  private count(
    {name}: RequestKind,
    outcome: Exclude<keyof CallerOutcomes, 'p95Ms'>,
  ): void {
    const outcomes = this.outcomes.get(name);
    if (outcomes) outcomes[outcome]++;
  }

  /** Keeps the events in order of time; equal times in order of scheduling. */
  private schedule(at: number, run: () => void): void {
    let low = 0;
    let high = this.events.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.events[middle]?.at ?? 0) <= at) low = middle + 1;
      else high = middle;
    }
    this.events.splice(low, 0, {at, run});
  }
}

/** Returns what the callers of each kind get under a load. */
export function simulateLoad(
  load: SimulatedLoad,
): Readonly<Record<string, CallerOutcomes>> {
  return new LoadSimulation(load).run();
}

function requestOf({kind, excluded}: Request, now: number): CheckoutRequest {
  return {
    workspace: 'co-op',
    values: new Map(),
    use: 'statement',
    requirement:
      kind.requirement === 'primary'
        ? {kind: 'primary'}
        : {kind: 'recent', maxAgeMs: 1_500, seen: undefined},
    excluded,
    regions: [],
    until: now + kind.targetMs * 0.9,
  };
}

function newTable(): MemberTable {
  return new MemberTable({
    vm: {dataCentre: 'macon', region: 'ga'},
    regionOf: () => 'ga',
    open: () => {
      const connection = {
        state: 'clean',
        values: new Map(),
        tell: () => undefined,
      };
      return connection as unknown as MemberConnection;
    },
  });
}

function viewOf(members: readonly ListedMember[]) {
  const settings = {
    name: 'wash',
    connectionLimit: 50,
    synchronousReplicas: 0,
    warmupPerSecond: 0,
  };
  return {settings, members, dataCentresOut: new Set<string>(), vmCount: 1};
}
