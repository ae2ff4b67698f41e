import {describe, expect, it} from 'vitest';
import {Random} from '@pistachiorill/core';
import {OverloadRetries} from '../overload_retries.js';
import type {FailureCause} from '../overload_retries.js';

/** Refuses one statement until it is given up; returns what is decided. */
function refuse(
  retries: OverloadRetries,
  cause: FailureCause,
  others: boolean,
) {
  const decided: string[] = [];
  for (let refusals = 1, now = 0; ; refusals++) {
    const plan = retries.plan(
      {
        conclusion: 'retry',
        cause,
        priority: 1,
        hasOthers: others,
        refusals,
        until: 400,
      },
      now,
    );
    if (plan.kind === 'give-up') return [...decided, plan.reason];
    decided.push(`${plan.next} after ${Math.round(plan.delayMs)}`);
    now += plan.delayMs + 5;
  }
}

describe('OverloadRetries', () => {
  // Guards against a full member that is asked again and again.
  it.each([
    ['busy', false],
    ['busy', true],
    ['connection-limit', false],
    ['connection-limit', true],
  ] as const)('%s, other members: %s', (cause, others) => {
    const retries = new OverloadRetries(new Random(1), undefined);
    for (let request = 0; request < 100; request++) retries.started(1);
    expect(refuse(retries, cause, others)).toMatchSnapshot();
  });

  // Guards against retries that add to an overload, and against those of one
  // priority that use up the budget of another.
  it('retries ever less as refusals rise, by priority', () => {
    const retries = new OverloadRetries(new Random(1), undefined);
    const plan = (priority: number, until: number): string => {
      retries.started(priority);
      const failed = {conclusion: 'retry', cause: 'busy'} as const;
      const rest = {priority, hasOthers: true, refusals: 1, until};
      return retries.plan({...failed, ...rest}, 0).kind;
    };
    const first = Array.from({length: 30}, () => plan(2, 100));
    const retried = first.filter(kind => kind === 'retry').length;
    expect({retried, other: plan(0, 100)}).toMatchSnapshot();
  });
});
