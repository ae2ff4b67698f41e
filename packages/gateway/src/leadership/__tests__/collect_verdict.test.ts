import {Random, fail, ok, selectObservers} from '@pistachiorill/core';
import type {PrimaryObservation} from '@pistachiorill/core';
import {afterEach, describe, expect, it} from 'vitest';
import {EMPTY_FLEET_VIEW} from '../../fleet/fleet_view.js';
import type {FleetView} from '../../fleet/fleet_view.js';
import {PeerSet} from '../../peers/peer_set.js';
import {fleetOf} from '../../testing/fake_fleet_peers.js';
import {FakeGroup, silentLogger} from '../../testing/fake_group.js';
import {collectVerdict} from '../collect_verdict.js';

/** Peers that all have the same observation, some of which do not answer. */
class FakePeers extends PeerSet {
  readonly silent = new Set<string>();
  observation: PrimaryObservation = 'unreachable';
  asked = 0;

  constructor(vms: readonly string[]) {
    super(new Random(1));
    this.update(vms.map(vm => ({vm, address: '127.0.0.1:1'})));
  }

  override async sight(vm: string) {
    this.asked++;
    if (!this.silent.has(vm)) return ok(this.observation);
    return fail({kind: 'no-answer' as const, detail: 'silent'});
  }
}

let group: FakeGroup | undefined;
afterEach(() => group?.close());

function start(size: number) {
  const dataCentreByVm = fleetOf(size);
  const peers = new FakePeers([...dataCentreByVm.keys()].slice(1));
  const vms = new Map(
    [...dataCentreByVm].map(([vm, dataCentre]) => [
      vm,
      {version: 1, value: {peers: 'x:1', dataCentre, incarnation: vm}},
    ]),
  );
  const rows = {...EMPTY_FLEET_VIEW.rows, vms};
  const view = (): FleetView => ({...EMPTY_FLEET_VIEW, rows});
  const fake = new FakeGroup();
  group = fake;
  fake.member('a').mode = 'silent';
  const collect = () =>
    collectVerdict('wash', 'a', fake.task, {view, peers, log: silentLogger()});
  return {peers, collect, observers: selectObservers(dataCentreByVm)};
}

describe('collectVerdict', () => {
  // Guards against hundreds of status queries that stop an overloaded primary.
  it.each([8, 200])('asks few of %d VMs', async size => {
    const {peers, collect} = start(size);
    expect({verdict: await collect(), asked: peers.asked}).toMatchSnapshot();
  });

  // Guards against a primary that is replaced although most VMs reach it.
  it('keeps a primary that the observers reach', async () => {
    const {peers, collect} = start(200);
    peers.observation = 'reachable';
    expect(await collect()).toBe('keep');
  });

  // Guards against a failed primary that stays because the observers are cut
  // off, and against observers that are cut off with this VM.
  it('asks all VMs if most observers do not answer', async () => {
    const {peers, collect, observers} = start(200);
    for (const vm of observers) peers.silent.add(vm);
    const whole = await collect();
    for (const vm of peers.names) peers.silent.add(vm);
    expect({whole, alone: await collect()}).toMatchSnapshot();
  });
});
