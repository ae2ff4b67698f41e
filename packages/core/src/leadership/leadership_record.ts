/** Why a database gets another primary. */
export type MoveReason =
  /** Most VMs cannot reach the primary. */
  | 'unreachable'
  /** The primary is about to stop, or its data centre is taken out. */
  | 'leaving'
  /** The primary is no longer in the directory of members. */
  | 'gone';

/** Which member is the primary of a database, as the store records it. */
export type LeadershipRecord =
  | {
      readonly phase: 'settled';
      readonly primary: string;
    }
  | {
      /** No VM uses any member as primary until the move is settled. */
      readonly phase: 'moving';
      /** The member that is replaced. */
      readonly from: string;
      readonly reason: MoveReason;
    };

/** A record with the store's version of its row. */
export interface VersionedLeadership {
  readonly record: LeadershipRecord;
  readonly version: number;
}

/**
 * The VM that may order promotions. The fencing number grows whenever the
 * holder changes, so that orders of an earlier holder can be told apart.
 */
export interface DutyRecord {
  readonly holder: string;
  readonly fence: number;
  /** Store time at which the holder last took or extended the duty. */
  readonly takenAt: number;
}
