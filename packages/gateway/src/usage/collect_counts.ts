import {sumCounts} from '@pistachiorill/core';
import type {
  CollectionState,
  ProcessCounts,
  WorkspaceCounts,
} from '@pistachiorill/core';
import type {PeerSet} from '../peers/peer_set.js';

/** How many VMs are asked at the same time. */
const CONCURRENCY = 16;
const COUNTS_TIMEOUT_MS = 700;

/** What one VM answered. */
export interface CollectedAnswer {
  readonly processes: readonly ProcessCounts[];
  /** How far the VM's wall-clock time is ahead of that of this VM. */
  readonly aheadMs: number;
}

/** The answers of VMs, by the VM that was asked. */
export type CollectedCounts = ReadonlyMap<string, CollectedAnswer>;

/** The counts of one window that have been collected. */
export interface Collection extends CollectionState {
  readonly answers: CollectedCounts;
  readonly own: readonly ProcessCounts[];
}

/** Asks VMs for their counts of a window; leaves out those without an answer. */
export async function collectCounts(
  window: number,
  vms: readonly string[],
  peers: PeerSet,
  wallTime: () => number,
): Promise<CollectedCounts> {
  const collected = new Map<string, CollectedAnswer>();
  const waiting = [...vms];
  const askNext = async (): Promise<void> => {
    for (let vm = waiting.shift(); vm !== undefined; vm = waiting.shift()) {
      const askedAt = wallTime();
      const answer = await peers.usage(vm, window, COUNTS_TIMEOUT_MS);
      if (!answer.ok || !answer.value) continue;
      const {processes, wallMs} = answer.value;
      const aheadMs = wallMs - (askedAt + wallTime()) / 2;
      collected.set(vm, {processes, aheadMs});
    }
  };
  await Promise.all(Array.from({length: CONCURRENCY}, askNext));
  return collected;
}

/** The counts of all processes that this VM and the others know of. */
export function totalCounts(
  own: readonly ProcessCounts[] = [],
  answers: CollectedCounts = new Map(),
): WorkspaceCounts {
  const others = [...answers.values()].flatMap(answer => answer.processes);
  return sumCounts([...own, ...others]);
}
