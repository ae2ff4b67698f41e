import type {LogPosition, PrimaryObservation} from '@pistachiorill/core';
import type {RelayedRows} from '../fleet/fleet_message.js';
import type {RelayedMembers} from '../operators/directory_task.js';
import type {StopRequest} from './gateway_router.js';

/** The operators' state, encoded as in the store. */
export interface RelayedConfiguration {
  readonly encoded: string;
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
  /** Returns this VM's copy of the shared rows, if it has one. */
  abstract relay(): Promise<RelayedRows | null>;
  /** Returns the operators' state if its revision is above `newerThan`. */
  abstract configuration(newerThan: number): RelayedConfiguration | null;
  /** Returns this VM's list of members, if it has one. */
  abstract directory(): Promise<RelayedMembers | null>;
  /** Returns the number of tokens that this VM transfers to the caller. */
  abstract tokens(workspace: string, asked: number): Promise<number>;
}
