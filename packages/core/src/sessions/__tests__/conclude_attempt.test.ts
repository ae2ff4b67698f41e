import {describe, expect, it} from 'vitest';
import {concludeAttempt} from '../conclude_attempt.js';
import type {
  AttemptFailure,
  AttemptScope,
  StatementEffect,
} from '../conclude_attempt.js';

const EFFECTS: readonly StatementEffect[] = [
  'read',
  'write',
  'write-in-transaction',
  'commit',
];
const SCOPES: readonly AttemptScope[] = ['first', 'pinned'];
const FAILURES: readonly AttemptFailure[] = [
  'not-sent',
  'refused',
  'behind',
  'not-primary',
  'wrong-member',
  'failed',
  'timed-out',
  'no-answer',
];

describe('concludeAttempt', () => {
  // Guards against a promise that nothing is kept for a write or a commit that
  // may have taken effect, and against a second try of one.
  it('concludes every combination', () => {
    const table = EFFECTS.flatMap(effect =>
      SCOPES.flatMap(scope =>
        FAILURES.map(
          failure =>
            `${effect}, ${scope}, ${failure}: ` +
            concludeAttempt(effect, scope, failure),
        ),
      ),
    );
    expect(table).toMatchSnapshot();
  });

  // Guards the rule itself, whatever the snapshot says.
  it('never repeats or denies what may have taken effect', () => {
    for (const scope of SCOPES) {
      for (const effect of ['write', 'commit'] as const) {
        for (const failure of ['no-answer', 'timed-out'] as const) {
          expect(concludeAttempt(effect, scope, failure)).toBe('unknown');
        }
      }
    }
  });
});
