import {majorityOf} from '../routing/group_view.js';
import type {AuthorityState} from './authority_state.js';

/** A VM seeks a proof on its own when the last one is older than this. */
const PROOF_REFRESH_AGE_MS = 2_000;

/** Bounds the traffic of a VM that has lost the store. */
const MAX_PROBES = 16;

/** A majority is reached anew within this number of calls. */
const MAJORITY_PROBE_ROUNDS = 4;

/**
 * Returns the VMs to probe beside the one of the membership round, because the
 * last proof grows old. A round of probes reaches a majority of a large fleet
 * too slowly for the limit.
 */
export function probesForProof(
  state: AuthorityState,
  running: readonly string[],
  now: number,
): string[] {
  const newest = Math.max(...state.proofs.map(proof => proof.at));
  if (now - newest < PROOF_REFRESH_AGE_MS) return [];
  const inLedger = new Set(state.ledger.vms.map(vm => vm.instance));
  const count = Math.min(
    MAX_PROBES,
    Math.ceil(majorityOf(Math.max(inLedger.size, running.length)) / MAJORITY_PROBE_ROUNDS),
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
