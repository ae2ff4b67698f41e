import type {
  LogPosition,
  PrimaryObservation,
  ProcessCounts,
} from '@pistachiorill/core';
import type {
  EndTransactionRequest,
  ExecuteInRequest,
  ExecuteRequest,
  ForwardAnswer,
} from '../owners/forward_schema.js';
import type {RelayRequest, RelayedRows} from '../fleet/relayed_rows.js';
import type {RelayedPositions} from '../fleet/position_task.js';
import type {RelayedMembers} from '../operators/directory_task.js';
import type {
  ConfigurationRequest,
  DirectoryRequest,
  KeptCounts,
  StopRequest,
} from './gateway_router.js';

/** A VM's newest state from the operators, as it is sent to a peer. */
export interface RelayedConfiguration {
  readonly revision: number;
  /** The state as in the store, if it is newer and not longer than asked for. */
  readonly encoded?: string | undefined;
  /**
   * The state before the store went back to an earlier copy, if the operators
   * may not have written all of it again.
   */
  readonly earlier?: string | undefined;
  /** How long ago the store confirmed that the state is the newest. */
  readonly confirmedAgoMs: number;
  /** How long the answer was held. */
  readonly heldMs: number;
}

/** A VM's counts of a window and its estimate of the wall-clock time. */
export interface UsageAnswer {
  readonly wallMs: number;
  readonly processes: readonly ProcessCounts[];
}

/** Handles the remote procedures that peers call on this VM. */
export abstract class GatewayHandlers {
  /**
   * Stops the use of a primary; returns the last log position that this VM
   * observed at it.
   */
  abstract stopPrimary(
    req: StopRequest,
  ): Promise<{readonly seen: LogPosition | null}>;
  /** Returns this VM's primary observation for a group. */
  abstract sight(group: string): Promise<PrimaryObservation>;
  /** Makes this VM, as the coordinator, evaluate a group's primary. */
  abstract suspect(group: string): void;
  /** Returns changes of this VM's copy of the shared rows, if it has one. */
  abstract relay(req: RelayRequest): Promise<RelayedRows | null>;
  /** Returns the operators' state, if this VM has one. */
  abstract configuration(
    req: ConfigurationRequest,
  ): Promise<RelayedConfiguration | null>;
  /** Returns this VM's list of members, if it has one. */
  abstract directory(req: DirectoryRequest): Promise<RelayedMembers | null>;
  /** Returns the log positions of the primaries that this VM knows. */
  abstract positions(): Promise<RelayedPositions>;
  /** Returns the counts of a window that this VM has, if it counts. */
  abstract usage(window: number): Promise<UsageAnswer | null>;
  /** Keeps the counts of another VM's process. */
  abstract keepUsage(counts: KeptCounts): void;
  /** Returns the number of tokens that this VM transfers to the caller. */
  abstract tokens(workspace: string, asked: number): Promise<number>;
  /** Runs a single statement, or the first one of a transaction. */
  abstract execute(req: ExecuteRequest): Promise<ForwardAnswer>;
  /** Runs a statement of a transaction that this VM holds. */
  abstract executeIn(req: ExecuteInRequest): Promise<ForwardAnswer>;
  /** Rolls back a transaction that this VM holds. */
  abstract endTransaction(req: EndTransactionRequest): Promise<void>;
}
