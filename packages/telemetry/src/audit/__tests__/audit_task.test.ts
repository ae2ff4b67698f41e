import {fail, ok} from '@pistachiorill/core';
import {ask} from '@pistachiorill/tasks';
import {expect, it} from 'vitest';
import {AuditTask} from '../audit_task.js';
import type {AuditSink} from '../audit_task.js';

class FakeSink implements AuditSink {
  readonly objects = new Map<string, string>();
  state: 'up' | 'down' | 'answers-lost' = 'up';

  async put(name: string, body: string) {
    if (this.state !== 'down') this.objects.set(name, body);
    return this.state === 'up' ? ok(undefined) : fail('unavailable');
  }
}

async function runAuditTask(
  states: ReadonlyArray<FakeSink['state']>,
  entriesPerState: number,
) {
  const sink = new FakeSink();
  let second = 0;
  const task = new AuditTask(sink, {
    writer: 'vm-1-run',
    wallClock: () => new Date(Date.UTC(2026, 0, 1, 0, 0, (second += 1))),
    sendDelayMs: () => 60_000,
    onFault: err => {
      throw err;
    },
  });
  const left: number[] = [];
  let count = 0;
  for (const state of states) {
    sink.state = state;
    for (let index = 0; index < entriesPerState; index += 1) {
      count += 1;
      task.tell({
        kind: 'record',
        entry: {
          actor: 'ann',
          action: 'configuration-promoted',
          subject: 'configuration/production',
          before: `version ${count - 1}`,
          after: `version ${count}`,
          operationId: `op-${count}`,
        },
      });
    }
    left.push(await ask(reply => task.tell({kind: 'flush', reply})));
  }
  await task.stop();
  return {left, objects: [...sink.objects]};
}

// Guards against entries that are lost or duplicated while the store is down or
// its responses are lost, and against names that do not sort by time.
it('buffers entries until the store accepts them', async () => {
  const {left, objects} = await runAuditTask(['down', 'answers-lost', 'up'], 1);
  expect({left, objects}).toMatchSnapshot();
  const names = objects.map(([name]) => name);
  expect(names).toEqual([...names].sort());
});

// Guards against a buffer that grows without limit during an outage.
it('limits the buffer and records how many entries were dropped', async () => {
  const {left, objects} = await runAuditTask(['down', 'up'], 600);
  expect({
    left,
    stored: objects.length,
    last: objects.at(-1),
  }).toMatchSnapshot();
});
