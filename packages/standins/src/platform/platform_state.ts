import type {ListedVm, Row} from '@pistachiorill/store';

/** How the stand-in answers at present. */
export type FaultMode =
  /** Answers at once. */
  | 'none'
  /** Refuses without executing. */
  | 'outage'
  /** Executes, then drops the connection in place of an answer. */
  | 'lost-answers'
  /** Answers after a delay. */
  | 'slow';

/** What the platform keeps. */
export interface PlatformState {
  readonly rows: Map<string, Row>;
  readonly objects: Map<string, string>;
  vms: readonly ListedVm[];
  fault: FaultMode;
  slowMs: number;
}

export function createPlatformState(): PlatformState {
  return {
    rows: new Map(),
    objects: new Map(),
    vms: [],
    fault: 'none',
    slowMs: 1_000,
  };
}
