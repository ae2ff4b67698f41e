import {setImmediate as nextTurn} from 'node:timers/promises';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {
  BOUNDED,
  MeasuredVm,
  packetOf,
  queryOf,
  writeAll,
} from './measured_vm.js';

const MIB = 1_048_576;
/** The largest packet of the protocol, after which another one continues. */
const CHAINED_BYTES = 0xffffff;

describe('clients with many or large messages', () => {
  let vm: MeasuredVm;
  beforeEach(async () => {
    vm = await MeasuredVm.start();
  });
  afterEach(() => vm.stop());

  // Guards against messages of legal size that together exhaust the memory.
  it('whole messages of legal size', async () => {
    const crowd = await vm.loginMany(120);
    for (const socket of crowd) socket.resume();
    const query = queryOf(`SELECT 1 /* ${'x'.repeat(MIB - 64)} */`);
    await writeAll(crowd, [query, query, query, query]);
    expect(await vm.finish('whole messages')).toEqual(BOUNDED);
  });

  // Guards against messages of legal size that stay unfinished.
  it('unfinished messages of legal size', async () => {
    const crowd = await vm.loginMany(240);
    const query = queryOf(`SELECT 1 /* ${'x'.repeat(MIB - 64)} */`);
    for (const part of [0, 1, 2, 3]) {
      const size = Math.floor((query.length - 1) / 4);
      await writeAll(crowd, [query.subarray(part * size, (part + 1) * size)]);
    }
    expect(await vm.finish('unfinished messages')).toEqual(BOUNDED);
  });

  // Guards against a cost for each piece that exceeds the message's size.
  it('messages of legal size in pieces of one byte', async () => {
    const crowd = await vm.loginMany(40);
    const query = queryOf(`SELECT 1 /* ${'x'.repeat(MIB - 64)} */`);
    for (let at = 0; at < 12_000; at += 1) {
      const piece = query.subarray(at, at + 1);
      for (const socket of crowd) if (socket.writable) socket.write(piece);
      await nextTurn();
    }
    expect(await vm.finish('pieces of one byte')).toEqual(BOUNDED);
  });

  // Guards against a statement whose parts need far more memory than its text.
  it('messages of legal size with half a million words', async () => {
    const crowd = await vm.loginMany(12);
    for (const socket of crowd) socket.resume();
    // Refused by the VM, so that the measurement includes no work of members.
    const query = queryOf(`SELECT ${'1,'.repeat(MIB / 2 - 16)}1;1`);
    await writeAll(crowd, [query, query]);
    expect(await vm.finish('many words')).toEqual(BOUNDED);
  });

  // Guards against messages over the limit that are held until their end.
  it('messages over the limit with an end', async () => {
    const crowd = await vm.loginMany(40);
    for (const socket of crowd) socket.resume();
    const query = queryOf(`SELECT 1 /* ${'x'.repeat(15 * MIB)} */`);
    await writeAll(crowd, [query, query]);
    expect(await vm.finish('over the limit, ended')).toEqual(BOUNDED);
  });

  // Guards against packets chained without an end.
  it('messages over the limit without an end', async () => {
    const crowd = await vm.loginMany(40);
    const packet = Buffer.concat([
      Buffer.of(0xff, 0xff, 0xff, 0),
      Buffer.alloc(CHAINED_BYTES, 3),
    ]);
    await writeAll(crowd, [packet.subarray(0, 15 * MIB)]);
    await writeAll(crowd, [packet.subarray(15 * MIB), packet, packet]);
    expect(await vm.finish('over the limit, no end')).toEqual(BOUNDED);
  });

  // Guards against a login of the size of a statement, sent by many.
  it('logins over the limit', async () => {
    const crowd = [];
    for (let index = 0; index < 40; index += 1) {
      crowd.push(await vm.connect(vm.clientPort));
    }
    await writeAll(crowd, [packetOf(0, 'x'.repeat(15 * MIB)).subarray(0, -1)]);
    expect(await vm.finish('logins over the limit')).toEqual(BOUNDED);
  });
});
