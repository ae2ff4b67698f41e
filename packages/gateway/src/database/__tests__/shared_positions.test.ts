import {sleep, ask} from '@pistachiorill/tasks';
import {afterEach, describe, expect, it} from 'vitest';
import type {Result} from '@pistachiorill/core';
import {FakeGroup} from '../../testing/fake_group.js';
import type {Checkout, CheckoutRefusal} from '../checkout.js';

let group: FakeGroup | undefined;
afterEach(() => group?.close());

/** Checks out a connection for a read; returns the role of its member. */
async function readRole({task}: FakeGroup): Promise<string> {
  const result = await ask<Result<Checkout, CheckoutRefusal>>(reply =>
    task.tell({
      kind: 'check-out',
      request: {
        workspace: 'co-op',
        priority: 1,
        values: new Map(),
        use: 'statement',
        requirement: {kind: 'recent', maxAgeMs: 1_500, seen: undefined},
        excluded: [],
        regions: [],
        until: performance.now() + 500,
      },
      reply,
    }),
  );
  return result.ok ? result.value.role : result.err.kind;
}

function start(positionSource: FakeGroup['positionSource']): FakeGroup {
  const started = new FakeGroup();
  started.positionSource = positionSource;
  group = started;
  return started;
}

const end = {term: 1, position: 1};

describe('DatabaseTask with positions of another VM', () => {
  // Guards against reads that all go to the primary, because a VM of a large
  // fleet rarely sends it a statement and so has no recent position.
  it('reads at a replica once a peer sent a position', async () => {
    const fake = start('requested');
    const role = readRole(fake);
    await sleep(10);
    const askedAt = performance.now();
    fake.task.tell({kind: 'positions', samples: [{askedAt, end}]});
    expect({
      first: await role,
      next: await readRole(fake),
      requests: fake.positionRequests,
    }).toMatchSnapshot();
  });

  // Guards against a read that waits for positions that do not come.
  it.each([
    ['the peer has none', 'requested'],
    ['no VM samples the primary', 'not-sampled'],
  ] as const)('reads at the primary if %s', async (unusedName, source) => {
    const fake = start(source);
    const role = readRole(fake);
    await sleep(10);
    fake.task.tell({kind: 'positions', samples: []});
    expect(await role).toBe('primary');
  });

  // Guards against a watcher that occupies slots of the primary, or that opens a
  // connection for each sample.
  it('samples the primary over one connection without a slot', async () => {
    const fake = start('not-sampled');
    for (let sample = 0; sample < 3; sample++) {
      fake.task.tell({kind: 'sample-primary'});
      await sleep(20);
    }
    expect(fake.member('a').requests).toMatchSnapshot();
    expect(await readRole(fake)).toBe('replica');
  });
});
