import type {
  PrimaryLeaseDecision,
  Random,
  VersionedLeadership,
} from '@pistachiorill/core';
import type {Clock} from '@pistachiorill/tasks';
import type {Logger} from '@pistachiorill/telemetry';
import type {MemberLinkFactory} from '../ports/member_link.js';
import type {GatewayMetrics} from '../telemetry/gateway_metrics.js';

/** Counts the statements that members begin to run. */
export type StatementCounter = (
  workspace: string,
  state: 'begun' | 'not-begun',
  at: number,
) => void;

/** The services of the VM that a group's task uses. */
export interface DatabaseDependencies {
  /** The location of this VM. */
  readonly vm: {readonly dataCentre: string; readonly region: string};
  readonly regionOf: (dataCentre: string) => string;
  readonly links: MemberLinkFactory;
  readonly clock: Clock;
  /** Returns whether this VM holds a valid primary lease at present. */
  readonly primaryLease: (
    leadership: VersionedLeadership | undefined,
  ) => PrimaryLeaseDecision;
  /**
   * Requests positions of the primary from the VM that samples it, if there is
   * one. The answer arrives as a message, also if it has none.
   */
  readonly requestPositions: (group: string) => 'requested' | 'not-sampled';
  /**
   * Called repeatedly while the primary is unreachable; `since` is the time of
   * the first failure or of the oldest request without a response.
   */
  readonly onPrimaryUnreachable: (
    group: string,
    primary: string,
    since: number,
  ) => void;
  /**
   * Called for each single statement, and for the first one of a transaction, of
   * a workspace that is sent to a member, with the time at which the member begins
   * it, and again if it did not begin; undefined if they are not counted.
   */
  readonly onStatement?: StatementCounter | undefined;
  readonly log: Logger;
  readonly metrics?: GatewayMetrics;
  /** Spreads the delays of refusals, which are not spread without it. */
  readonly random?: Random;
  /** Reports an unexpected exception. */
  readonly onFailed: (err: unknown) => void;
}
