import type {ConfigurationRow, VersionedRow} from './configuration_row.js';
import type {Environment} from './environment.js';

/** The request of an operator to put a document in force. */
export interface PromotionRequest {
  readonly environment: Environment;
  readonly hash: string;
  readonly operationId: string;
  readonly actor: string;
  /**
   * The version that the document was edited from; the promotion fails if
   * another is in force. `current` skips this check.
   */
  readonly basedOn: number | 'current';
  /** Whether the document must have been in force in trial before. */
  readonly trialCheck: 'required' | 'skipped';
  /** When to stop retrying the write. */
  readonly writeUntil: number;
  /** When to stop waiting for the VMs to apply the version. */
  readonly waitUntil: number;
}

/** The configuration version that a VM reports. */
export type VmReport = {
  readonly vm: string;
  readonly dataCentre: string;
  /** The state of the VM in the platform's list. */
  readonly platformState: 'live' | 'leaving';
} & (
  | {readonly kind: 'applied'; readonly version: number}
  | {readonly kind: 'unreachable'; readonly detail: string}
);

/** The phases of a promotion, each with one request. */
export type PromotionPhase =
  /** Checks that trial has accepted the document. */
  | 'check-trial'
  /** Stores the body of the document. */
  | 'put-body'
  | 'read-row'
  | 'write-row'
  /** Reads the row to find out whether a write took effect. */
  | 'read-back'
  /** Records that the environment has accepted the document. */
  | 'record-acceptance'
  /** Reads which version each VM has applied. */
  | 'read-vms';

/** The request that the caller sends next, after `delayMs`. */
export type PromotionStep =
  | {
      readonly kind: Exclude<PromotionPhase, 'write-row'>;
      readonly delayMs: number;
    }
  | {
      readonly kind: 'write-row';
      readonly delayMs: number;
      /** The version that the row must have for the write to take effect. */
      readonly expected: number;
      readonly row: ConfigurationRow;
    }
  | {readonly kind: 'finish'; readonly outcome: PromotionOutcome};

/** The result of a step. */
export type PromotionEvent =
  | {readonly kind: 'stored'}
  | {readonly kind: 'acceptance'; readonly accepted: 'yes' | 'no'}
  | {readonly kind: 'row'; readonly current: VersionedRow | undefined}
  | {readonly kind: 'written'; readonly version: number}
  | {readonly kind: 'conflict'; readonly current: VersionedRow | undefined}
  | {readonly kind: 'vms'; readonly reports: readonly VmReport[]}
  | {
      readonly kind: 'failed';
      /** Whether the request may have taken effect. */
      readonly effect: 'none' | 'unknown';
      readonly detail: string;
    };

/** How a promotion ended. */
export type PromotionOutcome =
  | {
      readonly kind: 'promoted' | 'already-in-force';
      readonly version: number;
      readonly vms: readonly VmReport[];
      /** How many live VMs have applied the version. */
      readonly rollout: 'all' | 'majority' | 'minority' | 'unknown';
    }
  /** Another version is in force, and the requested one never was. */
  | {readonly kind: 'conflict'; readonly current: VersionedRow | undefined}
  /** The requested version was in force and has been replaced. */
  | {readonly kind: 'superseded'; readonly current: VersionedRow}
  | {readonly kind: 'not-accepted-in-trial'}
  /** Nothing was changed. */
  | {
      readonly kind: 'unavailable';
      readonly phase: PromotionPhase;
      readonly detail: string;
    }
  /** The write may or may not have taken effect. */
  | {readonly kind: 'outcome-unknown'; readonly detail: string};
