import {describe, expect, it} from 'vitest';
import type {Result} from '@pistachiorill/core';
import {sleep} from '@pistachiorill/tasks';
import {FakeGroup} from '../../testing/fake_group.js';
import type {Checkout, CheckoutRefusal} from '../checkout.js';

const CONNECTION_LIMIT = 1;
const ANSWER_WITHIN_MS = 200;

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
    await group.checkOutPrimary();
    const queued = group.checkOutPrimary();
    group.close();
    const late = group.checkOutPrimary();
    expect({
      queued: await outcomeOf(queued),
      late: await outcomeOf(late),
    }).toMatchSnapshot();
  });
});
