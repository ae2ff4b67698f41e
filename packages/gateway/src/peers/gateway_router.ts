import {initTRPC} from '@trpc/server';
import * as z from 'zod';
import {
  END_TRANSACTION_SCHEMA,
  EXECUTE_IN_SCHEMA,
  EXECUTE_SCHEMA,
} from '../owners/forward_schema.js';
import type {GatewayHandlers} from './gateway_handlers.js';

/** What each procedure receives besides its input. */
export interface GatewayContext {
  readonly handlers: GatewayHandlers;
}

const t = initTRPC.context<GatewayContext>().create();

const GROUP = z.object({group: z.string()});

const STOP_SCHEMA = z.object({
  group: z.string(),
  version: z.number(),
  from: z.string(),
  reason: z.enum(['unreachable', 'leaving', 'gone']),
});

/**
 * Asks a VM to stop using the primary `from` of a group, as announced by the
 * group's record with this version.
 */
export type StopRequest = z.infer<typeof STOP_SCHEMA>;

/** The longest time for which an answer may be held. */
const MAX_HOLD_MS = 10_000;
const HOLD_MS = z.number().min(0).max(MAX_HOLD_MS);

const RELAY_SCHEMA = z.object({
  after: z.number(),
  provenTo: z.number(),
  waitMs: HOLD_MS,
});

const CONFIGURATION_SCHEMA = z.object({
  /** The revision of the caller's state. */
  newerThan: z.number(),
  waitMs: HOLD_MS,
  /** A longer state is not sent, as the caller can read it from the store. */
  maxLength: z.number().optional(),
});

/**
 * Asks a VM for a state that is newer than a revision. The answer may be held
 * for `waitMs` until there is one, or until the store confirms the old one.
 */
export type ConfigurationRequest = z.infer<typeof CONFIGURATION_SCHEMA>;

const DIRECTORY_SCHEMA = z.object({
  /** The digest of the list that the caller has; empty for none. */
  known: z.string(),
  waitMs: HOLD_MS,
});

/** Asks a VM for its list of members, unless the caller has the same one. */
export type DirectoryRequest = z.infer<typeof DIRECTORY_SCHEMA>;

const WINDOW = z.number().int();

const KEPT_COUNTS_SCHEMA = z.object({
  vm: z.string(),
  incarnation: z.string(),
  /** The counts of the process so far, for each of the last windows. */
  windows: z.array(
    z.object({
      window: WINDOW,
      counts: z.record(z.string(), z.number().int().min(0)),
    }),
  ),
});

/** The counts of one process, which another VM keeps for it. */
export type KeptCounts = z.infer<typeof KEPT_COUNTS_SCHEMA>;

/** The remote procedures that VMs call on each other. */
export const GATEWAY_ROUTER = t.router({
  /** Answers at once, which shows that the VM is alive. */
  ping: t.procedure.mutation(() => undefined),
  /** Stops the use of a primary; answers once nothing runs on it any more. */
  stopPrimary: t.procedure
    .input(STOP_SCHEMA)
    .mutation(({ctx, input}) => ctx.handlers.stopPrimary(input)),
  /** Returns the VM's observation of a group's primary. */
  sight: t.procedure
    .input(GROUP)
    .mutation(({ctx, input}) => ctx.handlers.sight(input.group)),
  /** Asks the coordinator to evaluate a group's primary. */
  suspect: t.procedure
    .input(GROUP)
    .mutation(({ctx, input}) => ctx.handlers.suspect(input.group)),
  /** Returns changes of the VM's copy of the shared rows, and as of when. */
  relay: t.procedure
    .input(RELAY_SCHEMA)
    .mutation(({ctx, input}) => ctx.handlers.relay(input)),
  /** Returns the VM's newest state from the operators. */
  configuration: t.procedure
    .input(CONFIGURATION_SCHEMA)
    .mutation(({ctx, input}) => ctx.handlers.configuration(input)),
  /** Returns the VM's list of members and its age. */
  directory: t.procedure
    .input(DIRECTORY_SCHEMA)
    .mutation(({ctx, input}) => ctx.handlers.directory(input)),
  /** Returns the log positions of the primaries that the VM knows. */
  positions: t.procedure.mutation(({ctx}) => ctx.handlers.positions()),
  /** Returns the counts of a window that the VM has. */
  usage: t.procedure
    .input(z.object({window: WINDOW}))
    .mutation(({ctx, input}) => ctx.handlers.usage(input.window)),
  /** Keeps the counts of a process that may end. */
  keepUsage: t.procedure
    .input(KEPT_COUNTS_SCHEMA)
    .mutation(({ctx, input}) => ctx.handlers.keepUsage(input)),
  /** Transfers tokens of a workspace to the caller. */
  tokens: t.procedure
    .input(z.object({workspace: z.string(), asked: z.number()}))
    .mutation(({ctx, input}) =>
      ctx.handlers.tokens(input.workspace, input.asked),
    ),
  /** Runs a single statement, or the first one of a transaction. */
  execute: t.procedure
    .input(EXECUTE_SCHEMA)
    .mutation(({ctx, input}) => ctx.handlers.execute(input)),
  /** Runs a statement of a transaction that the VM holds for the caller. */
  executeIn: t.procedure
    .input(EXECUTE_IN_SCHEMA)
    .mutation(({ctx, input}) => ctx.handlers.executeIn(input)),
  /** Rolls back a transaction that the VM holds for the caller. */
  endTransaction: t.procedure
    .input(END_TRANSACTION_SCHEMA)
    .mutation(({ctx, input}) => ctx.handlers.endTransaction(input)),
});

/** The router's type, from which the client's calls are typed. */
export type GatewayRouter = typeof GATEWAY_ROUTER;
