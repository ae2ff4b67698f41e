import type {ListedVm, Row} from '@pistachiorill/store';

/** How the stand-in platform responds to requests. */
export type PlatformFaultMode =
  /** Responds without delay. */
  | 'none'
  /** Responds with status 503 and executes nothing. */
  | 'outage'
  /** Executes the request, then closes the connection without a response. */
  | 'lost-answers'
  /** Executes the request and responds after a delay of `slowMs`. */
  | 'slow';

/** The stored data and the fault settings of the platform. */
export interface PlatformState {
  /** Rows of the table service, by key. */
  readonly rows: Map<string, Row>;
  /** Bodies in the object store, by name. */
  readonly objects: Map<string, string>;
  /** The list of VMs that the platform publishes. */
  vms: readonly ListedVm[];
  fault: PlatformFaultMode;
  slowMs: number;
}

/** Returns the state of an empty platform without faults. */
export function createPlatformState(): PlatformState {
  return {
    rows: new Map(),
    objects: new Map(),
    vms: [],
    fault: 'none',
    slowMs: 1_000,
  };
}
