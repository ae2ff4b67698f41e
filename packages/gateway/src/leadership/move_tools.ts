import type {MoveReason, Result, SuspicionVerdict} from '@pistachiorill/core';
import type {
  RowTransaction,
  StoreWriteError,
  TransactionAnswer,
} from '@pistachiorill/store';
import type {Clock} from '@pistachiorill/tasks';
import type {Logger} from '@pistachiorill/telemetry';
import type {DatabaseTask} from '../database/database_task.js';
import type {FleetView} from '../fleet/fleet_view.js';
import type {PeerSet} from '../peers/peer_set.js';
import type {ListedMember} from '../ports/member_directory.js';
import type {PrimaryOrders} from '../ports/primary_orders.js';

/** Which primary is replaced, and why. */
export interface MoveRequest {
  readonly group: string;
  readonly from: string;
  readonly reason: MoveReason;
}

/** What a move needs of the VM. */
export interface MoveTools {
  readonly vm: string;
  readonly database: DatabaseTask;
  readonly view: () => FleetView;
  readonly members: () => readonly ListedMember[];
  /** Whether a member may lead: not leaving, its data centre in service. */
  readonly isEligible: (member: ListedMember) => boolean;
  readonly isNear: (member: ListedMember) => boolean;
  readonly synchronousReplicas: () => number;
  /** Asks the VMs anew how they see the member that is replaced. */
  readonly judge: () => Promise<SuspicionVerdict>;
  readonly transact: (
    transaction: RowTransaction,
  ) => Promise<Result<TransactionAnswer, StoreWriteError>>;
  readonly peers: PeerSet;
  readonly orders: PrimaryOrders;
  readonly clock: Clock;
  readonly log: Logger;
}

export type MoveOutcome = 'settled' | 'reverted' | 'lost' | 'given-up';
