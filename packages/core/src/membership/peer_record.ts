/** The state of a VM that the VMs exchange. */
export type PeerState = 'alive' | 'suspect' | 'down' | 'left';

/** The identity and the address of a VM among its peers. */
export interface PeerRecord {
  readonly vm: string;
  readonly dataCentre: string;
  /** Address of the peer port as `host:port`. */
  readonly address: string;
  /** Identifies a run of the VM's process; it differs after a restart. */
  readonly instance: string;
}

/** A membership change, which is piggybacked on probes. */
export interface MembershipChange {
  readonly peer: PeerRecord;
  readonly state: PeerState;
  /** Only the VM itself raises it, to refute a suspicion. */
  readonly incarnation: number;
}

/** Versions of the store's rows that all VMs must agree on. */
export interface RowVersions {
  readonly configuration: number;
  readonly ledger: number;
}

/** The versions that a VM reports with each probe. */
export interface VersionReport {
  /** The highest versions that the VM has received. */
  readonly known: RowVersions;
  /** The versions in force on the VM; reporting them acknowledges them. */
  readonly applied: RowVersions;
  /**
   * Age in milliseconds of the VM's proof that the known versions were current,
   * or null if it has none.
   */
  readonly proofAgeMs: number | null;
}
