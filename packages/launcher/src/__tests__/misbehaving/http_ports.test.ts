import type {Socket} from 'node:net';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {BOUNDED, DESCRIPTORS, MeasuredVm, writeAll} from './measured_vm.js';

const MIB = 1_048_576;
const CROWD = DESCRIPTORS + 100;

describe('requests to the ports of HTTP', () => {
  let vm: MeasuredVm;
  beforeEach(async () => {
    vm = await MeasuredVm.start();
  });
  afterEach(() => vm.stop());

  async function connectMany(port: number, count: number): Promise<Socket[]> {
    const sockets: Socket[] = [];
    for (let index = 0; index < count; index += 1) {
      sockets.push(await vm.connect(port));
    }
    return sockets;
  }

  function requestHead(bytes: number): Buffer {
    return Buffer.from(
      `POST /forward HTTP/1.1\r\nHost: a\r\nContent-Length: ${bytes}\r\n\r\n`,
    );
  }

  // Guards against bodies far over the size of a call that are held until
  // their end.
  it('unfinished bodies over the limit at the port of peers', async () => {
    const crowd = await connectMany(vm.peerPort, 40);
    const body = Buffer.alloc(15 * MIB, '1');
    await writeAll(crowd, [requestHead(body.length + 1), body]);
    expect(await vm.finish('unfinished bodies')).toEqual(BOUNDED);
  });

  // Guards against whole bodies, each parsed at once with the others.
  it('whole bodies over the limit at the port of peers', async () => {
    const crowd = await connectMany(vm.peerPort, 40);
    for (const socket of crowd) socket.resume();
    const body = Buffer.from(`"${'1'.repeat(15 * MIB)}"`);
    await writeAll(crowd, [requestHead(body.length), body]);
    expect(await vm.finish('whole bodies')).toEqual(BOUNDED);
  });

  // Guards against bodies of legal size that together exhaust the memory.
  it('bodies of legal size at the port of peers', async () => {
    const crowd = await connectMany(vm.peerPort, 70);
    const body = Buffer.alloc(4 * MIB, '1');
    await writeAll(crowd, [requestHead(body.length + 1), body]);
    expect(await vm.finish('bodies of legal size')).toEqual(BOUNDED);
  });

  // Guards against requests that never end and use all descriptors.
  it.each(['peerPort', 'httpPort'] as const)(
    'unfinished requests at %s',
    async port => {
      const crowd = await connectMany(vm[port], CROWD);
      await writeAll(crowd, [Buffer.from('POST /forward HTTP/1.1\r\nHost:')]);
      expect(await vm.finish(`unfinished requests ${port}`)).toEqual(BOUNDED);
    },
  );

  // Guards against requests sent ahead whose answers are not read.
  it.each([
    ['peerPort', 'POST', '/status'],
    ['httpPort', 'GET', '/metrics'],
  ] as const)(
    'thousands of requests sent ahead at %s',
    async (port, method, path) => {
      const crowd = await connectMany(vm[port], 120);
      const req = Buffer.from(
        `${method} ${path} HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n`,
      );
      const requests = Buffer.concat(Array.from({length: 500}, () => req));
      const chunks = Array.from({length: 40}, () => requests);
      await writeAll(crowd, chunks);
      expect(await vm.finish(`requests sent ahead ${port}`)).toEqual(BOUNDED);
    },
  );
});
