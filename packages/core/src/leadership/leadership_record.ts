import type {StoreProof} from './primary_lease.js';

/** The reason for a primary change. */
export type PrimaryChangeReason =
  /** At least half of the running VMs cannot reach the primary. */
  | 'unreachable'
  /** The primary is about to stop, or its data centre goes out of service. */
  | 'leaving'
  /** The directory no longer lists the primary. */
  | 'gone';

/** The store's record of the primary of a database group. */
export type LeadershipRecord =
  | {
      readonly phase: 'settled';
      readonly primary: string;
      /** The term in which the primary leads; left out if it is unknown. */
      readonly term?: number | undefined;
    }
  | {
      /** No VM uses any member as primary until the change is settled. */
      readonly phase: 'moving';
      /** The member that is replaced. */
      readonly from: string;
      /**
       * The latest term in which the replaced member is recorded to have led;
       * left out if it is unknown.
       */
      readonly fromTerm?: number | undefined;
      readonly reason: PrimaryChangeReason;
    };

/**
 * Whether a record was written in the present era of the store (`confirmed`),
 * comes from the copy to which the store went back (`copied`), or is missing
 * there although this VM has read it before (`lost`).
 */
export type LeadershipStanding = 'confirmed' | 'copied' | 'lost';

/** A record with the version of its row in the store. */
export interface VersionedLeadership {
  readonly record: LeadershipRecord;
  readonly version: number;
  /**
   * The version at which the record was first written; that of the row if left
   * out. It orders the records of a group.
   */
  readonly origin?: number;
  /** Confirmed if left out. */
  readonly standing?: LeadershipStanding;
  /** The last proof of an era in which the record of the group was confirmed. */
  readonly earlierProof?: StoreProof | undefined;
}

/**
 * The coordinator lease: its holder, the coordinator, is the one VM that may
 * order promotions. The fencing number grows whenever the holder changes, so
 * that orders of an earlier coordinator can be rejected.
 */
export interface CoordinatorLease {
  /** Name of the VM that holds the lease. */
  readonly holder: string;
  /** The fencing number. */
  readonly fence: number;
  /** Store time at which the holder last acquired or renewed the lease. */
  readonly takenAt: number;
  /**
   * The era of the store in which the holder acquired the lease; 0 if left out.
   * A row of an earlier era comes from the copy to which the store went back.
   */
  readonly era?: number | undefined;
}
