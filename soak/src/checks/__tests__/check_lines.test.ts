import {createServer} from 'node:net';
import type {AddressInfo, Server} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';
import {
  LOOPBACK_HOST,
  LineClient,
  createHistory,
} from '@pistachiorill/platform/standins';
import type {History} from '@pistachiorill/platform/standins';
import {sleep} from '@pistachiorill/tasks';
import {checkLines} from '../check_lines.js';

const POLL_MS = 5;
const NOW_MS = 100;

let server: Server | undefined;

afterEach(() => server?.close());

/** Starts a VM that opens a session and answers one request with `lines`. */
async function listen(lines: readonly string[]): Promise<string> {
  const started = createServer(socket => {
    socket.on('error', () => undefined);
    socket.on('data', chunk => {
      const isOpening = chunk.toString('latin1').startsWith('STARTUP');
      if (isOpening) socket.write('READY I -\r\n');
      else socket.end(lines.map(line => `${line}\r\n`).join(''));
    });
  });
  server = started;
  await new Promise<void>(resolve => started.listen(0, LOOPBACK_HOST, resolve));
  return `${LOOPBACK_HOST}:${(started.address() as AddressInfo).port}`;
}

/** Sends one request and records the lines that are received. */
async function record(lines: readonly string[]): Promise<History> {
  const history = createHistory();
  const clock = (): number => NOW_MS;
  const address = await listen(lines);
  const client = await LineClient.open(address, 'db', 'key', {history, clock});
  await client?.run('r1', {kind: 'read', item: 'i'});
  while (client?.isOpen) await sleep(POLL_MS);
  return history;
}

const CASES: ReadonlyArray<readonly [string, readonly string[]]> = [
  ['an answer', ['DATAROW x', 'COMPLETE s', 'READY I -']],
  ['a refusal', ['ERROR BUSY x', 'READY I -']],
  ['a request to close', ['COMPLETE s', 'READY I -', 'ERROR BUSY x']],
  ['a refusal and a request to close', ['ERROR A', 'READY I -', 'ERROR A']],
  ['a second READY', ['COMPLETE s', 'READY I -', 'READY I -']],
  ['an answer to nothing', ['COMPLETE s', 'READY I -', 'DATAROW x']],
  [
    'a READY after a request to close',
    ['COMPLETE s', 'READY I -', 'ERROR A', 'READY I -'],
  ],
  ['two errors', ['ERROR BUSY x', 'ERROR BUSY y', 'READY I -']],
  ['an error and an answer', ['ERROR A', 'COMPLETE s', 'READY I -']],
  ['a READY alone', ['READY I -']],
];

describe('checkLines', () => {
  // Guards against a VM whose request to close is mistaken for an answer, and
  // against a check that reports what the protocol allows.
  it.each(CASES)('%s', async (unusedName, lines) => {
    const {irregularLines, exchanges} = await record(lines);
    expect({
      received: irregularLines.map(({kind, word}) => `${kind}: ${word}`),
      ends: exchanges.map(item => item.end),
      violations: checkLines({irregularLines}, () => 'vm-1'),
    }).toMatchSnapshot();
  });
});
