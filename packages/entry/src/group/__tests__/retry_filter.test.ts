import {DEFAULT_ROUTE, fail} from '@pistachiorill/core';
import type {Refusal, RoutedStatement} from '@pistachiorill/core';
import type {Pipeline} from '@pistachiorill/tasks';
import {describe, expect, it} from 'vitest';
import type {GroupMessage} from '../group_message.js';
import type {GroupTask} from '../group_task.js';
import {RetryFilter} from '../retry_filter.js';

const UNKNOWN: Refusal = {kind: 'outcome-unknown', detail: 'no answer'};
const NOT_RUN: Refusal = {kind: 'no-member', detail: 'no primary'};
const OVERLOADED: Refusal = {kind: 'overloaded', detail: 'no connection'};
const FAILED: Refusal = {
  kind: 'backend-error',
  errno: 1205,
  sqlState: 'HY000',
  detail: 'lock wait timeout',
};

/** Runs attempts that fail with the given refusals and stops after the last. */
async function outcomeOf(
  refusals: readonly Refusal[],
  changesData: boolean,
): Promise<unknown> {
  const rest = [...refusals];
  const attempt = {run: async () => fail(rest.shift() ?? NOT_RUN)};
  const group = {
    tell(message: GroupMessage): void {
      if (message.kind !== 'attempt-failed') return;
      message.reply.answer(
        rest.length > 0
          ? {kind: 'retry', delayMs: 0, budget: {tokens: 1, at: 0} as never}
          : {kind: 'give-up', reason: 'budget'},
      );
    },
  };
  const filter = new RetryFilter(
    group as unknown as GroupTask,
    attempt as unknown as Pipeline<RoutedStatement, never, Refusal>,
    () => 0,
  );
  const statement = {
    route: DEFAULT_ROUTE,
    options: {requestId: 'r'},
    changesData,
    deadline: 1_000,
  } as unknown as RoutedStatement;
  const result = await filter.run(statement);
  return result.ok ? 'ok' : result.err.kind;
}

// Guards against reporting a write as "not run" or "failed" although an earlier
// attempt of it may have taken effect.
describe('RetryFilter', () => {
  it.each([
    ['refused once', [NOT_RUN], true],
    ['refused twice', [NOT_RUN, OVERLOADED], true],
    ['unknown, then not run', [UNKNOWN, NOT_RUN], true],
    ['unknown, then overloaded', [UNKNOWN, OVERLOADED], true],
    ['unknown, then failed', [UNKNOWN, FAILED], true],
    ['not run, then failed', [NOT_RUN, FAILED], true],
    ['a read: unknown, then not run', [UNKNOWN, NOT_RUN], false],
  ] as const)('%s', async (unusedName, refusals, changesData) => {
    expect(await outcomeOf(refusals, changesData)).toMatchSnapshot();
  });
});
