import type {Result} from '@pistachiorill/core';
import type {PeerError} from '@pistachiorill/peers';
import type {
  EndTransactionRequest,
  ExecuteInRequest,
  ExecuteRequest,
  ForwardAnswer,
} from './forward_schema.js';

/** Calls the owners of groups; an error means that no answer was received. */
export abstract class OwnerClient {
  /** Runs a single statement, or the first one of a transaction. */
  abstract execute(
    owner: string,
    req: ExecuteRequest,
    timeoutMs: number,
  ): Promise<Result<ForwardAnswer, PeerError>>;
  /** Runs a statement of a transaction that the owner holds. */
  abstract executeIn(
    owner: string,
    req: ExecuteInRequest,
    timeoutMs: number,
  ): Promise<Result<ForwardAnswer, PeerError>>;
  /** Checks whether an owner answers, without any work. */
  abstract ping(
    owner: string,
    timeoutMs: number,
  ): Promise<Result<void, PeerError>>;
  /** Rolls back a transaction that the owner holds. */
  abstract endTransaction(
    owner: string,
    req: EndTransactionRequest,
    timeoutMs: number,
  ): Promise<Result<void, PeerError>>;
}
