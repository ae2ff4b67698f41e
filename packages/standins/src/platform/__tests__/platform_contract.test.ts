import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {
  HttpObjectStore,
  HttpTableService,
  HttpVmList,
} from '@pistachiorill/store';
import type {PlatformEndpoint} from '@pistachiorill/store';
import type {Result} from '@pistachiorill/core';
import {PlatformServer} from '../platform_server.js';
import type {PlatformFaultMode} from '../platform_state.js';

const FAULTS: readonly PlatformFaultMode[] = [
  'none',
  'outage',
  'lost-answers',
  'slow',
];

describe('platform contract', () => {
  let platform: PlatformServer;
  let endpoint: PlatformEndpoint;
  const patient = (): PlatformEndpoint => ({...endpoint, timeoutMs: 5_000});

  beforeAll(async () => {
    const {port, server} = await PlatformServer.start('127.0.0.1', 0);
    platform = server;
    // The timeout is shorter than the delay of the fault `slow`.
    endpoint = {baseUrl: `http://127.0.0.1:${port}`, timeoutMs: 300};
  });
  afterAll(() => platform.close());

  async function setFault(mode: PlatformFaultMode): Promise<void> {
    await fetch(`${endpoint.baseUrl}/faults`, {
      method: 'POST',
      body: JSON.stringify({mode, slowMs: 1_000}),
    });
  }

  function outcomeOf(result: Result<unknown, {kind: string}>): unknown {
    return result.ok ? (result.value ?? 'done') : result.err.kind;
  }

  // Guards against a conditional write that overwrites a concurrent one.
  it('writes a row only if its version matches', async () => {
    const table = new HttpTableService(patient());
    expect([
      outcomeOf(await table.read('row')),
      outcomeOf(await table.write('row', 'a', 0)),
      outcomeOf(await table.write('row', 'b', 0)),
      outcomeOf(await table.write('row', 'b', 1)),
      outcomeOf(await table.read('row')),
      outcomeOf(await table.list('ro')),
    ]).toMatchSnapshot();
  });

  // Guards against a lost response that is reported as a write that was not
  // executed, and an outage that is reported as one that may have been.
  it.each(FAULTS)('reports the outcome of a write under %s', async fault => {
    const table = new HttpTableService(endpoint);
    const objects = new HttpObjectStore(endpoint);
    await setFault(fault);
    const during = {
      write: outcomeOf(await table.write(`fault-${fault}`, 'a', 0)),
      read: outcomeOf(await table.read('row')),
      put: outcomeOf(await objects.put(`fault-${fault}`, 'body')),
      vms: outcomeOf(await new HttpVmList(endpoint).read()),
    };
    await setFault('none');
    // A slow write is executed after its caller has timed out.
    if (fault === 'slow') await new Promise(r => setTimeout(r, 1_200));
    const after = outcomeOf(
      await new HttpTableService(patient()).read(`fault-${fault}`),
    );
    expect({during, after}).toMatchSnapshot();
  });
});
