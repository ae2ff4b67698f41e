import type {AttemptAction, AttemptEvent, ClaimRow} from '../attempt.js';
import {decideFailover} from '../decide_failover.js';
import type {FailoverReport} from '../failover_report.js';
import type {FailoverMessage} from '../failover_state.js';
import {FakeMember} from './fake_member.js';
import {FakeVm} from './fake_vm.js';
import type {Fault, RunResult, Scenario} from './failover_scenario.js';

const TICK_MS = 5;
const POLL_EVERY_MS = 100;
const OBSERVE_EVERY_MS = 50;
const LATENCY_MS = 5;
const LAGGING_INTERVAL_MS = 300;
const CALL_TIMEOUT_MS = 500;
const PRIMARY_LOST_AT_MS = 1_000;
const PRIMARY_BACK_AT_MS = 9_000;
const END_AT_MS = 20_000;
const FAULT_DURATION_MS = 4_000;
const CONFIGURED_LATE_AT_MS = 7_000;

/** Simulates three data centres in virtual time, each with a member and a VM. */
export class FakeFleet {
  private now = 0;
  private readonly members = ['m1', 'm2', 'm3'].map(n => new FakeMember(n));
  private readonly vms: FakeVm[];
  private readonly unreachable = new Map<string, number>();
  private readonly queue: Array<{at: number; run: () => void}> = [];
  /** The members that accepted writes in each term. */
  private readonly acceptedBy = new Map<number, Set<string>>();
  /** When each write was last held by a majority, by id of the write. */
  private readonly acknowledged = new Map<number, number>();
  private row: ClaimRow | undefined;
  private rowVersion = 0;
  private storeDownUntil = 0;
  private storeAnswersToLose = 0;
  /** The faults that have not started yet. */
  private pending: Fault[];
  private readonly primaries: Array<{term: number; text: string}> = [];

  constructor(
    faults: readonly Fault[],
    seed: number,
    private readonly scenario: Scenario = 'primary-lost',
  ) {
    this.pending = [...faults];
    this.vms = ['v1', 'v2', 'v3'].map(
      (name, index) =>
        new FakeVm(name, `dc${index}`, this.members, seed * 3 + index),
    );
    const inService = scenario === 'one-data-centre' ? 1 : 3;
    for (const vm of this.vms) {
      vm.state = {...vm.state, dataCentresInService: inService};
    }
    if (scenario === 'new-group') return;
    const [first, ...others] = this.members;
    first?.call({kind: 'fence', backendServer: '', term: 1, owner: 'v0'});
    first?.call({kind: 'promote', backendServer: '', term: 1, owner: 'v0'});
    for (const member of others) {
      member.call({kind: 'follow', backendServer: '', term: 1, primary: ''});
    }
  }

  run(): RunResult {
    for (; this.now <= END_AT_MS; this.now += TICK_MS) {
      if (this.now === PRIMARY_LOST_AT_MS) this.startScenario();
      if (this.now === CONFIGURED_LATE_AT_MS) this.configure('late');
      this.replicate();
      this.runDueTasks();
      this.recordPrimaries();
      if (this.now % POLL_EVERY_MS === 0) this.vms.forEach(vm => this.poll(vm));
      if (this.now % OBSERVE_EVERY_MS === 0) {
        for (const vm of this.vms) {
          this.send(vm, this.observation(vm));
        }
      }
      if (this.now % 25 === 0) this.write();
    }
    return this.verdict();
  }

  /** Records the first primary of each term. */
  private recordPrimaries(): void {
    for (const {writable, name, term} of this.members) {
      const recorded = this.primaries.some(item => item.term === term);
      if (!writable || recorded) continue;
      this.primaries.push({term, text: `${name} in ${term} at ${this.now} ms`});
    }
  }

  /** Starts the failure or the switchover of the scenario. */
  private startScenario(): void {
    if (this.scenario === 'primary-lost') {
      this.unreachable.set('m1', PRIMARY_BACK_AT_MS);
    }
    this.configure('in-time');
  }

  /** Delivers the configuration in which `m1` has to leave. */
  private configure(when: 'in-time' | 'late'): void {
    if (!this.scenario.endsWith('planned-move')) return;
    for (const vm of this.vms) {
      const late = vm.name === 'v2' && /^(late|stuck)/.test(this.scenario);
      if (late !== (when === 'late')) continue;
      const members = vm.state.members.map(member =>
        member.backendServer === 'm1'
          ? {...member, eligibility: 'leaving' as const}
          : member,
      );
      this.send(vm, {kind: 'configured', members, dataCentresInService: 3});
    }
  }

