import type {Random} from '../common/random.js';
import {
  EVICT_AFTER_MS,
  INDIRECT_PROBES,
  SUSPICION_TIMEOUT_MS,
  runningPeers,
} from './membership_state.js';
import type {
  PeerCandidate,
  MembershipState,
  PeerEntry,
} from './membership_state.js';
import {mergeChange, setPeerState} from './merge_change.js';
import type {MembershipChange, PeerRecord} from './peer_record.js';
import {shuffle} from './select_changes.js';

/** Minimum interval between two probes of a listed VM that is no peer yet. */
const CANDIDATE_PROBE_INTERVAL_MS = 5_000;

/**
 * How many candidates are probed per tick, or peers notified when a VM leaves.
 * It bounds the load of a VM that starts in a large fleet.
 */
const MAX_PROBES_PER_TICK = 4;

/**
 * Minimum interval between two probes of a peer that is down. The probes find
 * it again after a partition.
 */
const DOWN_PROBE_INTERVAL_MS = 5_000;

/** An input of the membership decisions. */
export type MembershipEvent =
  | {readonly kind: 'tick'}
  /** A direct probe of a peer was not answered in time. */
  | {readonly kind: 'probe-failed'; readonly vm: string}
  /** The probes of a peer through other peers ended. */
  | {
      readonly kind: 'indirect-finished';
      readonly vm: string;
      readonly outcome: 'reached' | 'not-reached';
    }
  /** A peer sent or answered a probe, with its incarnation and changes. */
  | {
      readonly kind: 'contact';
      readonly from: PeerRecord;
      readonly incarnation: number;
      readonly changes: readonly MembershipChange[];
    }
  /** The platform's list of VMs was read. */
  | {readonly kind: 'listed'; readonly peers: readonly PeerRecord[]}
  /** This VM stops accepting work. */
  | {readonly kind: 'leave'}
  /** This VM accepts work again after it left. */
  | {readonly kind: 'return'};

/** A probe that the membership task sends. */
export type MembershipAction =
  | {readonly kind: 'probe'; readonly target: PeerRecord}
  | {
      readonly kind: 'probe-indirect';
      readonly target: PeerRecord;
      readonly via: readonly PeerRecord[];
    };

/** The result of one decision. */
export interface MembershipDecision {
  readonly state: MembershipState;
  readonly actions: readonly MembershipAction[];
}

/** Applies an event to the membership and returns the probes to send. */
export function decideMembership(
  state: MembershipState,
  event: MembershipEvent,
  random: Random,
  now: number,
): MembershipDecision {
  switch (event.kind) {
    case 'tick':
      return tick(state, random, now);
    case 'probe-failed':
      return probeFailed(state, event.vm, random, now);
    case 'indirect-finished':
      return {
        state:
          event.outcome === 'reached' ? state : suspect(state, event.vm, now),
        actions: [],
      };
    case 'contact':
      return {state: recordContact(state, event, now), actions: []};
    case 'listed':
      return {state: updateCandidates(state, event.peers), actions: []};
    case 'leave':
      return leave(state, random);
    case 'return':
      return {state: rejoin(state), actions: []};
  }
}

/**
 * Ages the membership and selects the probes that are due: the next peer of the
 * round, candidates and one peer that is down.
 */
function tick(
  before: MembershipState,
  random: Random,
  now: number,
): MembershipDecision {
  const current = evictEnded(expireSuspicions(before, now), now);
  const {state, target} = takeNextOfRound(current, random);
  const candidates = selectDueCandidates(state, random, now);
  const downPeer = random.pick(
    [...state.peers.values()].filter(
      entry =>
        entry.state === 'down' &&
        now - entry.lastFailedProbeAt >= DOWN_PROBE_INTERVAL_MS,
    ),
  );
  const probed = new Map(state.candidates);
  for (const {peer} of candidates) probed.set(peer.vm, {peer, probedAt: now});
  const targets = [
    ...(target ? [target.peer] : []),
    ...candidates.map(candidate => candidate.peer),
    ...(downPeer ? [downPeer.peer] : []),
  ];
  return {
    state: {...state, candidates: probed},
    actions: targets.map(peer => ({kind: 'probe', target: peer})),
  };
}

/**
 * Takes the next peer of a shuffled round. Each peer is probed once per round,
 * which bounds the time until the failure of a peer is detected.
 */
function takeNextOfRound(
  state: MembershipState,
  random: Random,
): {readonly state: MembershipState; readonly target?: PeerEntry} {
  const running = new Map(
    runningPeers(state).map(entry => [entry.peer.vm, entry]),
  );
  let round = state.probeRound.filter(vm => running.has(vm));
  if (round.length === 0) round = shuffle([...running.keys()], random);
  const [first, ...rest] = round;
  const target = first === undefined ? undefined : running.get(first);
  return {state: {...state, probeRound: rest}, ...(target ? {target} : {})};
}

