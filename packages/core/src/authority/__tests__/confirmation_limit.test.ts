import fc from 'fast-check';
import {describe, it} from 'vitest';
import {Random} from '../../common/random.js';
import {
  PROOF_VALIDITY_MS,
  initialAuthority,
  versionReport,
} from '../authority_state.js';
import type {AuthorityState} from '../authority_state.js';
import {confirmationAt, isAcknowledgedByMajority} from '../confirmation.js';
import {decideAuthority} from '../decide_authority.js';
import type {AuthorityEvent} from '../decide_authority.js';

const STEP_MS = 100;
const STEPS = 600;

/** Simulated VMs with separate clocks that read rows and probe each other. */
class AuthoritySimulation {
  private readonly random: Random;
  private readonly states: AuthorityState[];
  private readonly offsets: number[];
  private readonly applyRates: number[];
  private readonly instances: string[];
  private readonly members;
  private readonly pending: Array<{at: number; run: () => void}> = [];
  /** The configuration version in the simulated store. */
  private stored = 1;
  /** The time at which a majority had acknowledged each version. */
  private readonly completedAt = new Map<number, number>();
  private reachable: boolean[][] = [];
  private time = 0;

  constructor(count: number, seed: number) {
    this.random = new Random(seed);
    this.instances = Array.from({length: count}, (unused, i) => `i${i}`);
    this.members = {
      version: 1,
      vms: this.instances.map(instance => ({
        instance,
        vm: instance,
        dataCentre: 'x',
      })),
    };
    this.offsets = this.instances.map(() => this.random.integer(0, 1e6));
    this.applyRates = this.instances.map(
      () => this.random.pick([0.5, 0.1, 0.005]) ?? 1,
    );
    this.states = this.instances.map(name => initialAuthority(name));
    for (const [vm] of this.states.entries()) {
      this.applyEvent(vm, {
        kind: 'applied',
        versions: {configuration: 1, ledger: 1},
      });
      this.applyEvent(vm, {kind: 'ledger-members', members: this.members});
      this.readRow(vm, 'ledger');
    }
  }

  /** Runs the simulation and describes the first violation, if any. */
  run(): string | undefined {
    for (let step = 0; step < STEPS; step++) {
      this.time = step * STEP_MS;
      if (step % 100 === 0) this.partition();
      if (this.random.fraction() < 0.05) this.writeNextVersion();
      for (const [vm] of this.states.entries()) this.stepVm(vm);
      for (const item of this.pending.filter(p => p.at <= this.time)) {
        this.pending.splice(this.pending.indexOf(item), 1);
        item.run();
      }
      const violation = this.check();
      if (violation) return violation;
    }
    return undefined;
  }

  private stepVm(vm: number): void {
    const state = this.states[vm] as AuthorityState;
    if (this.isLinked(vm, -1) && this.random.fraction() < 0.1) {
      this.readRow(vm, 'configuration');
      this.readRow(vm, 'ledger');
    }
    if (this.random.fraction() < 0.2) {
      this.probe(vm, this.random.integer(0, this.states.length - 1));
    }
    // VMs take different times to fetch and apply a version.
    if (this.random.fraction() < (this.applyRates[vm] ?? 1)) {
      this.applyEvent(vm, {kind: 'applied', versions: state.known});
    }
  }

  private probe(from: number, to: number): void {
    if (from === to || !this.isLinked(from, to)) return;
    const sentAt = this.clockOf(from);
    const request = this.report(from);
    this.deliverLater(() => {
      this.applyEvent(to, {
        kind: 'probed',
        instance: this.instances[from] ?? '',
        report: request,
      });
      const answer = this.report(to);
      this.deliverLater(() =>
        this.applyEvent(from, {
          kind: 'answered',
          instance: this.instances[to] ?? '',
          report: answer,
          sentAt,
        }),
      );
    });
  }

  private readRow(vm: number, row: 'configuration' | 'ledger'): void {
    const startedAt = this.clockOf(vm);
    const version = row === 'ledger' ? 1 : this.stored;
    this.deliverLater(() =>
      this.applyEvent(vm, {kind: 'row-read', row, version, startedAt}),
    );
  }

  /** Writes the next version once the previous one has completed. */
  private writeNextVersion(): void {
    if (this.stored === 1 || this.completedAt.has(this.stored)) this.stored++;
  }

  private check(): string | undefined {
    const versions = {configuration: this.stored, ledger: 1};
    const hasMajority = this.states.some(state =>
      isAcknowledgedByMajority(state, this.members, versions),
    );
    if (hasMajority && !this.completedAt.has(this.stored)) {
      this.completedAt.set(this.stored, this.time);
    }
    for (const [version, at] of this.completedAt) {
      if (this.time < at + PROOF_VALIDITY_MS) continue;
      for (const [vm, state] of this.states.entries()) {
        if (state.applied.configuration >= version) continue;
        if (confirmationAt(state, this.clockOf(vm)) === 'confirmed') {
          return `${this.instances[vm]} at ${this.time} lacks ${version}`;
        }
      }
    }
    return undefined;
  }

  private applyEvent(vm: number, event: AuthorityEvent): void {
    const state = this.states[vm] as AuthorityState;
    this.states[vm] = decideAuthority(state, event, this.clockOf(vm));
  }

  private report(vm: number) {
    return versionReport(this.states[vm] as AuthorityState, this.clockOf(vm));
  }

  private deliverLater(run: () => void): void {
    // Some messages are delayed for longer than a proof is valid.
    const maxDelayMs =
      this.random.fraction() < 0.3 ? 3 * PROOF_VALIDITY_MS : 500;
    this.pending.push({
      at: this.time + this.random.integer(0, maxDelayMs),
      run,
    });
  }

  /** Whether messages get through. Index -1 denotes the store. */
  private isLinked(from: number, to: number): boolean {
    return this.reachable[from]?.[to + 1] ?? true;
  }

  private partition(): void {
    const linkProbability = this.random.pick([1, 0.5, 0.2]) ?? 1;
    this.reachable = this.states.map(() =>
      Array.from(
        {length: this.states.length + 1},
        () => this.random.fraction() < linkProbability,
      ),
    );
  }

  private clockOf(vm: number): number {
    return this.time + (this.offsets[vm] ?? 0);
  }
}

describe('confirmation limit', () => {
  // Guards against a VM that uses revoked keys or shares after their change was
  // reported as complete.
  it('expires within the limit after a majority acknowledged a change', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 2, max: 7}),
        fc.integer({min: 1, max: 1 << 30}),
        (count, seed) => {
          const violation = new AuthoritySimulation(count, seed).run();
          if (violation) throw new Error(violation);
        },
      ),
      {numRuns: 60, seed: 11},
    );
  });
});