  /** Returns what a VM observes, with its load on the primary. */
  private observation(vm: FakeVm): FailoverMessage {
    const busyUntil: Partial<Record<Scenario, number>> = {
      'busy-planned-move': 5_000,
      'late-planned-move': 5_000,
      'stuck-planned-move': Infinity,
    };
    const busy = vm.name === 'v2' && this.now < (busyUntil[this.scenario] ?? 0);
    const transactions = busy ? 1 : 0;
    const running = transactions;
    return {kind: 'observed', view: vm.view(), running, transactions};
  }

  private reaches(vm: FakeVm, name: string): boolean {
    const cut: Partial<Record<Scenario, string>> = {
      'one-partition': 'v1',
      'two-partitions': 'v1 v2',
      'one-data-centre': 'v1',
    };
    const isCut = name === 'm1' && cut[this.scenario]?.includes(vm.name);
    return this.reachable(name) && !(isCut && this.now >= PRIMARY_LOST_AT_MS);
  }

  private reachable(name: string): boolean {
    return (this.unreachable.get(name) ?? 0) <= this.now;
  }

  /** Lets each writable member accept a write, even while it is unreachable. */
  private write(): void {
    for (const member of this.members) {
      if (!member.writable) continue;
      member.append(this.now + 1);
      const accepted = this.acceptedBy.get(member.term) ?? new Set();
      this.acceptedBy.set(member.term, accepted.add(member.name));
    }
  }

  private replicate(): void {
    const stopped =
      this.scenario === 'lagging-planned-move' && this.now < 5_000;
    for (const primary of this.members) {
      if (!this.reachable(primary.name) || stopped) continue;
      for (const member of this.members) {
        // One member lags, so that the candidates have different logs.
        const lags =
          member.name === 'm3' && this.now % LAGGING_INTERVAL_MS !== 0;
        if (this.reachable(member.name) && !lags) member.replicate(primary);
      }
    }
    for (const member of this.members) this.acknowledge(member);
  }

  /** Acknowledges the last write of a member that a majority holds. */
  private acknowledge(member: FakeMember): void {
    const {term} = member;
    const last = member.log.at(-1);
    if (!last || last.term !== term || last.id === 0) return;
    const holders = this.members.filter(
      other =>
        other.term === term && other.log[last.position - 1]?.id === last.id,
    );
    if (holders.length >= 2) this.acknowledged.set(last.id, this.now);
  }

  private poll(vm: FakeVm): void {
    if (vm.pausedUntil > this.now) return;
    vm.views = this.members.map((member, index) => {
      const reached = this.reaches(vm, member.name);
      return {
        backendServer: member.name,
        dataCentre: `dc${index}`,
        reachability: reached ? 'reachable' : 'unreachable',
        reachabilitySince: this.now,
        polledAt: this.now,
        accepting: true,
        ...(reached
          ? {state: member.state()}
          : {state: vm.views[index]?.state}),
      };
    });
  }

  private schedule(delayMs: number, run: () => void): void {
    this.queue.push({at: this.now + delayMs, run});
  }

  private runDueTasks(): void {
    const due = this.queue.filter(item => item.at <= this.now);
    for (const item of due) {
      this.queue.splice(this.queue.indexOf(item), 1);
      item.run();
    }
  }

  /** Delivers a message to a VM; it waits in the inbox during a pause. */
  private send(vm: FakeVm, message: FailoverMessage): void {
    vm.inbox.push(message);
    if (vm.pausedUntil > this.now) return;
    for (const next of vm.inbox.splice(0)) {
      const step = decideFailover(vm.state, next, vm.random, this.now);
      vm.state = step.state;
      for (const action of step.actions) {
        if (action.kind === 'report') this.report(vm, action.report);
        else if (action.kind !== 'started' && action.kind !== 'ended') {
          this.execute(vm, action);
        }
      }
    }
  }

  /** Sends the report of a VM to the other VMs. */
  private report(from: FakeVm, report: FailoverReport): void {
    if (this.scenario === 'new-group') return;
    for (const vm of this.vms) {
      if (vm === from) continue;
      this.schedule(LATENCY_MS, () =>
        this.send(vm, {kind: 'reported', report}),
      );
    }
  }

  /** Executes an action of a VM, with the pending fault of its step. */
  private execute(vm: FakeVm, action: AttemptAction): void {
    // A fault at a member that is already unreachable would have no effect.
    const targetUnreachable =
      'backendServer' in action && !this.reachable(action.backendServer);
    const fault = targetUnreachable
      ? undefined
      : this.takeFault(stepOf(action));
    if (fault) this.startFault(fault, vm, action);
    if (fault?.kind === 'message-lost') return;
    const loseAnswer = fault?.kind === 'answer-lost';
    const send = (event: AttemptEvent): void => {
      const lost = loseAnswer ? lostAnswer(action) : undefined;
      this.schedule(lost ? CALL_TIMEOUT_MS : LATENCY_MS, () =>
        this.send(vm, {kind: 'progress', event: lost ?? event}),
      );
    };
    this.schedule(LATENCY_MS, () => {
      if (action.kind === 'read-row' || action.kind === 'write-row') {
        send(this.store(action));
        return;
      }
      const {backendServer, kind, term} = action;
      const member = this.members.find(item => item.name === backendServer);
      const outcome =
        member && this.reaches(vm, backendServer)
          ? member.call(action)
          : ({kind: 'no-answer'} as const);
      send({kind: 'answered', call: kind, backendServer, term, outcome});
    });
  }

