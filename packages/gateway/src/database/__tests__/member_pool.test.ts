import {describe, expect, it} from 'vitest';
import type {MemberConnection} from '../member_connection.js';
import {MemberPool} from '../member_pool.js';

const TICK_MS = 5;

/** The connections that 100 VMs try to open at a member that refuses them. */
function attemptsAtLimit(refusesUntil: number, until: number) {
  const attempts = {refused: 0, firstAcceptedAt: -1};
  let now = 0;
  const pools = Array.from({length: 100}, () => {
    const pool: MemberPool = new MemberPool(
      {connections: 89, share: 0, statements: 4},
      () =>
        ({state: 'new', tell: () => undefined}) as unknown as MemberConnection,
    );
    const request = (): void =>
      pool.add(
        {
          workspace: 'co-op',
          priority: 1,
          values: new Map(),
          use: 'statement',
          until: Infinity,
          grant: connection => {
            Object.assign(connection, {state: 'closed'});
            pool.returnConnection(connection, now);
            if (now < refusesUntil) {
              attempts.refused++;
              pool.lowerLimit(now);
              request();
            } else if (attempts.firstAcceptedAt < 0) {
              attempts.firstAcceptedAt = now;
            }
          },
          refuse: () => undefined,
        },
        now,
      );
    request();
    return pool;
  });
  for (; now <= until; now += TICK_MS) {
    for (const pool of pools) pool.maintain(now);
  }
  return attempts;
}

describe('MemberPool at the connection limit of its member', () => {
  // Guards against a member that all VMs of a large fleet keep busy with
  // connections that it refuses, and against a wait once it accepts them again.
  it('tries less often, and soon after the member accepts again', () => {
    const {refused, firstAcceptedAt} = attemptsAtLimit(2_000, 3_000);
    expect(refused / 100).toBeLessThanOrEqual(2_000 / 100 + 3);
    expect(firstAcceptedAt).toBeLessThanOrEqual(2_000 + 100 + TICK_MS);
  });
});

describe('MemberPool with more idle connections than its share', () => {
  // Guards against the busiest workspace losing its connections first, as they
  // were opened first.
  it('closes those that have been idle for longest', () => {
    const closed: string[] = [];
    const pool = new MemberPool(
      {connections: 9, share: 1, statements: 9},
      workspace =>
        ({
          state: 'clean',
          values: new Map(),
          tell: () => closed.push(workspace),
        }) as unknown as MemberConnection,
    );
    const use = (workspace: string, now: number): void =>
      pool.add(
        {
          workspace,
          priority: 1,
          values: new Map(),
          use: 'statement',
          until: Infinity,
          grant: connection => pool.returnConnection(connection, now),
          refuse: () => undefined,
        },
        now,
      );
    use('busy', 0);
    use('quiet', 1);
    for (let now = 5; now <= 100; now += 5) use('busy', now);
    pool.maintain(120);
    expect({closed, kept: pool.hasIdle('busy')}).toEqual({
      closed: ['quiet'],
      kept: true,
    });
  });
});
