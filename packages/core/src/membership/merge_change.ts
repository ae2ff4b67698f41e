import type {MembershipState, PeerEntry} from './membership_state.js';
import type {MembershipChange, PeerState} from './peer_record.js';

/** At equal incarnations, the state with the higher precedence wins. */
const STATE_PRECEDENCE: Readonly<Record<PeerState, number>> = {
  alive: 0,
  suspect: 1,
  down: 2,
  left: 3,
};

/** Merges a received change into a view; a new one is queued for others. */
export function mergeChange(
  state: MembershipState,
  change: MembershipChange,
  now: number,
): MembershipState {
  if (change.peer.vm === state.self.vm) return refute(state, change);
  const entry = state.peers.get(change.peer.vm);
  if (entry && !isNewer(change, entry)) return state;
  return setPeerState(state, change, now);
}

/** Sets the state of a peer and queues the change for the other VMs. */
export function setPeerState(
  state: MembershipState,
  change: MembershipChange,
  now: number,
): MembershipState {
  const {vm} = change.peer;
  const candidates = new Map(state.candidates);
  candidates.delete(vm);
  return {
    ...state,
    candidates,
    peers: new Map(state.peers).set(vm, {
      ...change,
      since: now,
      lastFailedProbeAt: now,
    }),
    outbox: new Map(state.outbox).set(vm, {change, timesSent: 0}),
  };
}

/** Refutes a wrong change about this VM itself by a higher incarnation. */
function refute(
  state: MembershipState,
  change: MembershipChange,
): MembershipState {
  const isCorrect =
    change.peer.instance === state.self.instance &&
    (change.state === 'alive' || state.presence === 'left');
  if (isCorrect || change.incarnation < state.incarnation) return state;
  const incarnation = change.incarnation + 1;
  const own: MembershipChange = {
    peer: state.self,
    state: state.presence === 'left' ? 'left' : 'alive',
    incarnation,
  };
  return {
    ...state,
    incarnation,
    outbox: new Map(state.outbox).set(state.self.vm, {
      change: own,
      timesSent: 0,
    }),
  };
}

function isNewer(change: MembershipChange, entry: PeerEntry): boolean {
  if (change.incarnation !== entry.incarnation) {
    return change.incarnation > entry.incarnation;
  }
  return STATE_PRECEDENCE[change.state] > STATE_PRECEDENCE[entry.state];
}
