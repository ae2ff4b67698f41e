import type {
  LedgerMembers,
  PeerEntry,
  PeerRecord,
  RowVersions,
} from '@pistachiorill/core';

/** The view of the fleet that the membership task publishes. */
export interface MembershipView {
  readonly self: PeerRecord;
  readonly peers: readonly PeerEntry[];
  /** VMs on the platform's list that have not been in contact yet. */
  readonly candidates: readonly PeerRecord[];
  /** Done when the platform's list or gossip has been received once. */
  readonly discovery: 'pending' | 'done';
  /** The highest versions that any VM has reported, including this one. */
  readonly known: RowVersions;
  /** The versions in force on this VM. */
  readonly applied: RowVersions;
  readonly ledger: LedgerMembers;
  /** The last reported ledger version in force, by VM instance. */
  readonly appliedLedgers: ReadonlyMap<string, number>;
  /** Before this time the versions of this VM count as proven current. */
  readonly confirmedUntil: number;
}
