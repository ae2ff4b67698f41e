import {createServer} from 'node:net';
import type {AddressInfo, Server} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';
import {PeerClient} from '../peer_client.js';
import {PeerHandlers} from '../peer_handlers.js';
import {PeerServer} from '../peer_server.js';
import {servedPeerRouter} from '../served_peer_router.js';

class FakeHandlers extends PeerHandlers {
  override probe = async (gossip: Parameters<PeerHandlers['probe']>[0]) =>
    gossip;
  override probeIndirect = async () => 'reached' as const;
  override configuration = async () => ({kind: 'missing' as const});
  override ledger = async () => ({kind: 'missing' as const});
  override loan = async () => ({
    requestId: '1',
    loanId: '1',
    ratePpm: 0,
    burstPpm: 0,
    tokens: 0,
    durationMs: 0,
    spareTokens: 0,
  });
  override forward = async () => ({
    ok: false as const,
    err: {kind: 'draining' as const, detail: 'stops'},
  });
  override begin = async () => ({ok: true as const, transaction: 't1'});
  override executeIn = async (): Promise<never> => {
    throw new Error('internal');
  };
  override commit = async (): Promise<never> => {
    throw new Error('internal');
  };
  override report = async () => undefined;
  override announce = async () => undefined;
  override rollback = async () => undefined;
  override keepAlive = async () => undefined;
  override status = async (): Promise<never> => {
    throw new Error('internal');
  };
}

describe('PeerClient', () => {
  const cleanups: Array<() => void> = [];
  afterEach(() => {
    for (const close of cleanups.splice(0)) close();
  });

  async function listenOnFreePort(onConnect?: Server): Promise<number> {
    const server = onConnect ?? createServer();
    await new Promise<void>(r => server.listen(0, '127.0.0.1', r));
    return (server.address() as AddressInfo).port;
  }

  async function closedPort(): Promise<number> {
    const server = createServer();
    const port = await listenOnFreePort(server);
    await new Promise(r => server.close(r));
    return port;
  }

  function client(port: number): PeerClient {
    const peer = new PeerClient(`127.0.0.1:${port}`);
    cleanups.push(() => peer.close());
    return peer;
  }

  // Guards against a refused connection that is reported as an unknown outcome,
  // and a sent request that is reported as not executed.
  it('distinguishes requests that were not sent from unanswered ones', async () => {
    const port = await closedPort();
    const faults: unknown[] = [];
    const server = new PeerServer(servedPeerRouter(new FakeHandlers()), e =>
      faults.push(e),
    );
    await server.listen(`127.0.0.1:${port}`);
    cleanups.push(() => server.close());
    const aborted = new AbortController();
    const silent = createServer(socket => {
      // The client resets a connection whose request timed out.
      socket.on('error', () => undefined);
      cleanups.push(() => socket.destroy());
      // Aborts after the request was sent.
      socket.once('data', () => aborted.abort());
    });
    const silentPort = await listenOnFreePort(silent);
    cleanups.push(() => silent.close());
    const dropping = createServer(socket =>
      socket.once('data', () => socket.destroy()),
    );
    const droppingPort = await listenOnFreePort(dropping);
    cleanups.push(() => dropping.close());
    const peer = client(port);
    const options = {timeoutMs: 2_000};
    const pending = client(silentPort).status({
      ...options,
      signal: aborted.signal,
    });
    const loan = {
      requestId: '1',
      borrower: 'i1',
      workspace: 'w',
      kind: 'tokens' as const,
      tokens: 1,
    };
    const outcomes = {
      answered: await peer.loan({...loan, ratePpm: 1}, options),
      invalidInput: await peer.loan({...loan, ratePpm: -1}, options),
      internalError: await peer.status(options),
      refusedConnection: await client(await closedPort()).status(options),
      // The remaining time until a deadline may have a fraction.
      silent: await client(silentPort).status({timeoutMs: 1_000.5}),
      dropped: await client(droppingPort).status(options),
      aborted: await pending,
    };
    expect({
      faults: faults.length,
      ...Object.fromEntries(
        Object.entries(outcomes).map(([name, result]) => [
          name,
          result.ok ? 'answered' : result.err.kind,
        ]),
      ),
    }).toMatchSnapshot();
  });
});
