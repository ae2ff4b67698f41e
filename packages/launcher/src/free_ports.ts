import {randomInt} from 'node:crypto';
import {createServer} from 'node:net';
import type {Server} from 'node:net';

/**
 * The first of the ports that are used. All of them are below 32,768, where the
 * ports of outgoing connections start on Linux; an outgoing connection could
 * otherwise take a port between the check and its use.
 */
const FIRST_PORT = 12_000;
const BLOCK_COUNT = 100;
const BLOCK_SIZE = 200;
const HOST = '127.0.0.1';

/** The ports of the current block that were not checked yet. */
let uncheckedPorts: number[] = [];

/**
 * Finds free ports on the loopback address. Several processes can start fleets
 * at the same time, so each process reserves whole blocks of ports: it listens
 * on the first port of a block until it exits.
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = uncheckedPorts.shift();
    if (port === undefined) {
      uncheckedPorts = await reserveBlock();
    } else if (await isFree(port)) {
      ports.push(port);
    }
  }
  return ports;
}

/** Reserves a random block and returns its ports after the first. */
async function reserveBlock(): Promise<number[]> {
  for (;;) {
    const firstPort = FIRST_PORT + randomInt(BLOCK_COUNT) * BLOCK_SIZE;
    const reservation = await listen(firstPort);
    if (!reservation) continue;
    reservation.unref();
    return Array.from(
      {length: BLOCK_SIZE - 1},
      (unused, index) => firstPort + 1 + index,
    );
  }
}

async function isFree(port: number): Promise<boolean> {
  const server = await listen(port);
  if (!server) return false;
  await new Promise(resolve => server.close(resolve));
  return true;
}

function listen(port: number): Promise<Server | undefined> {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(undefined));
    server.listen(port, HOST, () => resolve(server));
  });
}
