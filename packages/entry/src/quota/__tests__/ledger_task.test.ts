import {Random, fail, ok, parseLedger} from '@pistachiorill/core';
import {TableService} from '@pistachiorill/store';
import type {Row} from '@pistachiorill/store';
import {ask} from '@pistachiorill/tasks';
import type {Logger} from '@pistachiorill/telemetry';
import {afterEach, expect, it} from 'vitest';
import {LedgerPeers} from '../ledger_peers.js';
import {LedgerTask} from '../ledger_task.js';
import type {LedgerMessage} from '../ledger_task.js';
import type {QuotaTaskMessage} from '../quota_message.js';
import type {QuotaTask} from '../quota_task.js';

class FakeTable extends TableService {
  row: Row | undefined;
  /** Applies the last write whose answer was lost. */
  applyLostWrite: (() => void) | undefined;
  answers: 'given' | 'lost' = 'given';
  state: 'up' | 'down' = 'up';

  override read = async () =>
    this.state === 'up'
      ? ok(this.row)
      : fail({kind: 'unavailable' as const, detail: 'down'});
  override list = async () => ok([]);
  override write = async (key: string, value: string, expected: number) => {
    const {row} = this;
    if ((row?.version ?? 0) !== expected) {
      return fail({kind: 'conflict' as const, current: row});
    }
    const written = {key, value, version: expected + 1};
    if (this.answers === 'lost') {
      this.applyLostWrite = () => (this.row = written);
      return fail({kind: 'unknown-outcome' as const, detail: 'lost'});
    }
    this.row = written;
    return ok(written);
  };
}

const tasks: LedgerTask[] = [];
afterEach(() => Promise.all(tasks.splice(0).map(task => task.stop())));

class FakePeers extends LedgerPeers {
  row: Row | undefined;

  override fetchRow = async () => this.row;
}

class FakeVm {
  sharePpm = 0;
  now = 0;
  activity: 'idle' | 'busy' = 'idle';
  lentPpm = 0;
  readonly peers = new FakePeers();
  readonly applied: number[] = [];
  readonly audited: string[] = [];
  readonly task: LedgerTask;

  constructor(name: string, table: FakeTable) {
    this.task = new LedgerTask({
      self: {vm: name, dataCentre: 'a', address: name, instance: name},
      key: 'ledger',
      table,
      quota: {
        tell: (message: QuotaTaskMessage) => this.receive(message),
      } as unknown as QuotaTask,
      peers: this.peers,
      activity: () => this.activity,
      onApplied: members => this.applied.push(members.version),
      record: ({action, subject, before, after}) =>
        this.audited.push(`${action} ${subject}: ${before} -> ${after}`),
      random: new Random(1),
      clock: () => this.now,
      log: {info: () => undefined, error: () => undefined} as unknown as Logger,
    });
    tasks.push(this.task);
  }

  /** Polls, waits until the poll is handled and returns the share in use. */
  async poll(): Promise<number> {
    return this.tell({kind: 'poll'});
  }

  async tell(message: LedgerMessage): Promise<number> {
    this.task.tell(message);
    await new Promise(resolve => setTimeout(resolve, 5));
    return this.sharePpm;
  }

  private receive(message: QuotaTaskMessage): void {
    if (message.kind === 'share') this.sharePpm = message.sharePpm;
    if (message.kind === 'lower-share') {
      this.sharePpm = Math.max(message.toPpm, this.lentPpm);
      message.reply.answer(this.sharePpm);
    }
  }
}

// Guards against a VM that resumes using a share that it gave up in a write
// without an answer: the write can still take effect and free the share for
// another VM.
it('keeps a lowered share out of use until the row has changed', async () => {
  const table = new FakeTable();
  const [a, b] = [new FakeVm('a', table), new FakeVm('b', table)];
  const alone = await a.poll();
  const joining = await b.poll();
  table.answers = 'lost';
  const lowered = await a.poll();
  const readAgain = await a.poll();
  table.applyLostWrite?.();
  table.answers = 'given';
  const grown = await b.poll();
  const after = await a.poll();
  await ask<void>(reply => a.task.tell({kind: 'leave', reply}));
  const left = parseLedger(table.row?.value ?? '').entries.map(e => e.vm);
  expect({
    alone,
    joining,
    lowered,
    readAgain,
    grown,
    after,
    left,
  }).toMatchSnapshot();
});

