import {describe, expect, it} from 'vitest';
import {Random} from '../../common/random.js';
import {DeficitRoundRobinPolicy} from '../deficit_round_robin_policy.js';
import {PriorityPolicy} from '../priority_policy.js';
import {EMPTY_RETURN_SCHEDULE, scheduleReturn} from '../return_schedule.js';

function entry(item: number, priority: number, workspace = 'a') {
  return {workspace, priority, deadline: 100, item};
}

describe('PriorityPolicy', () => {
  // Guards against less urgent statements that are starved or served first.
  it('serves the most urgent class, and the least urgent each eighth time', () => {
    const queue = new PriorityPolicy<number>(99);
    for (let item = 0; item < 40; item++) queue.enqueue(entry(item, item % 3));
    const ahead = [0, 1, 2].map(priority => queue.entriesAhead('b', priority));
    const served = [];
    for (let next; (next = queue.dequeue());) {
      // An entry that cannot be served keeps its turn.
      queue.requeue(next);
      const again = queue.dequeue();
      expect(again).toBe(next);
      served.push(next.priority);
    }
    expect({ahead, served: served.join('')}).toMatchSnapshot();
  });

  // Guards against another order where all routes have the same priority.
  it('serves one class in the order of the round robin', () => {
    const random = new Random(1);
    const one = new PriorityPolicy<number>(5);
    const other = new DeficitRoundRobinPolicy<number>(5);
    for (let item = 0; item < 2_000; item++) {
      const added = entry(item, 1, `w${random.integer(0, 4)}`);
      expect(one.enqueue(added)).toBe(other.enqueue(added));
      expect(one.entriesAhead('w1', 1)).toBe(other.entriesAhead('w1'));
      if (random.fraction() < 0.6) expect(one.dequeue()).toBe(other.dequeue());
    }
  });

  // Guards against an urgent statement that is refused while others wait.
  it('gives up the newest of the least urgent entries if it is full', () => {
    const queue = new PriorityPolicy<number>(3);
    const outcomes = [2, 1, 2, 0].map((priority, item) =>
      queue.enqueue(entry(item, priority)),
    );
    const removed = [0, 0, 0].map(
      priority => queue.removeLessUrgent('a', priority)?.item,
    );
    expect({outcomes, removed, left: queue.size}).toMatchSnapshot();
  });
});

describe('scheduleReturn', () => {
  // Guards against refused callers that all return at the same time, or faster
  // than they can be served.
  it('lets callers return after the wait, one after another', () => {
    const random = new Random(1);
    let schedule = EMPTY_RETURN_SCHEDULE;
    const delays = Array.from({length: 12}, (unused, index) => {
      const load = {waitMs: 180, intervalMs: 3.5};
      const next = scheduleReturn(schedule, load, random, index);
      schedule = next.schedule;
      return next.delayMs;
    });
    expect(delays).toMatchSnapshot();
  });
});
