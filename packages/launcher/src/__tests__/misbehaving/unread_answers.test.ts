import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {
  BOUNDED,
  MeasuredVm,
  packetOf,
  queryOf,
  writeAll,
} from './measured_vm.js';

const PING = 14;
const INIT_DB = 2;
/** Time in which the members answer the whole crowd. */
const ANSWER_MS = 10_000;

describe('clients that do not read their answers', () => {
  let vm: MeasuredVm;
  beforeEach(async () => {
    vm = await MeasuredVm.start();
  });
  afterEach(() => vm.stop());

  // Guards against queries sent ahead that are all held in memory.
  it('thousands of queries on one connection', async () => {
    const crowd = await vm.loginMany(1);
    const query = queryOf(`SELECT 1 /* ${'x'.repeat(64_000)} */`);
    const queries = Array.from({length: 6_000}, () => query);
    await writeAll(crowd, queries);
    expect(await vm.finish('queries sent ahead')).toEqual(BOUNDED);
  });

  // Guards against small commands whose answers are queued without a limit.
  it('a million pings on each connection', () => sendAhead('pings', PING));

  it('a million refused commands on each connection', () =>
    sendAhead('refused commands', INIT_DB));

  async function sendAhead(name: string, command: number): Promise<void> {
    const crowd = await vm.loginMany(4);
    const packet = packetOf(command, '');
    const packets = Buffer.concat(Array.from({length: 100_000}, () => packet));
    const chunks = Array.from({length: 10}, () => packets);
    await writeAll(crowd, chunks);
    expect(await vm.finish(name)).toEqual(BOUNDED);
  }

  // Guards against large answers that are all held for clients that do not
  // read.
  it('large answers', async () => {
    const crowd = await vm.loginMany(80);
    await writeAll(crowd, [queryOf('SELECT hex(zeroblob(2000000)) AS x')]);
    await new Promise(resolve => setTimeout(resolve, ANSWER_MS));
    expect(await vm.finish('large answers')).toEqual(BOUNDED);
  });

  // Guards against answers of members that are held whole, whatever their size.
  it('answers over any expected size', async () => {
    const crowd = await vm.loginMany(10);
    for (const socket of crowd) socket.resume();
    await writeAll(crowd, [queryOf('SELECT hex(zeroblob(30000000)) AS x')]);
    await new Promise(resolve => setTimeout(resolve, ANSWER_MS));
    expect(await vm.finish('answers over the size')).toEqual(BOUNDED);
  });
});
