import {Random, fail, ok} from '@pistachiorill/core';
import type {PositionSamples} from '@pistachiorill/core';
import {sleep} from '@pistachiorill/tasks';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import type {DatabaseMessage} from '../../database/database_message.js';
import type {DatabaseTask} from '../../database/database_task.js';
import {PeerSet} from '../../peers/peer_set.js';
import {FakeFleet, fleetOf} from '../../testing/fake_fleet_peers.js';
import {PositionTask} from '../position_task.js';
import type {RelayedPositions} from '../position_task.js';

const TRIP_MS = 5;

/** A group's task that records its messages. */
class FakeDatabase {
  readonly received: PositionSamples[] = [];
  samples: PositionSamples = [];
  sampled = 0;
  collected = 0;

  tell(message: DatabaseMessage): void {
    if (message.kind === 'positions') this.received.push(message.samples);
    if (message.kind === 'samples') {
      this.collected++;
      message.reply.answer(this.samples);
    }
    if (message.kind === 'sample-primary') this.sampled++;
  }
}

/** Peers whose positions take some time to arrive. */
class FakePeers extends PeerSet {
  answer: RelayedPositions | undefined = {};
  calls = 0;

  constructor(vms: readonly string[]) {
    super(new Random(1));
    this.update(vms.map(vm => ({vm, address: '127.0.0.1:1'})));
  }

  override async positions() {
    this.calls++;
    await sleep(TRIP_MS);
    if (this.answer) return ok(this.answer);
    return fail({kind: 'no-answer' as const, detail: 'silent'});
  }
}

function start(size: number) {
  const fleet = new FakeFleet(fleetOf(size));
  const names = [...fleet.dataCentreByVm.keys()];
  const newTask = (vm: string) => {
    const database = new FakeDatabase();
    const peers = new FakePeers(names);
    const watcher = fleet.watcherOf(vm, peers);
    const task = new PositionTask({
      groups: () => ['wash'],
      database: () => database as unknown as DatabaseTask,
      peers,
      watcher,
      clock: () => performance.now(),
      onFailed: err => {
        throw err;
      },
    });
    return {task, database, peers, isFollower: watcher.next() !== undefined};
  };
  const all = names.map(newTask);
  const stop = (): void => {
    for (const {task} of all) task.tell({kind: 'stop'});
  };
  return {all, stop};
}

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

describe('PositionTask', () => {
  // Guards against a position that is taken for newer than it is.
  it('dates the samples of its watcher before its request', async () => {
    const {all, stop} = start(30);
    const follower = all.find(item => item.isFollower);
    const end = {term: 3, position: 7};
    if (follower) follower.peers.answer = {wash: [{ageMs: 300, end}]};
    const sentAt = performance.now();
    follower?.task.tell({kind: 'needed', group: 'wash'});
    await vi.advanceTimersByTimeAsync(TRIP_MS + 1);
    const samples = follower?.database.received.at(0) ?? [];
    const ages = samples.map(({askedAt}) => Math.round(sentAt - askedAt));
    expect(ages).toEqual([300]);
    stop();
  });

  // Guards against a read that waits for a watcher that is silent, and against
  // a request for each read.
  it.each(['answers', 'silent'] as const)(
    'asks rarely while its watcher is: %s',
    async state => {
      const {all, stop} = start(30);
      const follower = all.find(item => item.isFollower);
      if (follower && state === 'silent') follower.peers.answer = undefined;
      for (let read = 0; read < 100; read++) {
        follower?.task.tell({kind: 'needed', group: 'wash'});
        await vi.advanceTimersByTimeAsync(10);
      }
      await vi.advanceTimersByTimeAsync(100);
      const {calls} = follower?.peers ?? {};
      const answered = follower?.database.received.length ?? 0;
      expect({calls, isAnswered: answered >= 4}).toMatchSnapshot();
      stop();
    },
  );

  // Guards against a watcher that is busy with its followers' requests, whose
  // queue then grows.
  it('collects the samples once for many requests', async () => {
    const {all, stop} = start(30);
    const watcher = all.find(item => !item.isFollower);
    const end = {term: 3, position: 7};
    if (watcher) watcher.database.samples = [{askedAt: performance.now(), end}];
    const answers: RelayedPositions[] = [];
    for (let request = 0; request < 100; request++) {
      watcher?.task.tell({
        kind: 'relay',
        reply: {answer: positions => answers.push(positions)},
      });
      await vi.advanceTimersByTimeAsync(5);
    }
    const ages = [answers[0], answers[20]].map(answer =>
      answer?.['wash']?.map(({ageMs}) => Math.round(ageMs)),
    );
    const collected = watcher?.database.collected ?? Infinity;
    expect({answers: answers.length, collected, ages}).toMatchSnapshot();
    stop();
  });

  // Guards against requests to the primaries that nobody needs, and against
  // those of every VM of a small fleet.
  it.each([30, 12])('samples only while asked, of %d VMs', async size => {
    const {all, stop} = start(size);
    const watcher = all.find(item => !item.isFollower);
    watcher?.task.tell({
      kind: 'relay',
      reply: {answer: () => undefined},
    });
    await vi.advanceTimersByTimeAsync(10_000);
    expect(watcher?.database.sampled).toMatchSnapshot();
    stop();
  });
});
