import {
  currentPrimary,
  isHeldByMajority,
  isMajorityUnfenced,
} from '@pistachiorill/core';
import type {GroupView} from '@pistachiorill/core';
import type {Reply} from '@pistachiorill/tasks';
import type {ProofOutcome, QuorumProof} from './group_message.js';

/** A statement that waits for a quorum proof. */
interface PendingProof {
  readonly proof: QuorumProof;
  /** Time at which the wait began. */
  readonly since: number;
  /** Time at which the wait ends without the proof. */
  readonly until: number;
  readonly reply: Reply<ProofOutcome>;
}

/**
 * Holds the statements that wait for a quorum proof. Owned by the `GroupTask`.
 */
export class ProofQueue {
  private waiters: PendingProof[] = [];

  get size(): number {
    return this.waiters.length;
  }

  add(waiter: PendingProof): void {
    this.waiters.push(waiter);
  }

  /**
   * Answers the statements whose proof is complete, has timed out or can no
   * longer be completed.
   */
  answerReady(view: GroupView, now: number): void {
    this.waiters = this.waiters.filter(waiter => {
      if (isProven(waiter.proof, view)) {
        waiter.reply.answer('proven');
        return false;
      }
      if (waiter.until > now && !isSuperseded(waiter.proof, view)) return true;
      waiter.reply.answer('expired');
      return false;
    });
  }

  /** How long the oldest unconfirmed write has waited; 0 without one. */
  confirmationDelayMs(now: number): number {
    const since = this.waiters
      .filter(waiter => waiter.proof.kind === 'held')
      .map(waiter => waiter.since);
    return since.length === 0 ? 0 : now - Math.min(...since);
  }
}

function isProven(proof: QuorumProof, view: GroupView): boolean {
  return proof.kind === 'held'
    ? isHeldByMajority(view, proof.entry)
    : isMajorityUnfenced(view, proof.term, proof.since);
}

/** Whether a primary of a later term has made the proof impossible. */
function isSuperseded(proof: QuorumProof, view: GroupView): boolean {
  const term = proof.kind === 'held' ? proof.entry.term : proof.term;
  return (currentPrimary(view)?.state?.term ?? 0) > term;
}
