import type {MemberRole, Result} from '@pistachiorill/core';
import type {StoreReadError} from '@pistachiorill/store';

/** The directory's entry for a member, as the member registered it. */
export interface ListedMember {
  readonly member: string;
  readonly group: string;
  readonly address: string;
  readonly dataCentre: string;
  readonly state: 'ready' | 'leaving';
  readonly role: MemberRole;
  /** The number of statements that the member runs concurrently. */
  readonly slots: number;
  /** How long the member still warms up; 0 if it doesn't. */
  readonly remainingWarmupMs: number;
}

/** Lists the members that are registered in the directory. */
export abstract class MemberDirectory {
  /** Reads the current entries of all groups. */
  abstract list(): Promise<Result<readonly ListedMember[], StoreReadError>>;
}
