import {OBSERVATION_TIMEOUT_MS} from './collect_verdict.js';
import {COORDINATOR_LEASE, LeaseRow} from './lease_row.js';
import type {PrimaryChangeDependencies} from './primary_change_dependencies.js';

/** Collaborators for acquiring the coordinator lease. */
export type LeaseAcquirerDependencies = Pick<
  PrimaryChangeDependencies,
  'vm' | 'view' | 'transact' | 'peers' | 'clock' | 'log'
>;

/** Acquires the coordinator lease for this VM. */
export class LeaseAcquirer {
  private acquisition: 'idle' | 'under-way' = 'idle';
  private readonly row: LeaseRow;

  constructor(private readonly deps: LeaseAcquirerDependencies) {
    this.row = new LeaseRow(COORDINATOR_LEASE, deps);
  }

  /** Whether nobody may acquire the lease yet, as the era has just begun. */
  mustWait(): boolean {
    return this.row.decide(this.deps.clock()).kind === 'wait';
  }

  /**
   * Acquires or extends the coordinator lease; returns its fencing number. If
   * another VM is the coordinator, passes the suspicion on to it.
   */
  async acquire(group: string): Promise<number | undefined> {
    if (this.acquisition === 'under-way') return undefined;
    const {clock, peers, log} = this.deps;
    const now = clock();
    const decision = this.row.decide(now);
    if (decision.kind === 'wait') return undefined;
    if (decision.kind === 'leave') {
      void peers.suspect(decision.holder, group, OBSERVATION_TIMEOUT_MS);
      return undefined;
    }
    const {era} = this.row;
    this.acquisition = 'under-way';
    const result = await this.row.acquire(decision.fence, now);
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
}
