import type {Random} from '../common/random.js';
import {runningPeers} from './membership_state.js';
import type {MembershipState, OutgoingChange} from './membership_state.js';
import type {MembershipChange} from './peer_record.js';

/** Maximum number of changes in one message. */
export const MAX_CHANGES_PER_MESSAGE = 32;

/**
 * A change is sent this many times the binary logarithm of the fleet's size, so
 * that it reaches all VMs with a high probability.
 */
const RETRANSMIT_FACTOR = 3;

/** The changes of one message, and the state after they are sent. */
export interface SelectedChanges {
  readonly state: MembershipState;
  readonly changes: readonly MembershipChange[];
}

/** Whether the recipient of a message is a known peer or has just joined. */
export type RecipientStatus = 'known' | 'new';

/**
 * Selects the changes for one message. A recipient that is suspected, down or
 * left always receives that state, so that it can refute it. A new VM also gets a
 * sample of the view, because older changes are no longer sent.
 */
export function selectChanges(
  state: MembershipState,
  recipient: string,
  recipientStatus: RecipientStatus,
  random: Random,
): SelectedChanges {
  const recipientEntry = state.peers.get(recipient);
  const changes: MembershipChange[] =
    recipientEntry && recipientEntry.state !== 'alive'
      ? [toChange(recipientEntry)]
      : [];
  const queued = [...state.outbox.values()]
    .filter(item => item.change.peer.vm !== recipient)
    .sort((a, b) => a.timesSent - b.timesSent)
    .slice(0, MAX_CHANGES_PER_MESSAGE - changes.length);
  changes.push(...queued.map(item => item.change));
  if (recipientStatus === 'new') {
    changes.push(...sampleView(state, changes, recipient, random));
  }
  return {
    state: {...state, outbox: afterSending(state, queued)},
    changes,
  };
}

/** Returns how many times a change is sent in a fleet of the current size. */
export function retransmissionLimit(state: MembershipState): number {
  return RETRANSMIT_FACTOR * Math.ceil(Math.log2(state.peers.size + 2));
}

/** Counts the sent changes and removes those that were sent often enough. */
function afterSending(
  state: MembershipState,
  sent: readonly OutgoingChange[],
): ReadonlyMap<string, OutgoingChange> {
  const limit = retransmissionLimit(state);
  const outbox = new Map(state.outbox);
  for (const {change, timesSent} of sent) {
    const {vm} = change.peer;
    if (timesSent + 1 >= limit) {
      outbox.delete(vm);
    } else {
      outbox.set(vm, {change, timesSent: timesSent + 1});
    }
  }
  return outbox;
}

/** Fills a message with random running peers that it does not mention yet. */
function sampleView(
  state: MembershipState,
  taken: readonly MembershipChange[],
  recipient: string,
  random: Random,
): MembershipChange[] {
  const names = new Set([recipient, ...taken.map(item => item.peer.vm)]);
  const rest = runningPeers(state).filter(entry => !names.has(entry.peer.vm));
  return shuffle(rest, random)
    .slice(0, MAX_CHANGES_PER_MESSAGE - taken.length)
    .map(toChange);
}

/** Returns the items in random order. */
export function shuffle<T>(items: readonly T[], random: Random): T[] {
  const result = [...items];
  for (let i = result.length - 1; i > 0; i--) {
    const j = random.integer(0, i);
    [result[i], result[j]] = [result[j] as T, result[i] as T];
  }
  return result;
}

function toChange(entry: MembershipChange): MembershipChange {
  const {peer, state, incarnation} = entry;
  return {peer, state, incarnation};
}
