import type {ServedRouter} from './peer_http_server.js';
import type {PeerHandlers} from './peer_handlers.js';
import {PEER_ROUTER} from './peer_router.js';

/** Binds the procedures of an entry VM to the handlers that implement them. */
export function servedPeerRouter(handlers: PeerHandlers): ServedRouter {
  return {router: PEER_ROUTER, context: {handlers}};
}
