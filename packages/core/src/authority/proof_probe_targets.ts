import {majorityOf} from '../routing/group_view.js';
import type {AuthorityState} from './authority_state.js';

/** A VM sends extra probes when its newest proof is older than this. */
const PROOF_REFRESH_AGE_MS = 2_000;

/** The most VMs to probe per call; bounds the traffic during a store outage. */
const MAX_PROBES = 16;

/** The number of calls within which a majority is probed. */
const MAJORITY_PROBE_ROUNDS = 4;

/**
 * Returns the VMs to probe in addition to the one of the membership round, if
 * the newest proof is due for renewal. In a large fleet, the membership rounds
 * alone take longer to reach a majority than a proof is valid.
 */
export function proofProbeTargets(
  state: AuthorityState,
  running: readonly string[],
  now: number,
): string[] {
  const newest = Math.max(...state.proofs.map(proof => proof.at));
  if (now - newest < PROOF_REFRESH_AGE_MS) return [];
  const inLedger = new Set(state.ledger.vms.map(vm => vm.instance));
  const count = Math.min(
    MAX_PROBES,
    Math.ceil(
      majorityOf(Math.max(inLedger.size, running.length)) /
        MAJORITY_PROBE_ROUNDS,
    ),
  );
  const lastProbedAt = (instance: string): number =>
    state.reports.get(instance)?.probeSentAt ?? Number.NEGATIVE_INFINITY;
  return running
    .filter(instance => inLedger.size === 0 || inLedger.has(instance))
    .map(instance => ({instance, at: lastProbedAt(instance)}))
    .sort((a, b) => (a.at === b.at ? 0 : a.at - b.at))
    .slice(0, count)
    .map(item => item.instance);
}
