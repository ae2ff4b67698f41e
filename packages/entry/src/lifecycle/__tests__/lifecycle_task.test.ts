import type {Configuration, ServiceState} from '@pistachiorill/core';
import type {ListedVmState} from '@pistachiorill/store';
import {expect, it} from 'vitest';
import {LifecycleTask} from '../lifecycle_task.js';

function configured(state: ServiceState) {
  const configuration = {
    dataCentres: [{name: 'a', region: 'r', state}],
  } as unknown as Configuration;
  return {kind: 'configured', configuration} as const;
}

function listed(vm: string, state: ListedVmState) {
  const vms = [{vm, dataCentre: 'a', address: 'a:1', state}];
  return {kind: 'listed', vms} as const;
}

// Guards against a VM that serves while a drain reason remains, and against one
// that does not serve again when the last reason has ended.
it('reports each change of the drain reasons once', async () => {
  const changes: string[] = [];
  const task = new LifecycleTask({
    vm: 'a-1',
    dataCentre: 'a',
    onChanged: (reasons, before) =>
      changes.push(`${before.join(' ')} -> ${reasons.join(' ')}`),
    onFault: err => {
      throw err;
    },
  });
  for (const message of [
    configured('in-service'),
    listed('a-1', 'live'),
    listed('a-1', 'leaving'),
    listed('a-1', 'leaving'),
    configured('out'),
    listed('another', 'live'),
    configured('in-service'),
    {kind: 'stop-requested'} as const,
  ]) {
    task.tell(message);
  }
  await task.stop();
  expect(changes).toMatchSnapshot();
});
