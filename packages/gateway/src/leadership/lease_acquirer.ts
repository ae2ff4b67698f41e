import {
  decideCoordinatorLease,
  earliestStoreTime,
  latestStoreTime,
} from '@pistachiorill/core';
import type {
  CoordinatorLease,
  CoordinatorLeaseDecision,
} from '@pistachiorill/core';
import {COORDINATOR_LEASE_KEY} from '../fleet/fleet_rows.js';
import {leaseEra} from '../fleet/fleet_view.js';
import {OBSERVATION_TIMEOUT_MS} from './collect_verdict.js';
import type {PrimaryChangeDependencies} from './primary_change_dependencies.js';

/** Collaborators for acquiring the coordinator lease. */
export type LeaseAcquirerDependencies = Pick<
  PrimaryChangeDependencies,
  'vm' | 'view' | 'transact' | 'peers' | 'clock' | 'log'
>;

/** Acquires the coordinator lease for this VM. */
export class LeaseAcquirer {
  private acquisition: 'idle' | 'under-way' = 'idle';

  constructor(private readonly deps: LeaseAcquirerDependencies) {}

  /** Whether nobody may acquire the lease yet, as the era has just begun. */
  mustWait(): boolean {
    return this.decide(this.deps.clock()).kind === 'wait';
  }

  /**
   * Acquires or extends the coordinator lease; returns its fencing number. If
   * another VM is the coordinator, passes the suspicion on to it.
   */
  async acquire(group: string): Promise<number | undefined> {
    if (this.acquisition === 'under-way') return undefined;
    const {vm, view, clock, peers, log} = this.deps;
    const {rows, storeClock} = view();
    const now = clock();
    const decision = this.decide(now);
    if (decision.kind === 'wait') return undefined;
    if (decision.kind === 'leave') {
      void peers.suspect(decision.holder, group, OBSERVATION_TIMEOUT_MS);
      return undefined;
    }
    const era = leaseEra(view(), now).number;
    const takenAt = latestStoreTime(storeClock, now);
    const record: CoordinatorLease = {
      holder: vm,
      fence: decision.fence,
      takenAt,
      era,
    };
    this.acquisition = 'under-way';
    const result = await this.deps.transact({
      expected: new Map([[COORDINATOR_LEASE_KEY, rows.duty?.version ?? 0]]),
      puts: new Map([[COORDINATOR_LEASE_KEY, JSON.stringify(record)]]),
    });
    this.acquisition = 'idle';
    log.info(
      {
        event: 'duty.taken',
        group,
        fence: decision.fence,
        era,
        result: result.ok ? 'done' : result.err,
      },
      'tried to acquire the coordinator lease',
    );
    return result.ok ? decision.fence : undefined;
  }

  private decide(now: number): CoordinatorLeaseDecision {
    const {rows, storeClock} = this.deps.view();
    return decideCoordinatorLease(
      this.deps.vm,
      rows.duty?.value,
      earliestStoreTime(storeClock, now),
      leaseEra(this.deps.view(), now),
    );
  }
}
