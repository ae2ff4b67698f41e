import {describe, expect, it} from 'vitest';
import type {Result} from '@pistachiorill/core';
import {ask, sleep} from '@pistachiorill/tasks';
import {FakeGroup} from '../../testing/fake_group.js';
import type {Checkout, CheckoutRefusal} from '../checkout.js';

const CONNECTION_LIMIT = 1;
/** Longer than the test, so that no request is refused for its wait. */
const WAIT_MS = 10_000;
const ANSWER_WITHIN_MS = 200;

function checkOut(
  group: FakeGroup,
): Promise<Result<Checkout, CheckoutRefusal>> {
  return ask(reply =>
    group.task.tell({
      kind: 'check-out',
      request: {
        workspace: 'growers',
        values: new Map(),
        use: 'transaction',
        requirement: {kind: 'primary'},
        excluded: [],
        regions: [],
        until: performance.now() + WAIT_MS,
      },
      reply,
    }),
  );
}

async function outcomeOf(
  checkout: Promise<Result<Checkout, CheckoutRefusal>>,
): Promise<string> {
  const result = await Promise.race([checkout, sleep(ANSWER_WITHIN_MS)]);
  if (!result) return 'no answer';
  return result.ok ? `granted: ${result.value.member}` : result.err.kind;
}

describe('DatabaseTask', () => {
  // Guards against a statement that starts while its VM exits, and is cut off.
  it('grants no connection once it is closed', async () => {
    const group = new FakeGroup(CONNECTION_LIMIT);
    await checkOut(group);
    const queued = checkOut(group);
    group.close();
    const late = checkOut(group);
    expect({
      queued: await outcomeOf(queued),
      late: await outcomeOf(late),
    }).toMatchSnapshot();
  });
});
