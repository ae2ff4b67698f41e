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
  // Guards against a retry, or a report of no effect, of a write or a commit
  // that may have taken effect.
  it('decides every combination of effect, scope and failure', () => {
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

  // Checks the rule itself, independently of the snapshot.
  it('reports an unknown outcome for an unanswered write or commit', () => {
    for (const scope of SCOPES) {
      for (const effect of ['write', 'commit'] as const) {
        for (const failure of ['no-answer', 'timed-out'] as const) {
          expect(concludeAttempt(effect, scope, failure)).toBe('unknown');
        }
      }
    }
  });
});
