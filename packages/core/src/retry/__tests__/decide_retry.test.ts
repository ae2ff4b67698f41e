import {describe, expect, it} from 'vitest';
import {Random} from '../../common/random.js';
import type {RefusalKind} from '../../statement/refusal.js';
import {decideRetry} from '../decide_retry.js';
import type {Repeatability} from '../decide_retry.js';
import {
  INITIAL_RETRY_BUDGET,
  depositRetry,
  withdrawRetry,
} from '../retry_budget.js';

const REFUSALS: ReadonlyArray<Exclude<RefusalKind, 'backend-error'>> = [
  'no-member',
  'outcome-unknown',
  'overloaded',
  'rate-limited',
  'transaction-lost',
  'request-id-conflict',
];
const REPEATABILITIES: readonly Repeatability[] = [
  'repeatable',
  'recorded',
  'once',
];

function decide(
  kind: (typeof REFUSALS)[number],
  repeatability: Repeatability,
  attempts = 1,
  now = 0,
): string {
  const decision = decideRetry(
    {
      refusal: {kind, detail: ''},
      repeatability,
      attemptCount: attempts,
      deadline: 1_000,
    },
    INITIAL_RETRY_BUDGET,
    new Random(1),
    now,
  );
  return decision.kind === 'retry' ? 'retry' : decision.reason;
}

describe('decideRetry', () => {
  // Guards against running a statement twice that must run once.
  it('repeats after an unknown outcome only if a repeat is harmless', () => {
    const table = REFUSALS.flatMap(kind =>
      REPEATABILITIES.map(
        repeatability =>
          `${kind}, ${repeatability}: ${decide(kind, repeatability)}`,
      ),
    );
    expect(table).toMatchSnapshot();
  });

  // Guards against retries after the caller has stopped waiting.
  it('gives up at the deadline and after the last attempt', () => {
    expect([
      decide('no-member', 'once', 1, 1_000),
      decide('no-member', 'once', 6, 0),
    ]).toMatchSnapshot();
  });

  // Guards against retries that slow down an overloaded group further.
  it('allows one retry for ten requests', () => {
    let budget = INITIAL_RETRY_BUDGET;
    let retries = 0;
    for (let request = 0; request < 1_000; request += 1) {
      budget = depositRetry(budget);
      const remainingBudget = withdrawRetry(budget);
      if (remainingBudget) {
        budget = remainingBudget;
        retries += 1;
      }
    }
    expect(retries).toBeLessThanOrEqual(1_000 * 0.1 + 3);
    expect(retries).toMatchSnapshot();
  });
});
