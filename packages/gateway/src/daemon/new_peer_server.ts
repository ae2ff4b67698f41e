import {PeerServer} from '@pistachiorill/peers';
import {GATEWAY_ROUTER} from '../peers/gateway_router.js';
import {DaemonPeerHandlers} from './daemon_peer_handlers.js';
import type {PeerHandlerDependencies} from './daemon_peer_handlers.js';

/** Creates the server that passes the peers' calls to the tasks of this VM. */
export function newPeerServer(
  tasks: PeerHandlerDependencies,
  onFault: (err: unknown) => void,
): PeerServer {
  const context = {handlers: new DaemonPeerHandlers(tasks)};
  return new PeerServer({router: GATEWAY_ROUTER, context}, onFault);
}