  /** Accesses the claim row in the store. */
  private store(
    action: Extract<AttemptAction, {kind: 'read-row' | 'write-row'}>,
  ): AttemptEvent {
    if (this.storeDownUntil > this.now) {
      return {kind: 'row-failed', reason: 'unavailable'};
    }
    if (action.kind === 'read-row') {
      return {kind: 'row-read', row: this.row, version: this.rowVersion};
    }
    if (action.expected !== this.rowVersion) {
      return {kind: 'row-failed', reason: 'conflict'};
    }
    this.row = action.row;
    this.rowVersion += 1;
    if (this.storeAnswersToLose > 0) {
      this.storeAnswersToLose -= 1;
      return {kind: 'row-failed', reason: 'unknown-outcome'};
    }
    return {kind: 'row-written', version: this.rowVersion};
  }

  private takeFault(step: Fault['step']): Fault | undefined {
    const found = this.pending.find(fault => fault.step === step);
    this.pending = this.pending.filter(fault => fault !== found);
    return found;
  }

  private startFault({kind}: Fault, vm: FakeVm, action: AttemptAction): void {
    const until = this.now + FAULT_DURATION_MS;
    switch (kind) {
      case 'message-lost':
      case 'answer-lost':
        return;
      case 'member-unreachable':
        this.unreachable.set(
          'backendServer' in action ? action.backendServer : 'm2',
          until,
        );
        return;
      case 'owner-paused':
        vm.pausedUntil = until;
        this.schedule(FAULT_DURATION_MS, () =>
          this.send(vm, this.observation(vm)),
        );
        return;
      case 'owner-killed':
        vm.pausedUntil = Infinity;
        return;
      case 'store-down':
        this.storeDownUntil = until;
        return;
      case 'store-answer-lost':
        this.storeAnswersToLose += 1;
        return;
      case 'second-owner':
        this.schedule(2 * LATENCY_MS, () =>
          this.startAttemptNow(this.vms.find(other => other !== vm)),
        );
        return;
    }
  }

  /** Removes all waits of a VM, so that it starts an attempt of its own. */
  private startAttemptNow(vm: FakeVm | undefined): void {
    const own = vm?.state.reports[vm.name];
    if (!vm || !own) return;
    const aged = {...own, since: -60_000};
    const reports = {...vm.state.reports, [vm.name]: aged};
    for (const [name, report] of Object.entries(vm.state.reports)) {
      reports[name] = {...report, since: -60_000};
    }
    const awaitedClaimVersion = this.rowVersion;
    vm.state = {...vm.state, reports, noAttemptBefore: 0, awaitedClaimVersion};
    this.send(vm, this.observation(vm));
  }

  /** Checks the guarantees at the end of the run. */
  private verdict(): RunResult {
    const violations: string[] = [];
    for (const [term, names] of this.acceptedBy) {
      if (names.size > 1) violations.push(`two primaries in term ${term}`);
    }
    const finalTerm = Math.max(...this.members.map(member => member.term));
    const primary = this.members.find(
      member => member.writable && member.term === finalTerm,
    );
    if (!primary) violations.push('no primary');
    const heldIds = new Set(primary?.log.map(entry => entry.id));
    for (const id of this.acknowledged.keys()) {
      if (!heldIds.has(id)) violations.push(`write ${id} lost`);
    }
    for (const member of this.members) {
      if (member.term !== finalTerm) violations.push(`${member.name} left out`);
    }
    for (const vm of this.vms) {
      if (vm.pausedUntil < this.now && vm.state.attempt) {
        violations.push(`${vm.name} did not end its attempt`);
      }
    }
    const times = [...this.acknowledged.values(), this.now];
    const gaps = times.map((time, index) => time - (times[index - 1] ?? 0));
    const primaries = this.primaries.map(({text}) => text);
    return {violations, gapMs: Math.max(...gaps), finalTerm, primaries};
  }
}

function stepOf(action: AttemptAction): Fault['step'] {
  if (action.kind !== 'write-row') return action.kind;
  return action.row.state === 'claimed' ? 'claim' : 'publish';
}

/** The event of a call that may have run, but whose answer was lost. */
function lostAnswer(action: AttemptAction): AttemptEvent {
  if (!('backendServer' in action)) {
    return {kind: 'row-failed', reason: 'unknown-outcome'};
  }
  const {kind, backendServer, term} = action;
  const outcome = {kind: 'no-answer'} as const;
  return {kind: 'answered', call: kind, backendServer, term, outcome};
}
