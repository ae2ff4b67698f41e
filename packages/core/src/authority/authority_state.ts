import type {VersionReport, RowVersions} from '../membership/peer_record.js';

/** How long a proof that the known versions are current remains valid. */
export const PROOF_VALIDITY_MS = 6_000;

/**
 * How long a VM that reclaims a resource waits after a majority acknowledged the
 * change: the validity of a proof plus 10 % for clock drift.
 */
export const RECLAIM_WAIT_MS = PROOF_VALIDITY_MS * 1.1;

/**
 * A proof that no change above `versions` had completed at time `at`. A VM
 * obtains it (a) by reading both rows from the store, (b) from the answer of a
 * peer that has a proof, or (c) from the answers of a majority.
 */
export interface ConfirmationProof {
  readonly at: number;
  readonly versions: RowVersions;
}

/** The version found by a read of a store row, and when the read started. */
export interface RowRead {
  readonly version: number;
  readonly startedAt: number;
}

/** The latest report of one incarnation of a VM. */
export interface PeerReport {
  readonly known: RowVersions;
  readonly applied: RowVersions;
  /**
   * The time at which the probe that the report answers was sent. Undefined if
   * no probe was answered: an unsolicited report may have been in transit for
   * any length of time.
   */
  readonly probeSentAt: number | undefined;
}

/**
 * One incarnation of a VM that holds a share. A restart starts a new one, since
 * the state held in memory is lost.
 */
export interface LedgerVm {
  readonly instance: string;
  readonly vm: string;
  readonly dataCentre: string;
}

/** The VMs that hold shares in one version of the ledger. */
export interface LedgerMembers {
  readonly version: number;
  readonly vms: readonly LedgerVm[];
}

/** The versions known to a VM, and what its peers reported about theirs. */
export interface AuthorityState {
  /** The VM's incarnation. */
  readonly instance: string;
  /** The highest versions that the VM has read or received. */
  readonly known: RowVersions;
  /** The versions in force on this VM. */
  readonly applied: RowVersions;
  /** The VMs that hold shares in the latest applied ledger version. */
  readonly ledger: LedgerMembers;
  /** The latest read of each row. */
  readonly reads: {
    readonly configuration?: RowRead;
    readonly ledger?: RowRead;
  };
  /** Proofs that may still be valid, newest versions last. */
  readonly proofs: readonly ConfirmationProof[];
  /** The latest report of each peer, by incarnation. */
  readonly reports: ReadonlyMap<string, PeerReport>;
}

const NO_VERSIONS: RowVersions = {configuration: 0, ledger: 0};

/** Returns the state of an incarnation that has no versions and no proofs. */
export function initialAuthority(instance: string): AuthorityState {
  return {
    instance,
    known: NO_VERSIONS,
    applied: NO_VERSIONS,
    ledger: {version: 0, vms: []},
    reads: {},
    proofs: [],
    reports: new Map(),
  };
}

/** Whether `a` is at least as high as `b` in each row. */
export function coversVersions(a: RowVersions, b: RowVersions): boolean {
  return a.configuration >= b.configuration && a.ledger >= b.ledger;
}

/** Returns the higher version of each row. */
export function highestVersions(a: RowVersions, b: RowVersions): RowVersions {
  return {
    configuration: Math.max(a.configuration, b.configuration),
    ledger: Math.max(a.ledger, b.ledger),
  };
}

/**
 * Returns the report that this VM sends with a probe or its answer. The age of
 * the newest proof is included even if the proof is for lower versions than the
 * known ones: if no change above them had completed, none above the known ones
 * had either.
 */
export function versionReport(
  state: AuthorityState,
  now: number,
): VersionReport {
  const newest = Math.max(...state.proofs.map(proof => proof.at));
  return {
    known: state.known,
    applied: state.applied,
    proofAgeMs: Number.isFinite(newest) ? Math.max(0, now - newest) : null,
  };
}
