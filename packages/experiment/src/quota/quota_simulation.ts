import {
  MAX_ADMISSION_WAIT_MS,
  Random,
  FULL_SHARE_PPM,
  decideQuota,
  newQuotaState,
} from '@pistachiorill/core';
import type {
  QuotaEffect,
  QuotaLimits,
  QuotaMessage,
  QuotaState,
} from '@pistachiorill/core';

const WORKSPACE = 'w';
const TICK_MS = 20;

/** A fleet of VMs and the load of one workspace that it admits. */
export interface QuotaScenario {
  readonly vms: number;
  /** The limits of the workspace. */
  readonly limits: QuotaLimits;
  /** Statements per second over the whole fleet. */
  readonly demand: number;
  /** Whether one VM or a random one receives each statement. */
  readonly spread: 'one-vm' | 'all-vms';
  /** Whether the gaps between statements are equal or exponential. */
  readonly arrivals: 'regular' | 'poisson';
  /** Delay of each message between VMs. */
  readonly messageDelayMs: number;
  /** Time before `measuredMs` in which statements are not counted. */
  readonly warmUpMs: number;
  /** Time in which statements are counted. */
  readonly measuredMs: number;
  readonly seed: number;
}

/** The counts of the statements that arrived in the measured time. */
export interface SimulationResult {
  readonly offered: number;
  readonly refused: number;
  /** Loan requests for each offered statement. */
  readonly requestsPerStatement: number;
  /** Mean time from the arrival of a statement to its decision. */
  readonly waitedMsMean: number;
}

/** Simulates the quota decisions of a fleet in virtual time, without faults. */
export function simulateQuota(scenario: QuotaScenario): SimulationResult {
  return new QuotaSimulation(scenario).run();
}

class QuotaSimulation {
  private readonly random: Random;
  private readonly states: QuotaState[];
  private readonly events = new Map<number, Array<() => void>>();
  private readonly arrivals = new Map<number, number>();
  private now = 0;
  private lastTicket = 0;
  private offered = 0;
  private refused = 0;
  private requests = 0;
  private waited = 0;

  constructor(private readonly scenario: QuotaScenario) {
    this.random = new Random(scenario.seed);
    const names = Array.from({length: scenario.vms}, (_, i) => `vm${i}`);
    this.states = names.map(name => newQuotaState(name));
    names.forEach((name, vm) => {
      const limits = new Map([[WORKSPACE, scenario.limits]]);
      const sharePpm = Math.floor(FULL_SHARE_PPM / scenario.vms);
      this.decide(vm, {kind: 'limits', limits});
      this.decide(vm, {kind: 'share', sharePpm, confirmedUntil: Infinity});
      this.decide(vm, {
        kind: 'peers',
        peers: names.filter(peer => peer !== name),
      });
    });
  }

  run(): SimulationResult {
    const {warmUpMs, measuredMs} = this.scenario;
    const end = warmUpMs + measuredMs + MAX_ADMISSION_WAIT_MS + TICK_MS;
    this.scheduleArrival(0);
    for (; this.now < end; this.now++) {
      this.states.forEach((_, vm) => {
        if ((this.now + vm) % TICK_MS === 0) this.decide(vm, {kind: 'tick'});
      });
      for (const event of this.events.get(this.now) ?? []) event();
      this.events.delete(this.now);
    }
    return {
      offered: this.offered,
      refused: this.refused,
      requestsPerStatement: this.requests / this.offered,
      waitedMsMean: this.waited / this.offered,
    };
  }

  private isMeasured(at: number): boolean {
    const {warmUpMs, measuredMs} = this.scenario;
    return at >= warmUpMs && at < warmUpMs + measuredMs;
  }

  private scheduleArrival(previous: number): void {
    const mean = 1_000 / this.scenario.demand;
    const gap =
      this.scenario.arrivals === 'regular'
        ? mean
        : -Math.log(1 - this.random.fraction()) * mean;
    const at = previous + gap;
    this.at(Math.ceil(at), () => {
      const {spread, vms} = this.scenario;
      const vm = spread === 'one-vm' ? 0 : this.random.integer(0, vms - 1);
      this.scheduleArrival(at);
      const ticket = ++this.lastTicket;
      this.arrivals.set(ticket, this.now);
      if (this.isMeasured(this.now)) this.offered++;
      const until = this.now + MAX_ADMISSION_WAIT_MS;
      this.decide(vm, {
        kind: 'admit',
        workspace: WORKSPACE,
        ticket,
        deadline: until,
      });
    });
  }

  /** Runs the event at the given time, or now if that has passed. */
  private at(time: number, event: () => void): void {
    const due = Math.max(time, this.now);
    const events = this.events.get(due);
    if (events) events.push(event);
    else this.events.set(due, [event]);
  }

  private decide(vm: number, message: QuotaMessage): void {
    const before = this.states[vm] as QuotaState;
    const decision = decideQuota(before, message, this.random, this.now);
    this.states[vm] = decision.state;
    for (const effect of decision.effects) this.apply(vm, effect);
  }

  private apply(vm: number, effect: QuotaEffect): void {
    const delay = this.scenario.messageDelayMs;
    switch (effect.kind) {
      case 'admitted':
      case 'refused': {
        const at = this.arrivals.get(effect.ticket) as number;
        if (!this.isMeasured(at)) return;
        this.waited += this.now - at;
        if (effect.kind === 'refused') this.refused++;
        return;
      }
      case 'request-loan':
        if (this.isMeasured(this.now)) this.requests++;
        this.at(this.now + delay, () => {
          const lender = Number(effect.lender.slice(2));
          this.decide(lender, {
            kind: 'loan-requested',
            request: effect.request,
          });
        });
        return;
      case 'answer-loan': {
        const {grant} = effect;
        const borrower = Number(/^vm(\d+)\//.exec(grant.requestId)?.[1]);
        this.at(this.now + delay, () =>
          this.decide(borrower, {
            kind: 'loan-answered',
            workspace: WORKSPACE,
            requestId: grant.requestId,
            lender: `vm${vm}`,
            grant,
          }),
        );
        return;
      }
    }
  }
}
