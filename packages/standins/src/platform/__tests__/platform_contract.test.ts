import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {
  HttpObjectStore,
  HttpTableService,
  HttpVmList,
} from '@pistachiorill/store';
import type {PlatformEndpoint} from '@pistachiorill/store';
import type {Result} from '@pistachiorill/core';
import {PlatformServer} from '../platform_server.js';
import type {FaultMode} from '../platform_state.js';

const FAULTS: readonly FaultMode[] = ['none', 'outage', 'lost-answers', 'slow'];

describe('platform contract', () => {
  let platform: PlatformServer;
  let endpoint: PlatformEndpoint;
  const patient = (): PlatformEndpoint => ({...endpoint, timeoutMs: 5_000});

  beforeAll(async () => {
    const {port, server} = await PlatformServer.start('127.0.0.1', 0);
    platform = server;
    // Shorter than the delay of the fault `slow`.
    endpoint = {baseUrl: `http://127.0.0.1:${port}`, timeoutMs: 300};
  });
  afterAll(() => platform.close());

  async function setFault(mode: FaultMode): Promise<void> {
    await fetch(`${endpoint.baseUrl}/faults`, {
      method: 'POST',
      body: JSON.stringify({mode, slowMs: 1_000}),
    });
  }

  function shown(result: Result<unknown, {kind: string}>): unknown {
    return result.ok ? (result.value ?? 'done') : result.err.kind;
  }

  // Guards against a conditional write that overwrites another one.
  it('writes a row only on the version that is expected', async () => {
    const table = new HttpTableService(patient());
    expect([
      shown(await table.read('row')),
      shown(await table.write('row', 'a', 0)),
      shown(await table.write('row', 'b', 0)),
      shown(await table.write('row', 'b', 1)),
      shown(await table.read('row')),
      shown(await table.list('ro')),
    ]).toMatchSnapshot();
  });

  // Guards against a lost answer that is taken for a write that did not happen,
  // and an outage that is taken for one that may have.
  it.each(FAULTS)('tells what a write did under %s', async fault => {
    const table = new HttpTableService(endpoint);
    const objects = new HttpObjectStore(endpoint);
    await setFault(fault);
    const during = {
      write: shown(await table.write(`fault-${fault}`, 'a', 0)),
      read: shown(await table.read('row')),
      put: shown(await objects.put(`fault-${fault}`, 'body')),
      vms: shown(await new HttpVmList(endpoint).read()),
    };
    await setFault('none');
    // A slow write takes effect after its caller stopped waiting.
    if (fault === 'slow') await new Promise(r => setTimeout(r, 1_200));
    const after = shown(
      await new HttpTableService(patient()).read(`fault-${fault}`),
    );
    expect({during, after}).toMatchSnapshot();
  });
});
