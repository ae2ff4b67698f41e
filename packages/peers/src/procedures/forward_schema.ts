import type {Refusal} from '@pistachiorill/core';
import * as z from 'zod';

const ROUTE_SCHEMA = z.object({
  name: z.string(),
  access: z.enum(['read', 'write']),
  repeatable: z.boolean(),
  audience: z.enum(['keyed', 'open']),
  maxAgeMs: z.number(),
  deadlineMs: z.number(),
  acknowledge: z.enum(['majority', 'primary']),
});

const CALLER_SCHEMA = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('anonymous')}),
  z.object({
    kind: z.literal('keyed'),
    workspace: z.string(),
    keyId: z.string(),
  }),
]);

/**
 * What a read must observe: a minimum log position, or `unknown` for a session
 * token that could not be verified. Reads with `unknown` run at the primary.
 */
const REQUIREMENT_SCHEMA = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('at-least'),
    position: z.object({term: z.number(), position: z.number()}),
  }),
  z.object({kind: z.literal('unknown')}),
]);

/**
 * A routed statement as one VM forwards it to another. Times are durations,
 * because the clocks of two VMs cannot be compared.
 */
export const WIRE_STATEMENT_SCHEMA = z.object({
  connectionId: z.string(),
  caller: CALLER_SCHEMA,
  /** The name from the handshake: a service or one of its databases. */
  databaseName: z.string(),
  /** The database group that executes the statement. */
  database: z.string(),
  sql: z.string(),
  scope: z.enum(['autocommit', 'transaction']),
  options: z.object({
    route: z.string().optional(),
    session: z.string().optional(),
    requestId: z.string().optional(),
    shard: z.string().optional(),
    maxAgeMs: z.number().optional(),
  }),
  verb: z.enum([
    'query',
    'begin',
    'commit',
    'rollback',
    'session-token',
    'no-effect',
  ]),
  changesData: z.boolean(),
  route: ROUTE_SCHEMA,
  maxAgeMs: z.number(),
  requirement: REQUIREMENT_SCHEMA,
  /** Time from the statement's arrival until it was forwarded. */
  elapsedMs: z.number().nonnegative(),
  /** Time until the caller's deadline. */
  remainingMs: z.number().nonnegative(),
});

export type WireStatement = z.infer<typeof WIRE_STATEMENT_SCHEMA>;

/** Requests the execution of one statement. */
export const FORWARD_SCHEMA = z.object({statement: WIRE_STATEMENT_SCHEMA});

export type ForwardRequest = z.infer<typeof FORWARD_SCHEMA>;

const COLUMN_SCHEMA = z.object({
  name: z.string(),
  table: z.string(),
  characterSet: z.number(),
  columnLength: z.number(),
  type: z.number(),
  flags: z.number(),
  decimals: z.number(),
});

const WIRE_RESULT_SCHEMA = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('rows'),
    columns: z.array(COLUMN_SCHEMA),
    /** Cell values in base64; null for SQL NULL. */
    rows: z.array(z.array(z.string().nullable())),
  }),
  z.object({
    kind: z.literal('done'),
    affectedRows: z.number(),
    insertId: z.number(),
  }),
]);

/** The reply of a backend server as one VM returns it to another. */
export const WIRE_REPLY_SCHEMA = z.object({
  result: WIRE_RESULT_SCHEMA,
  database: z.string(),
  /** The log position that later reads of the session must cover. */
  seen: z.object({term: z.number(), position: z.number()}).nullable(),
  /** The backend server that executed the statement. */
  backendServer: z.string(),
  servedBy: z.enum(['primary', 'replica']),
});

export type WireReply = z.infer<typeof WIRE_REPLY_SCHEMA>;

/** The response of a group's owner to a forwarded statement. */
export type ForwardResponse =
  | {readonly ok: true; readonly value: WireReply}
  | {readonly ok: false; readonly err: Refusal};
