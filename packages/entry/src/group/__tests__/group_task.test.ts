import {PrimaryOnlyPolicy, Random, ok} from '@pistachiorill/core';
import type {BackendServer, MemberState} from '@pistachiorill/core';
import {ask} from '@pistachiorill/tasks';
import {afterEach, beforeEach, expect, it, vi} from 'vitest';
import {toClientError} from '../../caller/client_error.js';
import type {GroupObservation} from '../group_message.js';
import {GroupTask} from '../group_task.js';

/** The state that each member reports to a poll, by address. */
const states = vi.hoisted(() => new Map<string, unknown>());

vi.mock('@pistachiorill/mysql', async original => ({
  ...(await original<object>()),
  SqlGroupControl: class {
    constructor(private readonly address: string) {}

    async state() {
      return ok(states.get(this.address));
    }

    close(): void {}
  },
}));

function memberState(
  role: MemberState['role'],
  term: number,
  fencedTerm = term,
): MemberState {
  const end = {term, position: 1};
  return {
    role,
    term,
    received: end,
    applied: end,
    fencedTerm,
    fencedOwner: 'v',
    connections: 0,
    connectionLimit: 9,
    slots: 2,
  };
}

function server(name: string, state: BackendServer['state']): BackendServer {
  const limits = {connectionLimit: 9, slots: 2};
  return {name, dataCentre: `dc-${name}`, address: name, state, ...limits};
}

beforeEach(() => vi.useFakeTimers());
afterEach(() => vi.useRealTimers());

// Guards against writes that fail before their deadline during a switchover,
// against writes that reach the leaving primary after the switchover may start,
// and against a VM that reports statements that have ended as running.
it('holds writes back during a switchover', async () => {
  const log: string[] = [];
  const startedAt = Date.now();
  const clock = (): number => Date.now() - startedAt;
  const note = (text: string): void => {
    log.push(`${clock()} ms: ${text}`);
  };
  const group = new GroupTask('ledger', {
    credentials: {
      data: {user: 'd', password: 'd'},
      control: {user: 'c', password: 'c'},
    },
    policy: new PrimaryOnlyPolicy(),
    random: new Random(1),
    clock,
    allowanceOf: () => 2,
    onFault: err => note(`fault ${String(err)}`),
  });
  const write = (name: string, waitMs: number): void => {
    group.tell({
      kind: 'choose',
      request: {
        access: 'write',
        maxAgeMs: 0,
        requirement: {kind: 'unknown'},
        replicaWaitUntil: 0,
      },
      until: clock() + waitMs,
      reply: {
        answer: result =>
          note(
            result.ok
              ? `${name} uses ${result.value.backendServer}`
              : `${name} is refused: ${toClientError(result.err).message}`,
          ),
      },
    });
  };
  const observe = async (): Promise<void> => {
    const observation = ask<GroupObservation>(reply =>
      group.tell({kind: 'observe', reply}),
    );
    await vi.advanceTimersByTimeAsync(0);
    note(`running ${(await observation).running}`);
  };
  const configure = (state: BackendServer['state']): void => {
    const others = ['m2', 'm3'].map(name => server(name, 'in-service'));
    group.tell({kind: 'configure', servers: [server('m1', state), ...others]});
  };

  states.set('m1', memberState('primary', 1));
  states.set('m2', memberState('replica', 1));
  states.set('m3', memberState('replica', 1));
  configure('in-service');
  await vi.advanceTimersByTimeAsync(500);
  write('before the configuration', 100);
  await vi.advanceTimersByTimeAsync(500);
  configure('leaving');
  write('before the move may start', 100);
  await observe();
  await vi.advanceTimersByTimeAsync(1_500);
  write('with a long deadline', 5_000);
  write('with a short deadline', 300);
  await observe();
  await vi.advanceTimersByTimeAsync(1_000);
  note('the move takes place');
  states.set('m1', memberState('replica', 1, 2));
  states.set('m2', memberState('primary', 2));
  await vi.advanceTimersByTimeAsync(1_000);
  await observe();
  group.tell({kind: 'close'});
  await vi.advanceTimersByTimeAsync(0);
  expect(log).toMatchSnapshot();
});
