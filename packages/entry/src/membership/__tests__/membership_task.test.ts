import {createServer} from 'node:net';
import type {AddressInfo, Server} from 'node:net';
import {Random, fail} from '@pistachiorill/core';
import type {PeerRecord, RowVersions} from '@pistachiorill/core';
import {PeerServer, servedPeerRouter} from '@pistachiorill/peers';
import type {Gossip, StatusResponse} from '@pistachiorill/peers';
import {VmList} from '@pistachiorill/store';
import {ask} from '@pistachiorill/tasks';
import {afterEach, describe, expect, it, vi} from 'vitest';
import {OwnerTask} from '../../forward/owner_task.js';
import {EntryPeerHandlers} from '../../peers/entry_peer_handlers.js';
import {MembershipTask} from '../membership_task.js';
import type {MembershipView} from '../membership_view.js';

class UnreachableList extends VmList {
  override async read() {
    return fail({kind: 'unavailable' as const, detail: 'outage'});
  }
}

const PORT = 42_191;
const NO_VERSIONS: RowVersions = {configuration: 0, ledger: 0};

/** Builds a peer record. VMs differ by their loopback address. */
function peerRecord(vm: string, host: number, port = PORT): PeerRecord {
  const address = `127.0.2.${host}:${port}`;
  return {vm, dataCentre: vm[0] ?? '', address, instance: `i-${vm}`};
}

/** Listens on a port that the system assigns, as tests may run in parallel. */
async function listenAnywhere(server: Server, host: string): Promise<number> {
  await new Promise<void>(resolve => server.listen(0, host, resolve));
  return (server.address() as AddressInfo).port;
}

/**
 * Returns a free port of the host. No outgoing connection can take the port in
 * the meantime, as none uses these addresses.
 */
async function freePort(host: string): Promise<number> {
  const server = createServer();
  const port = await listenAnywhere(server, host);
  await new Promise(resolve => server.close(resolve));
  return port;
}

function gossipOf(
  from: PeerRecord,
  versions: RowVersions,
  proofAgeMs: number | null,
): Gossip {
  return {
    from,
    incarnation: 1,
    changes: [],
    versions: {known: versions, applied: versions, proofAgeMs},
    suspicions: ['group-1'],
  };
}

describe('MembershipTask', () => {
  const closers: Array<() => unknown> = [];
  afterEach(async () => {
    for (const close of closers.splice(0)) await close();
  });

  function setup(self: PeerRecord) {
    const views: MembershipView[] = [];
    const suspicions: unknown[] = [];
    const time = {now: 1_000};
    const task = new MembershipTask({
      self,
      incarnation: 1,
      list: new UnreachableList(),
      random: new Random(1),
      clock: () => time.now,
      payloads: {
        suspicions: () => undefined,
        onSuspicions: (vm, dataCentre, list) =>
          suspicions.push({vm, dataCentre, list}),
        spareQuota: () => ({spare: 1}),
        onSpareQuota: () => undefined,
      },
      onView: view => views.push(view),
      onListed: () => undefined,
      onFault: err => {
        throw err;
      },
    });
    closers.push(() => task.stop());
    const probed = (gossip: Gossip): Promise<Gossip> =>
      ask(reply => task.tell({kind: 'probed', gossip, reply}));
    const status = (): Promise<StatusResponse> =>
      ask(reply => task.tell({kind: 'status', reply}));
    return {task, views, suspicions, time, probed, status};
  }

  async function serve(task: MembershipTask, address: string): Promise<void> {
    const owner = new OwnerTask({
      local: () => undefined,
      context: () => undefined,
      clock: () => 0,
      onFault: () => undefined,
    });
    const server = new PeerServer(
      servedPeerRouter(
        new EntryPeerHandlers(task, owner, {
          configuration: async () => ({kind: 'missing'}),
          announce: () => undefined,
          ledger: async () => ({kind: 'missing'}),
          loan: async () => {
            throw new Error('no loans');
          },
          report: () => undefined,
        }),
      ),
      () => undefined,
    );
    await server.listen(address);
    closers.push(async () => {
      server.close();
      await owner.stop();
    });
  }

  // Guards against a VM that stays confirmed because of a peer's probe, which
  // may have been sent long ago, and against payloads that are not passed on.
  it('accepts versions from a probe but no proof', async () => {
    const {views, suspicions, probed, status} = setup(peerRecord('a1', 1));
    const versions = {configuration: 4, ledger: 2};
    const answer = await probed(gossipOf(peerRecord('b1', 2), versions, 10));
    expect({
      answer,
      suspicions,
      status: await status(),
      known: views.at(-1)?.known,
      peers: views.at(-1)?.peers.map(entry => entry.peer.vm),
    }).toMatchSnapshot();
  });

  // Guards against a VM that cannot read the store and stays unconfirmed
  // although a peer can read the store.
  it('is confirmed by a peer until the proof expires', async () => {
    const peer = peerRecord('b1', 2, await freePort('127.0.2.2'));
    const own = setup(peerRecord('a1', 1));
    const other = setup(peer);
    await serve(other.task, peer.address);
    for (const row of ['configuration', 'ledger'] as const) {
      const read = {kind: 'row-read', row, version: 1, startedAt: 900} as const;
      other.task.tell({kind: 'authority', event: read});
    }
    const applied = {configuration: 1, ledger: 1};
    own.task.tell({
      kind: 'authority',
      event: {kind: 'applied', versions: applied},
    });
    await own.probed(gossipOf(peer, applied, null));
    expect((await own.status()).confirmation).toBe('unconfirmed');
    own.task.tell({kind: 'tick'});
    await vi.waitFor(async () =>
      expect((await own.status()).confirmation).toBe('confirmed'),
    );
    expect(own.views.at(-1)?.confirmedUntil).toBe(6_900);
    own.time.now = 6_900;
    expect((await own.status()).confirmation).toBe('unconfirmed');
  });

  // Guards against a VM that suspects its peers after a pause of its own.
  it.each([
    ['suspects an unresponsive peer', 0, 'suspect'],
    ['does not suspect a peer during a pause of its own', 5_000, 'alive'],
  ] as const)('%s', async (unusedName, pauseMs, expected) => {
    const unresponsive = createServer(socket => {
      // The client resets a connection whose request timed out.
      socket.on('error', () => undefined);
    });
    closers.push(() => void unresponsive.close());
    const port = await listenAnywhere(unresponsive, '127.0.2.3');
    const own = setup(peerRecord('a1', 1));
    await own.probed(gossipOf(peerRecord('b1', 3, port), NO_VERSIONS, null));
    own.task.tell({kind: 'tick'});
    await own.status();
    own.time.now += pauseMs;
    const stateOfPeer = async () => (await own.status()).peers[0]?.state;
    if (expected === 'alive') {
      // Waits longer than the probe timeout.
      await new Promise(resolve => setTimeout(resolve, 400));
    }
    await vi.waitFor(async () => expect(await stateOfPeer()).toBe(expected), {
      timeout: 5_000,
    });
  });
});
