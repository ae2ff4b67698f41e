import type {PrimaryRight, VersionedLeadership} from '@pistachiorill/core';
import type {Clock} from '@pistachiorill/tasks';
import type {Logger} from '@pistachiorill/telemetry';
import type {MemberLinks} from '../ports/member_link.js';

/** What a database's task needs of the VM. */
export interface DatabaseTools {
  readonly vm: {readonly dataCentre: string; readonly region: string};
  readonly regionOf: (dataCentre: string) => string;
  readonly links: MemberLinks;
  readonly clock: Clock;
  /** The VM's right to use the recorded primary now. */
  readonly right: (leadership: VersionedLeadership | undefined) => PrimaryRight;
  /** Called while the primary cannot be reached. */
  readonly onSuspect: (group: string, primary: string, since: number) => void;
  readonly log: Logger;
  readonly onFailed: (err: unknown) => void;
}
