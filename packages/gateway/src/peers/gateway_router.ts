import {initTRPC} from '@trpc/server';
import {z} from 'zod';
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
  /** Returns the VM's copy of the shared rows, and as of when. */
  relay: t.procedure.mutation(({ctx}) => ctx.handlers.relay()),
  /** Returns the VM's newest state from the operators, if it is newer. */
  configuration: t.procedure
    .input(z.object({newerThan: z.number()}))
    .mutation(({ctx, input}) => ctx.handlers.configuration(input.newerThan)),
  /** Returns the VM's list of members and its age. */
  directory: t.procedure.mutation(({ctx}) => ctx.handlers.directory()),
  /** Transfers tokens of a workspace to the caller. */
  tokens: t.procedure
    .input(z.object({workspace: z.string(), asked: z.number()}))
    .mutation(({ctx, input}) =>
      ctx.handlers.tokens(input.workspace, input.asked),
    ),
});

/** The router's type, from which the client's calls are typed. */
export type GatewayRouter = typeof GATEWAY_ROUTER;
