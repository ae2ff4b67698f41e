import type {Refusal} from '@pistachiorill/core';
import * as z from 'zod';
import {WIRE_STATEMENT_SCHEMA} from './forward_schema.js';

/** Requests a transaction on the database of a routed statement. */
export const BEGIN_SCHEMA = z.object({statement: WIRE_STATEMENT_SCHEMA});

export type BeginRequest = z.infer<typeof BEGIN_SCHEMA>;

/** The id of the opened transaction, or why none was opened. */
export type BeginResponse =
  | {readonly ok: true; readonly transaction: string}
  | {readonly ok: false; readonly err: Refusal};

/** Requests the execution of a statement in an open transaction. */
export const EXECUTE_IN_SCHEMA = z.object({
  transaction: z.string(),
  statement: WIRE_STATEMENT_SCHEMA,
});

export type ExecuteInRequest = z.infer<typeof EXECUTE_IN_SCHEMA>;

/** Requests the commit of a transaction. */
export const COMMIT_SCHEMA = z.object({
  transaction: z.string(),
  /** Time until the caller's deadline. */
  remainingMs: z.number().nonnegative(),
});

export type CommitRequest = z.infer<typeof COMMIT_SCHEMA>;

/** Requests the rollback of a transaction. */
export const ROLLBACK_SCHEMA = z.object({transaction: z.string()});

export type RollbackRequest = z.infer<typeof ROLLBACK_SCHEMA>;

/** Lists the sender's forwarded transactions that must stay open. */
export const KEEP_ALIVE_SCHEMA = z.object({
  transactions: z.array(z.string()),
});

export type KeepAliveRequest = z.infer<typeof KEEP_ALIVE_SCHEMA>;
