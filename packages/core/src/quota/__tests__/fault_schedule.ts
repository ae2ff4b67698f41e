import {Random} from '../../common/random.js';
import {decideQuota} from '../decide_quota.js';
import {FULL_SHARE_PPM} from '../quota_limits.js';
import type {QuotaEffect, QuotaMessage} from '../quota_message.js';
import {newQuotaState} from '../quota_state.js';
import type {QuotaState} from '../quota_state.js';
import {accrue} from '../token_account.js';

const WORKSPACE = 'w';
const VM_COUNT = 4;
const RATE_PER_SECOND = 40;
const BURST_TOKENS = 40;
/** The largest deviation of a VM clock's rate from real time. */
const MAX_DRIFT_FRACTION = 0.04;
const CLOCK_RATES = [1, 1 + MAX_DRIFT_FRACTION, 1 - MAX_DRIFT_FRACTION, 1];

/** One step of a fault schedule. */
export interface FaultStep {
  /** The time between the previous step and this one. */
  readonly afterMs: number;
  readonly kind:
    | 'statements'
    | 'deliver'
    | 'repeat'
    | 'lose'
    | 'restart'
    | 'pause'
    | 'unconfirmed'
    | 'cut'
    | 'heal'
    | 'tick';
  /** The index of the VM that the step affects. */
  readonly vm: number;
  /**
   * The number of statements or messages, the index of the message to repeat,
   * the pause in units of 500 ms, or the remaining confirmation in units of
   * 100 ms. Unused for the other kinds.
   */
  readonly amount: number;
}

interface Message {
  readonly from: number;
  readonly to: number;
  readonly incarnation: string;
  readonly content: QuotaMessage;
}

interface SimulatedVm {
  state: QuotaState;
  restarts: number;
  pausedUntil: number;
}

/**
 * Runs a schedule and returns the violations of the bounds, if any. Messages
 * stay in flight until a step delivers or drops them.
 */
export function runFaultSchedule(
  seed: number,
  steps: readonly FaultStep[],
): string[] {
  const run = new FaultSimulation(seed);
  for (const step of steps) run.step(step);
  return run.broken;
}

class FaultSimulation {
  /** Violations of the bounds found so far. */
  readonly broken: string[] = [];
  private readonly random: Random;
  private readonly vms: SimulatedVm[] = [];
  private readonly delivered: Message[] = [];
  private inFlight: Message[] = [];
  private readonly admitted: number[] = [];
  private now = 0;
  private ticket = 0;
  private partition: 'none' | 'halves' = 'none';

  constructor(seed: number) {
    this.random = new Random(seed);
    for (let vm = 0; vm < VM_COUNT; vm++) {
      this.vms.push({
        state: newQuotaState(''),
        restarts: 0,
        pausedUntil: 0,
      });
      this.start(vm);
    }
  }

  step(step: FaultStep): void {
    this.now += step.afterMs;
    const simulated = this.vms[step.vm] as SimulatedVm;
    switch (step.kind) {
      case 'statements':
        for (let i = 0; i < step.amount; i++) {
          const ticket = ++this.ticket;
          const deadline = this.clockOf(step.vm) + 200;
          this.decide(step.vm, {
            kind: 'admit',
            workspace: WORKSPACE,
            ticket,
            deadline,
          });
        }
        break;
      case 'deliver':
        for (let i = 0; i < step.amount; i++) this.deliver();
        break;
      case 'repeat':
        if (this.delivered.length > 0) {
          const at = step.amount % this.delivered.length;
          this.inFlight.push(this.delivered[at] as Message);
          this.deliver();
        }
        break;
      case 'lose':
        this.inFlight.splice(0, step.amount);
        break;
      case 'restart':
        this.restart(step.vm);
        break;
      case 'pause':
        simulated.pausedUntil = this.now + step.amount * 500;
        break;
      case 'unconfirmed':
        this.decide(step.vm, {
          kind: 'share',
          sharePpm: FULL_SHARE_PPM / VM_COUNT,
          confirmedUntil: this.clockOf(step.vm) + step.amount * 100,
        });
        break;
      case 'cut':
        this.partition = 'halves';
        break;
      case 'heal':
        this.partition = 'none';
        break;
      case 'tick':
        this.decide(step.vm, {kind: 'tick'});
        break;
    }
    this.check();
  }

  private start(vm: number): void {
    const simulated = this.vms[vm] as SimulatedVm;
    simulated.state = newQuotaState(this.name(vm));
    const limits = new Map([
      [WORKSPACE, {rate: RATE_PER_SECOND, burst: BURST_TOKENS}],
    ]);
    const sharePpm = FULL_SHARE_PPM / VM_COUNT;
    this.decide(vm, {kind: 'limits', limits});
    this.decide(vm, {kind: 'share', sharePpm, confirmedUntil: Infinity});
    this.decide(vm, {
      kind: 'peers',
      peers: [0, 1, 2, 3].filter(peer => peer !== vm).map(String),
    });
  }

