import {describe, expect, it} from 'vitest';
import {DeficitRoundRobinPolicy} from '../deficit_round_robin_policy.js';
import {FifoPolicy} from '../fifo_policy.js';
import type {QueuePolicy} from '../queue_policy.js';

const POLICIES: ReadonlyArray<readonly [string, () => QueuePolicy<number>]> = [
  ['deficit round robin', () => new DeficitRoundRobinPolicy<number>(5)],
  ['fifo', () => new FifoPolicy<number>(9)],
];

describe('QueuePolicy', () => {
  // Guards against a workspace that waits behind all statements of another,
  // and against entries that are lost or served after their deadline.
  it.each(POLICIES)(
    '%s serves entries in its order and removes expired ones',
    (unusedName, create) => {
      const queue = create();
      const arrivals = ['a', 'a', 'a', 'a', 'a', 'a', 'b', 'c', 'b', 'c'];
      const outcomes = arrivals.map((workspace, item) =>
        queue.enqueue({workspace, deadline: item === 2 ? 5 : 100, item}),
      );
      const ahead = ['a', 'b', 'd'].map(name => queue.entriesAhead(name));
      const expired = queue.removeExpired(10).map(entry => entry.item);
      const served = [];
      for (let next; (next = queue.dequeue());) {
        served.push(`${next.workspace}${next.item}`);
      }
      const left = queue.size;
      expect({outcomes, ahead, expired, served, left}).toMatchSnapshot();
    },
  );
});
