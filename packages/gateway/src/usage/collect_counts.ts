import type {ProcessCounts} from '@pistachiorill/core';
import type {PeerSet} from '../peers/peer_set.js';

/** How many VMs are asked at the same time. */
const CONCURRENCY = 16;
const COUNTS_TIMEOUT_MS = 700;

/** The counts that VMs answered, by the VM that was asked. */
export type CollectedCounts = ReadonlyMap<string, readonly ProcessCounts[]>;

/** Asks VMs for their counts of a window; leaves out those without an answer. */
export async function collectCounts(
  window: number,
  vms: readonly string[],
  peers: PeerSet,
): Promise<CollectedCounts> {
  const collected = new Map<string, readonly ProcessCounts[]>();
  const waiting = [...vms];
  const askNext = async (): Promise<void> => {
    for (let vm = waiting.shift(); vm !== undefined; vm = waiting.shift()) {
      const answer = await peers.usage(vm, window, COUNTS_TIMEOUT_MS);
      if (answer.ok) collected.set(vm, answer.value);
    }
  };
  await Promise.all(Array.from({length: CONCURRENCY}, askNext));
  return collected;
}
