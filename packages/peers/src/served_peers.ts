import type {ServedRouter} from './http_adapter.js';
import type {PeerHandlers} from './peer_handlers.js';
import {PEER_ROUTER} from './peer_router.js';

/** The procedures of an entry VM with the handlers that answer them. */
export function servedPeers(handlers: PeerHandlers): ServedRouter {
  return {router: PEER_ROUTER, context: {handlers}};
}
