import type {MemberRole, Result} from '@pistachiorill/core';
import type {StoreReadError} from '@pistachiorill/store';

/** A member as it registered itself. */
export interface ListedMember {
  readonly member: string;
  readonly group: string;
  readonly address: string;
  readonly dataCentre: string;
  readonly state: 'ready' | 'leaving';
  readonly role: MemberRole;
  readonly slots: number;
  /** How long it still warms up. */
  readonly remainingWarmupMs: number;
}

/** Lists the members that registered themselves. */
export abstract class MemberDirectory {
  abstract list(): Promise<Result<readonly ListedMember[], StoreReadError>>;
}
