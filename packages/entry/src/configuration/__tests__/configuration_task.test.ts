import {documentHashOf, ok, fail} from '@pistachiorill/core';
import type {ConfigurationVersion} from '@pistachiorill/core';
import {ObjectStore, TableService} from '@pistachiorill/store';
import type {Logger} from '@pistachiorill/telemetry';
import {readFileSync} from 'node:fs';
import {afterEach, expect, it} from 'vitest';
import {ConfigurationPeers} from '../configuration_peers.js';
import {ConfigurationTask} from '../configuration_task.js';

const BODY = readFileSync(
  new URL(
    '../../../../document/src/__tests__/__fixtures__/small.ini',
    import.meta.url,
  ),
  'utf8',
);
const [ONE, TWO, THREE] = ['one', 'two', 'three'].map(
  name => `; ${name}\n${BODY}`,
) as [string, string, string];
const DOWN = {kind: 'unavailable', detail: 'down'} as const;

const NO_LOG = {
  info: () => undefined,
  error: () => undefined,
} as unknown as Logger;

class FakeTable extends TableService {
  row: ConfigurationVersion | 'down' | 'none' = 'none';

  override async read(key: string) {
    if (this.row === 'down') return fail(DOWN);
    if (this.row === 'none') return ok(undefined);
    const {version} = this.row;
    return ok({key, value: JSON.stringify(this.row), version});
  }
  override async write() {
    return fail(DOWN);
  }
  override async list() {
    return fail(DOWN);
  }
}

class FakeObjects extends ObjectStore {
  readonly bodies = new Map<string, string>();

  override async get(name: string) {
    return ok(this.bodies.get(name));
  }
  override async put() {
    return fail(DOWN);
  }
  override async list() {
    return fail(DOWN);
  }
}

class FakePeers extends ConfigurationPeers {
  known: ConfigurationVersion | undefined;
  readonly bodies = new Map<string, string>();

  override async fetchLatestVersion() {
    return this.known;
  }
  override async body(hash: string) {
    return this.bodies.get(hash);
  }
}

class FakeVm {
  readonly table = new FakeTable();
  readonly objects = new FakeObjects();
  readonly peers = new FakePeers();
  readonly applied: number[] = [];
  readonly task = new ConfigurationTask({
    environment: 'production',
    table: this.table,
    objects: this.objects,
    peers: this.peers,
    onApplied: current => this.applied.push(current.version),
    onRead: () => undefined,
    clock: () => 0,
    log: NO_LOG,
  });

  /** Stores a document and the row that refers to it. */
  store(version: number, body: string): void {
    this.table.row = {version, hash: documentHashOf(body)};
    this.objects.bodies.set(`document/${documentHashOf(body)}`, body);
  }

  /** Waits until all messages are handled; returns the applied versions. */
  async settle(): Promise<readonly number[]> {
    // The fakes answer at once, so messages are handled within one timer.
    await new Promise(resolve => setTimeout(resolve, 5));
    return [...this.applied];
  }

  async poll(): Promise<readonly number[]> {
    this.task.tell({kind: 'poll'});
    return this.settle();
  }

  async reportVersion(version: number): Promise<readonly number[]> {
    this.task.tell({kind: 'version-reported', version});
    return this.settle();
  }

  async announce(version: number, body: string, hash = documentHashOf(body)) {
    this.task.tell({kind: 'announced', document: {version, hash, body}});
    return this.settle();
  }
}

let vm: FakeVm;
afterEach(() => vm.task.stop());

// Guards against a configuration that reverts when an old row is read late.
it('applies only higher versions from the row and from operators', async () => {
  vm = new FakeVm();
  vm.store(2, TWO);
  const steps = [await vm.poll()];
  steps.push(await vm.announce(3, THREE));
  steps.push(await vm.poll());
  steps.push(await vm.announce(1, ONE));
  steps.push(await vm.announce(4, ONE, documentHashOf(TWO)));
  expect(steps).toEqual([[2], [2, 3], [2, 3], [2, 3], [2, 3]]);
});

// Guards against a VM that starts during an outage and cannot serve.
it('fetches the configuration from a peer in a store outage', async () => {
  vm = new FakeVm();
  vm.table.row = 'down';
  const steps = [await vm.poll()];
  vm.peers.known = {version: 4, hash: documentHashOf(ONE)};
  steps.push(await vm.poll());
  vm.peers.bodies.set(documentHashOf(ONE), ONE);
  steps.push(await vm.poll());
  expect(steps).toEqual([[], [], [4]]);
});

// Guards against a version that is not applied until the store recovers
// although a peer has it, and one that is dropped because its body is not
// available yet.
it('fetches a reported version from a peer', async () => {
  vm = new FakeVm();
  vm.store(1, ONE);
  const steps = [await vm.poll()];
  vm.table.row = 'down';
  steps.push(await vm.reportVersion(2));
  vm.peers.known = {version: 2, hash: documentHashOf(TWO)};
  steps.push(await vm.poll());
  vm.peers.bodies.set(documentHashOf(TWO), TWO);
  steps.push(await vm.poll());
  steps.push(await vm.reportVersion(1));
  expect(steps).toEqual([[1], [1], [1], [1, 2], [1, 2]]);
});

// Guards against a damaged or invalid document that replaces a valid one.
it('keeps the document when the next one is damaged or invalid', async () => {
  vm = new FakeVm();
  vm.store(1, ONE);
  const steps = [await vm.poll()];
  vm.store(2, TWO);
  vm.objects.bodies.set(`document/${documentHashOf(TWO)}`, 'damaged');
  vm.peers.bodies.set(documentHashOf(TWO), 'damaged too');
  steps.push(await vm.poll());
  vm.store(3, '[nonsense]');
  steps.push(await vm.poll());
  vm.store(4, THREE);
  steps.push(await vm.poll());
  expect(steps).toEqual([[1], [1], [1], [1, 4]]);
});
