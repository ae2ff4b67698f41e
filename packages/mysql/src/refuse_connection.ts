import type {ClientError} from './limit_errors.js';
import {OVERLOADED} from './limit_errors.js';
import {RawPacket} from './raw_packet.js';
import type {RawServerConnection} from './raw_server_connection.js';

/** Sends an error instead of the greeting and closes the socket. */
export function refuseConnection(
  raw: RawServerConnection,
  err: ClientError = OVERLOADED,
): void {
  raw.on('error', () => undefined);
  raw.writePacket(RawPacket.error(err.errno, err.sqlState, err.message));
  raw.stream.destroySoon();
}
