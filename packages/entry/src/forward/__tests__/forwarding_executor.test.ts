import type {Refusal, Result, Route} from '@pistachiorill/core';
import {describe, expect, it} from 'vitest';
import {ForwardingExecutor} from '../forwarding_executor.js';
import type {OwnerTarget} from '../owner_client.js';
import {REPLY, ScriptedOwnerClient, statementOf} from './fakes.js';
import type {ScriptedAnswer} from './fakes.js';

const OWNERS: OwnerTarget[] = ['a', 'b'].map(vm => ({
  vm,
  dataCentre: vm,
  state: 'alive',
  address: vm,
}));

const WRITE: Partial<Route> = {access: 'write', repeatable: false};
const REPEATABLE: Partial<Route> = {access: 'write', repeatable: true};
const READ: Partial<Route> = {access: 'read'};

function setup(script: ScriptedAnswer[]) {
  const calls = new ScriptedOwnerClient(script);
  const executor = new ForwardingExecutor('d', () => OWNERS, {
    ownerClient: calls,
    keepAlive: {
      tell: message => {
        calls.log.push(`keep-alive ${message.kind}`);
      },
    },
    clock: () => 0,
  });
  return {calls, executor};
}

function kindOf(result: Result<unknown, Refusal>): string {
  return result.ok ? 'done' : result.err.kind;
}

describe('ForwardingExecutor', () => {
  // Guards against executing a write twice, and against reporting a statement
  // as not run although an earlier owner may have executed it.
  it.each([
    ['write', WRITE, ['done']],
    ['write', WRITE, ['unreachable', 'done']],
    ['write', WRITE, ['no-answer', 'done']],
    ['write', WRITE, ['draining', 'no-answer']],
    ['write', WRITE, ['rate-limited']],
    ['write', WRITE, ['unreachable', 'unreachable']],
    ['repeatable write', REPEATABLE, ['no-answer', 'done']],
    ['repeatable write', REPEATABLE, ['no-answer', 'overloaded']],
    ['repeatable write', REPEATABLE, ['no-answer', 'unreachable']],
    ['read', READ, ['no-answer', 'done']],
    ['read', READ, ['no-answer', 'no-answer']],
    ['read', READ, ['no-member', 'done']],
  ] as ReadonlyArray<readonly [string, Partial<Route>, ScriptedAnswer[]]>)(
    '%s %#: %j',
    async (unusedName, route, script) => {
      const {calls, executor} = setup([...script]);
      const result = await executor.execute(statementOf(route));
      expect({outcome: kindOf(result), calls: calls.log}).toMatchSnapshot();
      if (result.ok) expect(result.value).toEqual(REPLY);
    },
  );

  // Guards against reporting a commit as rolled back although it may have taken
  // effect, and against committing a transaction that has lost a statement.
  it.each([
    ['all calls succeed', ['done', 'done', 'done']],
    ['the first owner is unreachable', ['unreachable', 'done']],
    ['begin is not answered', ['no-answer', 'done']],
    ['a statement is not answered', ['done', 'no-answer']],
    ['the owner lost the transaction', ['done', 'transaction-lost']],
    ['commit is not answered', ['done', 'done', 'no-answer']],
    ['commit is not sent', ['done', 'done', 'unreachable']],
  ] as ReadonlyArray<readonly [string, ScriptedAnswer[]]>)(
    'transaction: %s',
    async (unusedName, script) => {
      const {calls, executor} = setup([...script]);
      const begun = await executor.begin(statementOf(WRITE));
      if (!begun.ok) throw new Error(begun.err.kind);
      const executed = await begun.value.execute(statementOf(WRITE));
      const committed = executed.ok
        ? kindOf(await begun.value.commit(1_000))
        : 'not sent';
      expect({
        executed: kindOf(executed),
        committed,
        calls: calls.log,
      }).toMatchSnapshot();
    },
  );
});
