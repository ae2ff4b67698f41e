import type {PrimaryRight, VersionedLeadership} from '@pistachiorill/core';
import type {Clock} from '@pistachiorill/tasks';
import type {Logger} from '@pistachiorill/telemetry';
import type {MemberLinks} from '../ports/member_link.js';

/** The services of the VM that a group's task uses. */
export interface DatabaseTools {
  /** The location of this VM. */
  readonly vm: {readonly dataCentre: string; readonly region: string};
  readonly regionOf: (dataCentre: string) => string;
  readonly links: MemberLinks;
  readonly clock: Clock;
  /** Returns whether this VM holds a valid primary lease at present. */
  readonly right: (leadership: VersionedLeadership | undefined) => PrimaryRight;
  /**
   * Called repeatedly while the primary is unreachable; `since` is the time of
   * the first failure or of the oldest request without a response.
   */
  readonly onSuspect: (group: string, primary: string, since: number) => void;
  readonly log: Logger;
  /** Reports an unexpected exception. */
  readonly onFailed: (err: unknown) => void;
}
