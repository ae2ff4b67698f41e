import type {GroupView} from '../routing/group_view.js';
import type {
  Attempt,
  AttemptAction,
  AttemptEvent,
  AttemptMember,
} from './attempt.js';
import type {FailoverReport, ReceivedReports} from './failover_report.js';

/**
 * One VM's state of the failover of one group. All times are readings of this
 * VM's clock in milliseconds.
 */
export interface FailoverState {
  readonly database: string;
  readonly vm: string;
  readonly dataCentre: string;
  /** Identifies this run of the VM in fences and in the claim row. */
  readonly owner: string;
  readonly members: readonly AttemptMember[];
  readonly dataCentresInService: number;
  /**
   * How long a switchover waits for the statements and transactions that run on
   * the primary. It equals the time after which a VM ends an idle transaction.
   */
  readonly switchoverGraceMs: number;
  /** The last report of each VM, this one included, by name of the VM. */
  readonly reports: ReceivedReports;
  /** When this VM last sent its own report. */
  readonly reportedAt: number;
  /** When this VM last handled an observation of the group. */
  readonly observedAt: number;
  /** No attempt starts before this time, so that another one can finish. */
  readonly noAttemptBefore: number;
  /** The highest term at which any member was seen fenced. */
  readonly highestFencedTerm: number;
  /** The highest term that an attempt of this VM has used. */
  readonly highestOwnTerm: number;
  /**
   * Version of another VM's claim for which this VM has already delayed its
   * own attempt; 0 if there is none.
   */
  readonly awaitedClaimVersion: number;
  /** When each member was last ordered to follow the primary, by name. */
  readonly ordered: Readonly<Record<string, number>>;
  /** The attempt of this VM that is in progress. */
  readonly attempt?: Attempt;
}

/** An input of the failover decisions. */
export type FailoverMessage =
  /** A configuration took effect. */
  | {
      readonly kind: 'configured';
      readonly members: readonly AttemptMember[];
      readonly dataCentresInService: number;
    }
  /** The members of the group were polled. */
  | {
      readonly kind: 'observed';
      readonly view: GroupView;
      /** The load of this VM on the primary, as in `FailoverReport.running`. */
      readonly running: number;
      /** The number of open transactions in `running`. */
      readonly transactions: number;
    }
  /** Another VM's report arrived. */
  | {readonly kind: 'reported'; readonly report: FailoverReport}
  /** A call of the attempt in progress ended. */
  | {readonly kind: 'progress'; readonly event: AttemptEvent};

/** An effect that the failover task carries out. */
export type FailoverAction =
  | AttemptAction
  /** Sends this VM's report to the other VMs. */
  | {readonly kind: 'report'; readonly report: FailoverReport}
  | {readonly kind: 'started'; readonly attempt: Attempt}
  | {readonly kind: 'ended'; readonly attempt: Attempt};

/** The result of one decision. */
export interface FailoverStep {
  readonly state: FailoverState;
  readonly actions: readonly FailoverAction[];
}

/** Returns the state before the first configuration and observation. */
export function initialFailoverState(
  identity: Pick<
    FailoverState,
    'database' | 'vm' | 'dataCentre' | 'owner' | 'switchoverGraceMs'
  >,
): FailoverState {
  return {
    ...identity,
    members: [],
    dataCentresInService: 1,
    reports: {},
    reportedAt: -Infinity,
    observedAt: -Infinity,
    noAttemptBefore: 0,
    highestFencedTerm: 0,
    highestOwnTerm: 0,
    awaitedClaimVersion: 0,
    ordered: {},
  };
}