// Guards against a VM that becomes unconfirmed because it cannot read the store
// when peers report a newer version, and against applying outdated content.
it('fetches a reported version from a peer in a store outage', async () => {
  const table = new FakeTable();
  const [a, b] = [new FakeVm('a', table), new FakeVm('b', table)];
  await a.poll();
  const old = table.row;
  await b.poll();
  const newer = table.row;
  table.state = 'down';
  const beforeReport = await a.poll();
  a.peers.row = old;
  await a.tell({kind: 'version-reported', version: 2});
  const fromBehind = [...a.applied];
  a.peers.row = newer && {...newer, value: 'damaged'};
  await a.poll();
  a.peers.row = newer;
  const share = await a.poll();
  a.peers.row = old;
  await a.tell({kind: 'version-reported', version: 3});
  expect({beforeReport, fromBehind, share, applied: a.applied}).toEqual({
    beforeReport: 1_000_000,
    fromBehind: [0, 1],
    share: 1_000_000,
    applied: [0, 1, 2],
  });
});

// Guards against a share change that is not audited because the answer of its
// write was lost, and against one that is audited twice.
it('audits joins, reclaims and returns, also if answers are lost', async () => {
  const table = new FakeTable();
  const [a, b] = [new FakeVm('a', table), new FakeVm('b', table)];
  table.answers = 'lost';
  await a.poll();
  table.applyLostWrite?.();
  table.answers = 'given';
  await a.poll();
  await b.poll();
  const applied = new Map([['a', 99]]);
  a.task.tell({kind: 'reclaim-mode', mode: 'allowed'});
  for (const now of [0, 10_000, 10_500, 20_000]) {
    a.now = now;
    const down = ['b'];
    a.task.tell({kind: 'peers', down, appliedLedgers: applied});
    await a.poll();
    applied.set('b', 99);
  }
  await ask<void>(reply => a.task.tell({kind: 'leave', reply}));
  expect({a: a.audited, b: b.audited}).toMatchSnapshot();
});

// Guards against a drained VM that keeps a share which others could use, one
// that returns it while its work or a loan needs it, and one that does not get
// a share again when its data centre returns.
it('returns the share when drained and joins again when serving', async () => {
  const table = new FakeTable();
  const vm = new FakeVm('a', table);
  const holders = (): number =>
    parseLedger(table.row?.value ?? '{"entries":[]}').entries.length;
  const steps: Array<readonly [string, number, number]> = [];
  const poll = async (step: string): Promise<void> => {
    steps.push([step, await vm.poll(), holders()]);
  };
  await poll('serving');
  vm.activity = 'busy';
  vm.task.tell({kind: 'lifecycle', lifecycle: 'draining'});
  await poll('draining, busy');
  vm.activity = 'idle';
  vm.lentPpm = 400_000;
  await poll('idle, lent');
  vm.lentPpm = 0;
  await poll('idle');
  await poll('drained');
  vm.task.tell({kind: 'lifecycle', lifecycle: 'serving'});
  await poll('serving again');
  vm.task.tell({kind: 'lifecycle', lifecycle: 'draining'});
  table.answers = 'lost';
  await poll('return without an answer');
  table.answers = 'given';
  vm.task.tell({kind: 'lifecycle', lifecycle: 'serving'});
  await poll('serving before the return takes effect');
  await poll('serving after it cannot');
  expect({steps, audited: vm.audited}).toMatchSnapshot();
});

// Guards against a second reclaim from the same VM instance that skips the wait
// because the first reclaim had waited.
it('waits again in a second reclaim from the same instance', async () => {
  const table = new FakeTable();
  const [a, b] = [new FakeVm('a', table), new FakeVm('b', table)];
  await a.poll();
  a.task.tell({kind: 'reclaim-mode', mode: 'allowed'});
  const appliedLedgers = new Map([
    ['a', 99],
    ['b', 99],
  ]);
  const states: string[][] = [];
  for (const start of [0, 100_000]) {
    await b.poll();
    a.task.tell({kind: 'peers', down: [], appliedLedgers});
    await a.poll();
    for (const after of [0, 10_000, 10_100, 10_200, 20_000]) {
      a.now = start + after;
      a.task.tell({kind: 'peers', down: ['b'], appliedLedgers});
      await a.poll();
      const {entries} = parseLedger(table.row?.value ?? '');
      states.push(entries.map(({vm, state}) => `${after}: ${vm} ${state}`));
    }
  }
  expect(states.slice(5)).toEqual(states.slice(0, 5));
});
