import type {MemberState, Result} from '@pistachiorill/core';
import type {BackendError} from './backend_error.js';

/**
 * The control operations of one member of a replication group. To support a
 * platform whose members expose them in another form, add a subclass; the code
 * that decides when to call them stays the same.
 */
export abstract class GroupControl {
  /** Reads the role, term and log positions of the member. */
  abstract state(): Promise<Result<MemberState, BackendError>>;

  /** Makes the member refuse writes and replication of terms below `term`. */
  abstract fence(
    term: number,
    owner: string,
  ): Promise<Result<MemberState, BackendError>>;

  /** Makes the member primary of `term`, at which `owner` has fenced it. */
  abstract promote(
    term: number,
    owner: string,
  ): Promise<Result<MemberState, BackendError>>;

  /** Makes the member replicate from `primary`, given as `host:port`. */
  abstract follow(
    term: number,
    primary: string,
  ): Promise<Result<MemberState, BackendError>>;

  abstract close(): void;
}
