import type {BackendServer, Random, ReadPolicy} from '@pistachiorill/core';
import type {BackendCredentials} from '@pistachiorill/mysql';
import type {Clock} from '@pistachiorill/tasks';

/** The credentials with which this VM logs in to backend servers. */
export interface GroupCredentials {
  /** For connections that execute callers' statements. */
  readonly data: BackendCredentials;
  /** For the connection that polls and controls the member. */
  readonly control: BackendCredentials;
}

/** The collaborators and settings of a `GroupTask`. */
export interface GroupDependencies {
  readonly credentials: GroupCredentials;
  readonly policy: ReadPolicy;
  /** Order in which statements wait for a connection (default: `fair`). */
  readonly queue?: 'fair' | 'arrival-order';
  readonly random: Random;
  readonly clock: Clock;
  /** Returns how many data connections this VM may open to the server. */
  readonly allowanceOf: (server: BackendServer) => number;
  readonly onFault: (err: unknown) => void;
}