function selectDueCandidates(
  state: MembershipState,
  random: Random,
  now: number,
): PeerCandidate[] {
  const due = [...state.candidates.values()].filter(
    candidate => now - candidate.probedAt >= CANDIDATE_PROBE_INTERVAL_MS,
  );
  return shuffle(due, random).slice(0, MAX_PROBES_PER_TICK);
}

/**
 * Starts indirect probes of a peer that did not answer. If no other peer can
 * send them, the peer is suspected at once.
 */
function probeFailed(
  state: MembershipState,
  vm: string,
  random: Random,
  now: number,
): MembershipDecision {
  const entry = state.peers.get(vm);
  if (entry?.state === 'down') {
    const peers = new Map(state.peers).set(vm, {
      ...entry,
      lastFailedProbeAt: now,
    });
    return {state: {...state, peers}, actions: []};
  }
  if (entry?.state !== 'alive') return {state, actions: []};
  const others = runningPeers(state).filter(
    other => other.peer.vm !== vm && other.state === 'alive',
  );
  const via = shuffle(others, random)
    .slice(0, INDIRECT_PROBES)
    .map(other => other.peer);
  if (via.length === 0) return {state: suspect(state, vm, now), actions: []};
  return {
    state,
    actions: [{kind: 'probe-indirect', target: entry.peer, via}],
  };
}

/** Marks a peer as suspect if it counts as alive. */
function suspect(
  state: MembershipState,
  vm: string,
  now: number,
): MembershipState {
  const entry = state.peers.get(vm);
  if (entry?.state !== 'alive') return state;
  const {peer, incarnation} = entry;
  return setPeerState(state, {peer, incarnation, state: 'suspect'}, now);
}

/** Marks peers as down whose suspicion was not refuted in time. */
function expireSuspicions(
  state: MembershipState,
  now: number,
): MembershipState {
  let result = state;
  for (const {
    peer,
    state: peerState,
    incarnation,
    since,
  } of state.peers.values()) {
    if (peerState !== 'suspect' || now - since < SUSPICION_TIMEOUT_MS) continue;
    result = setPeerState(result, {peer, incarnation, state: 'down'}, now);
  }
  return result;
}

/**
 * Evicts VMs that have been down or have left for `EVICT_AFTER_MS`. Otherwise
 * they would accumulate, since each replacement VM has a new name.
 */
function evictEnded(state: MembershipState, now: number): MembershipState {
  const peers = new Map(
    [...state.peers].filter(
      ([, entry]) =>
        entry.state === 'alive' ||
        entry.state === 'suspect' ||
        now - entry.since < EVICT_AFTER_MS,
    ),
  );
  return peers.size === state.peers.size ? state : {...state, peers};
}

/** Records that a peer is alive, and merges the changes that it sent. */
function recordContact(
  state: MembershipState,
  event: Extract<MembershipEvent, {kind: 'contact'}>,
  now: number,
): MembershipState {
  const contact: MembershipChange = {
    peer: event.from,
    state: 'alive',
    incarnation: event.incarnation,
  };
  return [contact, ...event.changes].reduce(
    (result, change) => mergeChange(result, change, now),
    state,
  );
}

/**
 * Makes candidates of the VMs of the platform's list that are not peers yet.
 * The list lags behind, so a VM on it is not assumed to be alive, and a peer
 * that is missing from it is kept.
 */
function updateCandidates(
  state: MembershipState,
  peers: readonly PeerRecord[],
): MembershipState {
  const candidates = new Map<string, PeerCandidate>();
  for (const peer of peers) {
    if (peer.vm === state.self.vm || state.peers.has(peer.vm)) continue;
    const previous = state.candidates.get(peer.vm);
    candidates.set(peer.vm, {
      peer,
      probedAt: previous?.probedAt ?? Number.NEGATIVE_INFINITY,
    });
  }
  return {...state, candidates};
}

/** Announces to several peers at once that this VM leaves. */
function leave(state: MembershipState, random: Random): MembershipDecision {
  const change: MembershipChange = {
    peer: state.self,
    state: 'left',
    incarnation: state.incarnation,
  };
  const recipients = shuffle(runningPeers(state), random).slice(
    0,
    MAX_PROBES_PER_TICK,
  );
  return {
    state: {
      ...state,
      presence: 'left',
      outbox: new Map(state.outbox).set(state.self.vm, {change, timesSent: 0}),
    },
    actions: recipients.map(({peer}) => ({kind: 'probe', target: peer})),
  };
}

/** Overrides the announcement that this VM has left by a higher incarnation. */
function rejoin(state: MembershipState): MembershipState {
  if (state.presence === 'present') return state;
  const incarnation = state.incarnation + 1;
  const change: MembershipChange = {
    peer: state.self,
    state: 'alive',
    incarnation,
  };
  return {
    ...state,
    incarnation,
    presence: 'present',
    outbox: new Map(state.outbox).set(state.self.vm, {change, timesSent: 0}),
  };
}