  /**
   * Restarts a VM. The new incarnation gets its share once the loans of the old
   * one have ended, at the latest after `MAX_SHARE_LOAN_MS` with the margin of
   * `LENDER_DURATION_FACTOR`: 3,300 ms on the slowest clock.
   */
  private restart(vm: number): void {
    const simulated = this.vms[vm] as SimulatedVm;
    simulated.restarts++;
    simulated.pausedUntil = 0;
    simulated.state = newQuotaState(this.name(vm));
    const limits = new Map([
      [WORKSPACE, {rate: RATE_PER_SECOND, burst: BURST_TOKENS}],
    ]);
    this.decide(vm, {kind: 'limits', limits});
    simulated.pausedUntil = this.now + 3_300 / (1 - MAX_DRIFT_FRACTION);
    this.now = simulated.pausedUntil;
    this.start(vm);
  }

  /** Returns the VM's present incarnation. */
  private name(vm: number): string {
    return `${vm}#${this.vms[vm]?.restarts ?? 0}`;
  }

  private clockOf(vm: number): number {
    return 1_000 * vm + this.now * (CLOCK_RATES[vm] as number);
  }

  private deliver(): void {
    const message = this.inFlight.shift();
    if (!message) return;
    const {from, to} = message;
    const separated = from < 2 !== to < 2;
    if (this.partition === 'halves' && separated) return;
    this.delivered.push(message);
    if (this.vms[to]?.state.self !== message.incarnation) {
      // An answer reaches only the process that sent the request.
      if (message.content.kind === 'loan-answered') return;
    }
    this.decide(to, message.content, from);
  }

  private decide(vm: number, content: QuotaMessage, from = vm): void {
    const simulated = this.vms[vm] as SimulatedVm;
    if (this.now < simulated.pausedUntil) return;
    const {state, effects} = decideQuota(
      simulated.state,
      content,
      this.random,
      this.clockOf(vm),
    );
    simulated.state = state;
    for (const effect of effects) this.apply(vm, from, effect);
  }

  private apply(vm: number, from: number, effect: QuotaEffect): void {
    switch (effect.kind) {
      case 'admitted':
        this.admitted.push(this.now);
        return;
      case 'refused':
        return;
      case 'request-loan': {
        const to = Number(effect.lender);
        const {request} = effect;
        this.send(vm, to, {kind: 'loan-requested', request});
        return;
      }
      case 'answer-loan': {
        const {grant} = effect;
        this.send(vm, from, {
          kind: 'loan-answered',
          workspace: WORKSPACE,
          requestId: grant.requestId,
          lender: String(vm),
          grant,
        });
        return;
      }
    }
  }

  private send(from: number, to: number, content: QuotaMessage): void {
    const incarnation = this.vms[to]?.state.self ?? '';
    this.inFlight.push({from, to, incarnation, content});
  }

  /** Checks that the sums over all VMs stay within rate and burst. */
  private check(): void {
    let tokens = 0;
    let ratePpm = 0;
    this.vms.forEach((simulated, vm) => {
      const quota = simulated.state.workspaces.get(WORKSPACE);
      if (!quota) return;
      const account = accrue(quota.account, this.clockOf(vm));
      tokens += account.tokens;
      ratePpm += recomputedRatePpm(account);
    });
    if (tokens > BURST_TOKENS + 1e-6) {
      this.broken.push(`${tokens} tokens at ${this.now}`);
    }
    if (ratePpm > FULL_SHARE_PPM) {
      this.broken.push(`${ratePpm} ppm of the rate at ${this.now}`);
    }
    this.checkWindows();
  }

  /** Each window that ends now admits at most burst + rate * length. */
  private checkWindows(): void {
    const {admitted} = this;
    for (let i = admitted.length - 1; i >= 0; i--) {
      const seconds = (this.now - (admitted[i] as number)) / 1_000;
      const bound =
        BURST_TOKENS + RATE_PER_SECOND * (1 + MAX_DRIFT_FRACTION) * seconds;
      if (admitted.length - i > bound + 1e-6) {
        this.broken.push(`${admitted.length - i} admitted in ${seconds} s`);
        return;
      }
    }
  }
}

/** The account's share of the rate, computed without `ratePpmOf`. */
function recomputedRatePpm(account: ReturnType<typeof accrue>): number {
  const own = account.at < account.confirmedUntil ? account.sharePpm : 0;
  const lent = account.lent.reduce((sum, item) => sum + item.grant.ratePpm, 0);
  return account.borrowed.reduce(
    (sum, loan) => sum + loan.ratePpm,
    Math.max(0, own - lent),
  );
}
