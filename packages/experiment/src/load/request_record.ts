import type {RequestKind} from './request_kind.js';

/** How a request ended. */
export type RequestResult =
  | 'answered'
  | 'refused'
  | 'unknown'
  | 'failed'
  /** The client gave up before it could send the request. */
  | 'abandoned';

/** A request with its result, from which the measures are computed. */
export interface RequestRecord {
  readonly workspace: string;
  readonly database: string;
  readonly vm: string;
  readonly kind: RequestKind;
  readonly rate: 'within' | 'beyond';
  /** Milliseconds after the start of the load. */
  readonly plannedAt: number;
  readonly endedAt: number;
  readonly result: RequestResult;
  /** The kind of refusal or error; empty for an answered request. */
  readonly reason: string;
  /** Attempts that lost the connection before the VM reported an outcome. */
  readonly interruptions: number;
}
