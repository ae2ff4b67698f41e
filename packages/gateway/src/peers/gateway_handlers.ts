import type {LogPosition, PrimarySighting} from '@pistachiorill/core';
import type {RelayedRows} from '../fleet/fleet_task.js';
import type {RelayedMembers} from '../operators/directory_task.js';
import type {StopRequest} from './gateway_router.js';

/** A configuration in the form in which the store holds it. */
export interface RelayedConfiguration {
  readonly encoded: string;
}

/** Answers a peer's requests. */
export abstract class GatewayHandlers {
  /** Returns the last log position that the VM saw at the primary. */
  abstract stopPrimary(
    req: StopRequest,
  ): Promise<{readonly seen: LogPosition | null}>;
  abstract sight(group: string): Promise<PrimarySighting>;
  abstract suspect(group: string): void;
  abstract relay(): Promise<RelayedRows | null>;
  abstract configuration(newerThan: number): RelayedConfiguration | null;
  abstract directory(): Promise<RelayedMembers | null>;
  abstract tokens(workspace: string, asked: number): Promise<number>;
}
