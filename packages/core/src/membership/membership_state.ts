import type {MembershipChange, PeerRecord, PeerState} from './peer_record.js';

/** Interval at which a VM probes the next peer of its round. */
export const PROBE_INTERVAL_MS = 500;

/** How long a suspected peer may refute before it counts as down. */
export const SUSPICION_TIMEOUT_MS = 2_000;

/** How many other peers probe an unresponsive peer before it is suspected. */
export const INDIRECT_PROBES = 2;

/**
 * How long a VM that is down or has left is kept, so that an old update cannot
 * make it alive again. A VM that is only partitioned for longer is found again
 * through the platform's list.
 */
export const EVICT_AFTER_MS = 600_000;

/** A VM's record of a peer. */
export interface PeerEntry {
  readonly peer: PeerRecord;
  readonly state: PeerState;
  readonly incarnation: number;
  /** When the current state was entered. */
  readonly since: number;
  /** When the last probe failed while the peer was down, initially `since`. */
  readonly lastFailedProbeAt: number;
}

/** A VM of the platform's list of which no update has been received yet. */
export interface PeerCandidate {
  readonly peer: PeerRecord;
  /** When the candidate was last probed, -Infinity if never. */
  readonly probedAt: number;
}

/** A change that is still sent to other VMs. */
export interface OutgoingChange {
  readonly change: MembershipChange;
  /** How many messages have carried the change. */
  readonly timesSent: number;
}

/** One VM's view of the membership of the fleet. */
export interface MembershipState {
  readonly self: PeerRecord;
  /** The incarnation that this VM announces for itself. */
  readonly incarnation: number;
  /** Whether this VM has announced that it left. */
  readonly presence: 'present' | 'left';
  /** All other VMs of which an update has been received, by name. */
  readonly peers: ReadonlyMap<string, PeerEntry>;
  /** Listed VMs that are not peers yet, by name. */
  readonly candidates: ReadonlyMap<string, PeerCandidate>;
  /** Names of the peers that are not probed yet in the current round. */
  readonly probeRound: readonly string[];
  /** The changes to send, by name of the VM that they are about. */
  readonly outbox: ReadonlyMap<string, OutgoingChange>;
}

/**
 * Returns the view of a VM that has just started. `incarnation` comes from the
 * wall clock, so that updates about an earlier run normally have a lower one.
 * A higher one that still circulates is refuted like a suspicion.
 */
export function initialMembership(
  self: PeerRecord,
  incarnation: number,
): MembershipState {
  return {
    self,
    incarnation,
    presence: 'present',
    peers: new Map(),
    candidates: new Map(),
    probeRound: [],
    outbox: new Map([
      [
        self.vm,
        {change: {peer: self, state: 'alive', incarnation}, timesSent: 0},
      ],
    ]),
  };
}

/** Returns the peers that are assumed to run, including suspected ones. */
export function runningPeers(state: MembershipState): PeerEntry[] {
  return [...state.peers.values()].filter(
    entry => entry.state === 'alive' || entry.state === 'suspect',
  );
}
