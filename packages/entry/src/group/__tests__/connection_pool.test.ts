import {DeficitRoundRobinPolicy, FifoPolicy} from '@pistachiorill/core';
import type {QueuePolicy} from '@pistachiorill/core';
import {describe, expect, it} from 'vitest';
import type {BackendTask} from '../../backend/backend_task.js';
import {ConnectionPool} from '../connection_pool.js';
import type {CheckoutUse} from '../group_message.js';

/** Drives a pool with named requests and logs their outcomes. */
class PoolHarness {
  readonly log: string[] = [];
  private readonly checkedOut = new Map<string, BackendTask>();
  private readonly pool: ConnectionPool;

  constructor(newQueue: () => QueuePolicy<never>) {
    this.pool = new ConnectionPool(
      {connections: 4, slots: 2},
      newQueue as () => QueuePolicy<never>,
      () => ({usable: true, tell: () => undefined}) as unknown as BackendTask,
    );
  }

  ask(name: string, use: CheckoutUse, now: number, until = 10_000): void {
    const workspace = name.charAt(0);
    this.pool.acquire(
      {
        workspace,
        use,
        until,
        reply: {
          answer: result => {
            if (result.ok) this.checkedOut.set(name, result.value);
            this.log.push(
              `${name} ${result.ok ? 'served' : result.err.detail}`,
            );
          },
        },
      },
      now,
    );
  }

  release(name: string, now: number): void {
    this.pool.release(this.checkedOut.get(name) as BackendTask, 'reuse', now);
  }

  get transactions(): number {
    return this.pool.transactions;
  }
}

describe('ConnectionPool', () => {
  // Guards against statements that queue in the backend server, where a busy
  // workspace delays the others, and against requests that wait although they
  // cannot get a connection before their deadline.
  it.each([
    ['deficit round robin', () => new DeficitRoundRobinPolicy<never>(9)],
    ['fifo', () => new FifoPolicy<never>(9)],
  ])(
    'limits checkouts for statements to the slots: %s',
    (unusedName, newQueue) => {
      const harness = new PoolHarness(newQueue);
      for (let i = 1; i <= 4; i++) harness.ask(`a${i}`, 'statement', 0);
      harness.ask('b1', 'statement', 0);
      harness.ask('c1', 'transaction', 0);
      harness.release('a1', 100);
      harness.release('a2', 100);
      harness.ask('b2', 'statement', 100, 120);
      expect(harness.log).toMatchSnapshot();
    },
  );

  // Guards against a switchover that interrupts an open transaction, and
  // against one that waits for autocommit statements.
  it('counts the open transactions', () => {
    const harness = new PoolHarness(() => new FifoPolicy<never>(9));
    harness.ask('a1', 'statement', 0);
    harness.ask('a2', 'transaction', 0);
    harness.ask('b1', 'transaction', 0);
    const open = harness.transactions;
    harness.release('a2', 100);
    expect([open, harness.transactions]).toMatchSnapshot();
  });
});
