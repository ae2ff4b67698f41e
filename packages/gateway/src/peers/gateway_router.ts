import {initTRPC} from '@trpc/server';
import {z} from 'zod';
import type {GatewayHandlers} from './gateway_handlers.js';

/** What each procedure receives beside its input. */
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

/** Asks a VM to stop the use of a group's primary. */
export type StopRequest = z.infer<typeof STOP_SCHEMA>;

/** All procedures that VMs call on each other. */
export const GATEWAY_ROUTER = t.router({
  ping: t.procedure.mutation(() => undefined),
  /** Ends the use of a primary; answers when nothing runs on it any more. */
  stopPrimary: t.procedure
    .input(STOP_SCHEMA)
    .mutation(({ctx, input}) => ctx.handlers.stopPrimary(input)),
  /** How the VM sees the primary of a group. */
  sight: t.procedure
    .input(GROUP)
    .mutation(({ctx, input}) => ctx.handlers.sight(input.group)),
  /** Asks the holder of the duty to look at a group. */
  suspect: t.procedure
    .input(GROUP)
    .mutation(({ctx, input}) => ctx.handlers.suspect(input.group)),
  /** What the VM knows of the shared rows, and as of when. */
  relay: t.procedure.mutation(({ctx}) => ctx.handlers.relay()),
  /** The newest configuration that the VM knows, if it is newer. */
  configuration: t.procedure
    .input(z.object({newerThan: z.number()}))
    .mutation(({ctx, input}) => ctx.handlers.configuration(input.newerThan)),
  /** The members that the VM lists. */
  directory: t.procedure.mutation(({ctx}) => ctx.handlers.directory()),
  /** Moves tokens of a workspace to the caller. */
  tokens: t.procedure
    .input(z.object({workspace: z.string(), asked: z.number()}))
    .mutation(({ctx, input}) =>
      ctx.handlers.tokens(input.workspace, input.asked),
    ),
});

export type GatewayRouter = typeof GATEWAY_ROUTER;
