import type {
  ListCompleteness,
  PrimaryChangeReason,
  Result,
  SuspicionOutcome,
} from '@pistachiorill/core';
import type {
  RowTransaction,
  StoreWriteError,
  TransactionResult,
} from '@pistachiorill/store';
import type {Clock} from '@pistachiorill/tasks';
import type {Logger} from '@pistachiorill/telemetry';
import type {DatabaseTask} from '../database/database_task.js';
import type {FleetView} from '../fleet/fleet_view.js';
import type {PeerSet} from '../peers/peer_set.js';
import type {ListedMember} from '../ports/member_directory.js';
import type {PrimaryPromoter} from '../ports/primary_promoter.js';

/** A primary change to carry out: the group, its former primary and why. */
export interface PrimaryChangeRequest {
  readonly group: string;
  readonly from: string;
  readonly reason: PrimaryChangeReason;
}

/** Collaborators that a primary change uses on this VM. */
export interface PrimaryChangeDependencies {
  readonly vm: string;
  readonly database: DatabaseTask;
  readonly view: () => FleetView;
  /** The listed members of the group that changes its primary. */
  readonly members: () => readonly ListedMember[];
  /** Whether `members` has all members that are alive. */
  readonly listing: () => ListCompleteness;
  /** Asks for a new list of members soon. */
  readonly requestList: () => void;
  /**
   * Whether a member may become primary: it is not leaving, and its data centre
   * is in service.
   */
  readonly isEligible: (member: ListedMember) => boolean;
  /** Whether a member is in this VM's data centre. */
  readonly isNear: (member: ListedMember) => boolean;
  /** Replicas of the group that hold a commit before it is acknowledged. */
  readonly synchronousReplicas: () => number;
  /** Collects fresh observations of the former primary from all VMs. */
  readonly reevaluate: () => Promise<SuspicionOutcome>;
  readonly transact: (
    transaction: RowTransaction,
  ) => Promise<Result<TransactionResult, StoreWriteError>>;
  readonly peers: PeerSet;
  readonly orders: PrimaryPromoter;
  readonly clock: Clock;
  readonly log: Logger;
}

/**
 * How a primary change ended: a primary is recorded (`settled`), the former one
 * is kept (`reverted`), another VM carries on or the change is no longer needed
 * (`lost`), or the time limit passed (`given-up`).
 */
export type PrimaryChangeOutcome = 'settled' | 'reverted' | 'lost' | 'given-up';
