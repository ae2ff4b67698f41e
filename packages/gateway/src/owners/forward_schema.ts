import * as z from 'zod';
import type {LogPosition} from '@pistachiorill/core';
import type {SessionRefusal} from '../ports/caller_link.js';
import type {TransactionState} from '../ports/member_link.js';

/** The longest statement text, as of a caller's message. */
const MAX_TEXT_LENGTH = 1_048_576;
const MAX_NAME_LENGTH = 4_096;
/** Longer than any statement timeout that the platform allows. */
const MAX_REMAINING_MS = 2 ** 31 - 1;
const MAX_VALUES = 65_536;
const MAX_REGIONS = 1_024;

const NAME = z.string().max(MAX_NAME_LENGTH);
const TEXT = z.string().max(MAX_TEXT_LENGTH);
const ACCESS = z.enum(['read', 'write']);
const ANY_ACCESS = z.enum(['read', 'write', 'commit']);
const MS = z.number().min(0).max(MAX_REMAINING_MS);

const COMMAND = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('commit')}),
  z.object({kind: z.literal('statement'), text: TEXT}),
  z.object({kind: z.literal('execute'), name: TEXT, parameters: TEXT}),
]);

const POSITION = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('none')}),
  z.object({kind: z.literal('unknown')}),
  z.object({
    kind: z.literal('at-least'),
    position: z.object({term: z.number(), position: z.number()}),
  }),
]);

/** The transaction that the calling VM names, and the place in its order. */
const TRANSACTION = z.object({
  /** Chosen by the calling VM; never used again. */
  id: z.string().min(1).max(MAX_NAME_LENGTH),
  vm: NAME,
  incarnation: NAME,
});

/** Identifies a transaction that an owner holds for another VM. */
export type ForwardedTransactionId = z.infer<typeof TRANSACTION>;

/** What a member runs, and how long it may take. */
const WORK = {
  id: TEXT,
  command: COMMAND,
  access: ANY_ACCESS,
  prepared: z.object({access: ACCESS, shape: TEXT}).optional(),
  values: z.array(z.tuple([TEXT, TEXT])).max(MAX_VALUES),
  /** Never an absolute time, as the clocks of two VMs differ. */
  remainingMs: MS,
};

export const EXECUTE_SCHEMA = z.object({
  ...WORK,
  database: TEXT,
  key: TEXT,
  /** The version of the configuration by which the key was checked. */
  keyCheckedAt: z.number().optional(),
  workspace: TEXT,
  caller: z.enum(['keyed', 'anonymous']),
  regions: z.array(NAME).max(MAX_REGIONS),
  begin: ACCESS.optional(),
  /** What the session has seen in the group of the route. */
  position: POSITION,
  /** Whether the owner logs which member runs the statement. */
  placementLog: z.literal('on').optional(),
  route: z.object({
    name: TEXT,
    database: TEXT,
    group: TEXT,
    consistency: z.enum(['strict', 'bounded-age', 'own-writes']),
    maxAgeMs: MS,
    statementTimeoutMs: MS,
    targetMs: MS,
    priority: z.number(),
    audience: z.enum(['keyed', 'open']),
    regions: z.array(NAME).max(MAX_REGIONS),
  }),
  /** The transaction that begins with this statement, if any. */
  transaction: TRANSACTION.optional(),
});

/** A routed and admitted statement that an owner runs for another VM. */
export type ExecuteRequest = z.infer<typeof EXECUTE_SCHEMA>;

export const EXECUTE_IN_SCHEMA = z.object({
  ...WORK,
  transaction: z.string().max(MAX_NAME_LENGTH),
  /** The statement's number in its transaction; the first one has 1. */
  step: z.number().int().min(2),
});

/** A statement of a transaction that an owner holds. */
export type ExecuteInRequest = z.infer<typeof EXECUTE_IN_SCHEMA>;

export const END_TRANSACTION_SCHEMA = z.object({
  transaction: z.string().max(MAX_NAME_LENGTH),
});

/** Rolls back a transaction that an owner holds. */
export type EndTransactionRequest = z.infer<typeof END_TRANSACTION_SCHEMA>;

/** The answer of an owner to a forwarded statement. */
export type ForwardAnswer =
  | {
      readonly kind: 'done';
      readonly rows: readonly string[];
      readonly signature: string;
      readonly transaction: TransactionState;
      readonly applied?: LogPosition | undefined;
    }
  /** The result of running it at the owner, as for the owner's own callers. */
  | {readonly kind: 'refused'; readonly refusal: SessionRefusal}
  /** The owner did not run it. */
  | {
      readonly kind: 'not-run';
      readonly reason:
        'stopping' | 'not-ready' | 'full' | 'no-transaction' | 'out-of-order';
    };
