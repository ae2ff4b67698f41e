/** tRPC between the VMs. */
export {PeerClient} from './peer_client.js';
export type {CallOptions} from './peer_client.js';
export type {PeerError} from './peer_error.js';
export {PeerHandlers} from './peer_handlers.js';
export type {PeerRouter} from './peer_router.js';
export {PeerServer} from './peer_server.js';
export type {PeerTraffic} from './peer_server.js';
export type * from './procedures/announce_schema.js';
export type * from './procedures/configuration_schema.js';
export type * from './procedures/forward_schema.js';
export type * from './procedures/ledger_schema.js';
export type * from './procedures/loan_schema.js';
export type * from './procedures/probe_indirect_schema.js';
export type * from './procedures/probe_schema.js';
export type * from './procedures/status_schema.js';
export type * from './procedures/transaction_schema.js';
