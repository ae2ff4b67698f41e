import {createServer} from 'node:http';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';
import {HttpVmList} from '../http_vm_list.js';

let server: Server | undefined;
afterEach(() => server?.close());

/** Reads the list from a platform that answers with this body. */
async function readList(body: string) {
  const listening = createServer((unusedReq, res) => res.end(body));
  server = listening;
  await new Promise<void>(resolve => {
    listening.listen(0, '127.0.0.1', resolve);
  });
  const {port} = listening.address() as AddressInfo;
  const baseUrl = `http://127.0.0.1:${port}`;
  const list = new HttpVmList({baseUrl, timeoutMs: 1_000});
  const result = await list.read();
  return result.ok ? result.value.map(item => item.vm) : result.err;
}

const VM = {
  vm: 'vm-a',
  dataCentre: 'macon',
  address: '10.0.0.1:7000',
  state: 'live',
};

describe('HttpVmList', () => {
  // Guards against a VM that ends, or no longer follows the list, because of
  // one odd entry of another writer.
  it.each([
    ['port out of range', JSON.stringify([{...VM, address: '10.0.0.2:70000'}])],
    ['nested', `[${'['.repeat(10_000)}${']'.repeat(10_000)}]`],
    ['unknown state', JSON.stringify([{...VM, state: 'asleep'}])],
    ['null', '[null]'],
    ['number', '[1e999]'],
  ])('leaves out only the odd entry: %s', async (unusedName, odd) => {
    const body = `[${JSON.stringify(VM)},${odd.slice(1, -1)}]`;
    expect(await readList(body)).toEqual(['vm-a']);
  });

  // Guards against an exception, which ends the process, in place of an error.
  it.each(['', '{}', '[', '7'])(
    'reports the body %j as unreadable',
    async body => {
      expect(await readList(body)).toMatchSnapshot();
    },
  );
});
