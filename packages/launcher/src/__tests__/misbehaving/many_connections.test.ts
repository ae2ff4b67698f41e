import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {
  BOUNDED,
  DESCRIPTORS,
  MeasuredVm,
  packetOf,
  queryOf,
  writeAll,
} from './measured_vm.js';

const CROWD = DESCRIPTORS + 100;

describe('clients with many connections', () => {
  let vm: MeasuredVm;
  beforeEach(async () => {
    vm = await MeasuredVm.start();
  });
  afterEach(() => vm.stop());

  // Guards against connections that never log in and use all descriptors.
  it('without a login', async () => {
    for (let index = 0; index < CROWD; index += 1) {
      await vm.connect(vm.clientPort);
    }
    expect(await vm.finish('no login')).toEqual(BOUNDED);
  });

  // Guards against logins that stop half-way.
  it('with half a login', async () => {
    const login = packetOf(0, 'x'.repeat(80));
    for (let index = 0; index < CROWD; index += 1) {
      const socket = await vm.connect(vm.clientPort);
      socket.write(login.subarray(0, 40));
    }
    expect(await vm.finish('half a login')).toEqual(BOUNDED);
  });

  // Guards against a malformed login that ends the process.
  it('with a malformed login', async () => {
    for (let size = 0; size < 64; size += 1) {
      const socket = await vm.connect(vm.clientPort);
      const login = packetOf(0xff, '\xff'.repeat(size));
      login[3] = 1;
      socket.write(login);
    }
    expect(await vm.finish('malformed login')).toEqual(BOUNDED);
  });

  // Guards against idle clients that use all descriptors.
  it('that stay idle', async () => {
    await vm.loginMany(CROWD);
    expect(await vm.finish('idle clients')).toEqual(BOUNDED);
  });

  // Guards against packets that stop half-way and hold their connection.
  it('that stop within a packet', async () => {
    const crowd = await vm.loginMany(CROWD);
    const query = queryOf(`SELECT 1 /* ${'x'.repeat(1_000)} */`);
    await writeAll(crowd, [query.subarray(0, 500)]);
    expect(await vm.finish('half a packet')).toEqual(BOUNDED);
  });

  // Guards against transactions that stop half-way and hold the few connections
  // to the primary.
  it('that stop within a transaction', async () => {
    await vm.answerOf('CREATE TABLE lot (id INTEGER PRIMARY KEY)');
    const crowd = await vm.loginMany(40);
    for (const [index, socket] of crowd.entries()) {
      const insert = `INSERT INTO lot VALUES (${index})`;
      socket.write(Buffer.concat([queryOf('BEGIN'), queryOf(insert)]));
    }
    await new Promise(resolve => setTimeout(resolve, 2_000));
    expect(await vm.finish('half a transaction')).toEqual(BOUNDED);
  });
});
