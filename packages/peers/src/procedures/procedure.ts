import {initTRPC} from '@trpc/server';
import type {PeerHandlers} from '../peer_handlers.js';

/** The context that each procedure receives with its input. */
export interface PeerContext {
  readonly handlers: PeerHandlers;
}

/** The tRPC instance that builds the router and its procedures. */
export const t = initTRPC.context<PeerContext>().create();
