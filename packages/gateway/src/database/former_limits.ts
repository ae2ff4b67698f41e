import type {AdaptiveConcurrency} from '@pistachiorill/core';
import type {ListedMember} from '../ports/member_directory.js';

/** How long the limit of a member that failed is kept after it left. */
const MEMORY_MS = 60_000;
/** Lists from different readers differ in the remaining time by less. */
const WARMUP_TOLERANCE_MS = 1_000;

/**
 * The concurrency limits of members that left, as a flapping member may return
 * at another address; tells members that have just started.
 */
export class FormerLimits {
  private readonly limits = new Map<string, AdaptiveConcurrency>();
  private phase: 'new' | 'serving' = 'new';

  get(member: string): AdaptiveConcurrency | undefined {
    return this.limits.get(member);
  }

  /** Records the limit of a member that left. */
  record(member: string, state: AdaptiveConcurrency): void {
    this.limits.set(member, state);
  }

  /** Records that a list of members was applied. */
  listed(members: readonly ListedMember[], now: number): void {
    if (members.length > 0) this.phase = 'serving';
    for (const [member, {failedAt}] of this.limits) {
      if (now - failedAt > MEMORY_MS) this.limits.delete(member);
    }
  }

  /**
   * Whether a member has just started. Members that were listed before this VM
   * started are in normal operation, unless they warm up.
   */
  hasStarted(known: ListedMember | undefined, listed: ListedMember): boolean {
    const remainingMs = listed.remainingWarmupMs;
    if (known) {
      return remainingMs > known.remainingWarmupMs + WARMUP_TOLERANCE_MS;
    }
    return this.phase === 'serving' || remainingMs > 0;
  }
}
