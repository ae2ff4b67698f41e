/** The MySQL wire protocol on connections to clients and backend servers. */
export {BackendConnection, splitAddress} from './backend_connection.js';
export type {BackendCredentials} from './backend_connection.js';
export {MYSQL_ERRNO} from './backend_error.js';
export type {BackendError} from './backend_error.js';
export {ConnectionGuard} from './connection_guard.js';
export type {GuardedConnection} from './connection_guard.js';
export {GroupControl} from './group_control.js';
export {matchesVerifier, computeVerifier} from './native_password.js';
export {LIMIT_ERRORS} from './limit_errors.js';
export type {ClientError} from './limit_errors.js';
export {MysqlServer} from './mysql_server.js';
export {refuseConnection} from './refuse_connection.js';
export {ServerConnection} from './server_connection.js';
export type {
  HandshakeRequest,
  RawServerConnection,
  ServerConnectionEvents,
} from './raw_server_connection.js';
export {SqlGroupControl, decodeMemberState} from './sql_group_control.js';
