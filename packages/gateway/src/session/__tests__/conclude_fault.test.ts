import {describe, expect, it} from 'vitest';
import {concludeFault} from '../conclude_fault.js';

describe('concludeFault', () => {
  // Guards against a write that is reported as failed although it took effect,
  // because the member's answer was too large to be kept.
  it('treats a large answer as lost unless the statement only read', () => {
    const effects = [
      'read',
      'write',
      'write-in-transaction',
      'commit',
    ] as const;
    const concluded = effects.flatMap(effect =>
      (['first', 'pinned'] as const).map(scope => {
        const {conclusion, refusal} = concludeFault(effect, scope, {
          failure: 'failed',
          detail: 'the answer is too large',
          answer: 'too-large',
        });
        return `${effect}, ${scope}: ${conclusion}, ${refusal.kind}`;
      }),
    );
    expect(concluded).toMatchSnapshot();
  });
});
