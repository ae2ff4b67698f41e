import {describe, expect, it} from 'vitest';
import {
  OPERATOR_REWRITE_MS,
  decideOperatorState,
} from '../decide_operator_state.js';

const ERA_SEEN_AT = 1_000;
const IN_TIME = ERA_SEEN_AT + OPERATOR_REWRITE_MS - 1;
const LATER = ERA_SEEN_AT + OPERATOR_REWRITE_MS;

/** The version of the newest state, its evacuations, and the time. */
const CASES: ReadonlyArray<
  readonly [string, number | undefined, readonly string[], number]
> = [
  ['an older configuration', 30, ['perry'], IN_TIME],
  ['an older configuration for long', 30, ['perry'], LATER],
  ['no configuration', undefined, [], LATER],
  ['the same configuration at once', 33, ['perry'], IN_TIME],
  ['a newer configuration at once', 36, [], IN_TIME],
  ['the same configuration after the wait', 33, ['perry'], LATER],
];

describe('decideOperatorState', () => {
  // Guards against a withdrawn key that is accepted again, and against new work
  // for a data centre out of service, because the store went back to a copy that
  // is older than the change.
  it.each(CASES)('keeps what is newer: %s', (unusedName, version, out, now) => {
    const {dataCentresOut, ...rest} = decideOperatorState(
      {configurationVersion: version, dataCentresOut: new Set(out)},
      {
        configurationVersion: 33,
        dataCentresOut: new Set(['macon']),
        eraSeenAt: ERA_SEEN_AT,
      },
      now,
    );
    expect({...rest, out: [...dataCentresOut].join()}).toMatchSnapshot();
  });
});
