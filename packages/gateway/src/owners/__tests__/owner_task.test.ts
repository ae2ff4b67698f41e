import {afterEach, describe, expect, it, vi} from 'vitest';
import {Filter, fail} from '@pistachiorill/core';
import type {Result} from '@pistachiorill/core';
import {ask, sleep} from '@pistachiorill/tasks';
import type {SessionRefusal} from '../../ports/caller_link.js';
import type {FirstAnswer} from '../../session/member_transaction.js';
import type {RoutedStatement} from '../../session/session_statement.js';
import {GatewayMetrics} from '../../telemetry/gateway_metrics.js';
import {silentLogger} from '../../testing/fake_group.js';
import {SESSION_CONFIGURATION} from '../../testing/fake_session.js';
import {FakeOwner} from '../../testing/fake_owner.js';
import type {ExecuteRequest, ForwardAnswer} from '../forward_schema.js';
import {OwnerTask} from '../owner_task.js';

let owner: FakeOwner | undefined;

afterEach(() => {
  owner?.group.close();
  vi.useRealTimers();
});

const ROUTE = SESSION_CONFIGURATION.routes.get('wash-db');
const WORK = {
  command: {kind: 'statement' as const, text: 'WRITE x y'},
  access: 'write' as const,
  values: [],
  remainingMs: 400,
};

function first(transaction: string): ExecuteRequest {
  return {
    ...WORK,
    id: 'q1',
    database: 'wash-db',
    key: 'k1',
    workspace: 'growers',
    caller: 'keyed',
    regions: [],
    begin: 'write',
    position: {kind: 'none'},
    route: {...(ROUTE as ExecuteRequest['route'])},
    transaction: {id: transaction, vm: 'vm-1', incarnation: 'i1'},
  };
}

/** Starts an owner and returns functions that send it messages. */
function start() {
  const fake = new FakeOwner(() => SESSION_CONFIGURATION);
  owner = fake;
  const {task} = fake;
  const seen: string[] = [];
  const note = (name: string, answer: ForwardAnswer): void => {
    const {kind} = answer;
    const why = kind === 'not-run' ? answer.reason : kind;
    seen.push(`${name}: ${kind === 'refused' ? answer.refusal.kind : why}`);
  };
  return {
    fake,
    task,
    seen,
    begin: async (id = 't1', remainingMs = 400) => {
      const req = {...first(id), remainingMs};
      note(
        'first',
        await ask(reply => task.tell({kind: 'execute', req, reply})),
      );
    },
    next: async (
      step: number,
      access: 'write' | 'commit' = 'write',
      remainingMs = 400,
    ) => {
      const command =
        access === 'commit' ? {kind: 'commit' as const} : WORK.command;
      const id = `q${step}`;
      const req = {
        ...{...WORK, id, command, access, transaction: 't1', step},
        remainingMs,
      };
      const answer = await ask<ForwardAnswer>(reply =>
        task.tell({kind: 'execute-in', req, reply}),
      );
      note(`${access} ${step}`, answer);
    },
    end: () =>
      ask<void>(reply =>
        task.tell({kind: 'end-transaction', req: {transaction: 't1'}, reply}),
      ),
  };
}

type Owner = ReturnType<typeof start>;

/** Keeps statements waiting until they are released. */
class WaitingFilter extends Filter<
  RoutedStatement,
  FirstAnswer,
  SessionRefusal
> {
  override readonly name = 'wait';

  constructor(private readonly released: Promise<void>) {
    super();
  }

  override async run(): Promise<Result<FirstAnswer, SessionRefusal>> {
    await this.released;
    return fail({kind: 'timed-out', detail: ''});
  }
}

function register(
  incarnation: string | undefined,
): ReadonlyMap<string, string> {
  return new Map(incarnation === undefined ? [] : [['vm-1', incarnation]]);
}

describe('OwnerTask', () => {
  // Guards against a statement that runs twice, out of order or outside its
  // transaction, and against a transaction that stays open.
  it.each<[string, (to: Owner) => Promise<void>]>([
    [
      'runs a transaction',
      async ({begin, next}) => {
        await begin();
        await next(2);
        await next(3, 'commit');
        await next(4);
      },
    ],
    [
      'refuses a repeated statement',
      async ({begin, next}) => {
        await begin();
        await next(2);
        await next(2);
        await next(3, 'commit');
      },
    ],
    [
      'refuses a repeated first statement',
      async ({begin}) => {
        await begin();
        await begin();
      },
    ],
    [
      'refuses a first statement that arrives behind the end',
      async ({begin, end}) => {
        await end();
        await begin();
      },
    ],
    [
      'rolls back when its first statement ends behind the end',
      async ({begin, end, next}) => {
        const begun = begin();
        await end();
        await begun;
        await next(2);
      },
    ],
    [
      'refuses a second statement beside a running one',
      async ({begin, next}) => {
        await begin();
        await Promise.all([next(2), next(3)]);
        await next(3, 'commit');
      },
    ],
    [
      'rolls back when the process of the caller is gone',
      async ({begin, next, task}) => {
        task.tell({kind: 'registrations', incarnations: register('i1')});
        await begin();
        task.tell({kind: 'registrations', incarnations: register('i2')});
        await next(2);
      },
    ],
    [
      'waits for the registration of the process of the caller',
      async ({begin, next, task}) => {
        task.tell({kind: 'registrations', incarnations: register('i0')});
        await begin();
        task.tell({kind: 'registrations', incarnations: register(undefined)});
        await next(2);
      },
    ],
    // Their callers do not wait for them any more.
    [
      'refuses statements without time',
      async ({begin, next}) => {
        await begin('t2', 0);
        await begin();
        await next(2, 'write', 0);
        await next(3, 'commit');
      },
    ],
    // Their callers may have given them up.
    [
      'refuses statements that arrived while its process was stopped',
      async ({begin, next, fake}) => {
        await begin();
        fake.mayReadOldCalls = () => true;
        await next(2);
        await next(2, 'commit');
        await begin('t2');
        fake.mayReadOldCalls = () => false;
        await next(2);
      },
    ],
    [
      'stops: finishes transactions, then rolls them back',
      async ({begin, next, task}) => {
        await begin();
        task.tell({kind: 'drain'});
        await begin('t2');
        await next(2);
        task.tell({kind: 'abort-transactions'});
        await next(3, 'commit');
      },
    ],
    [
      'lets a commit finish whose caller has given up',
      async ({begin, next, end}) => {
        await begin();
        const committed = next(2, 'commit');
        await end();
        await committed;
      },
    ],
    [
      'stops while the commit runs',
      async ({begin, next, task}) => {
        await begin();
        const committed = next(2, 'commit');
        task.tell({kind: 'abort-transactions'});
        await committed;
      },
    ],
  ])('%s', async (unusedName, play) => {
    const to = start();
    await play(to);
    await sleep(20);
    const {requests} = to.fake.group.member('a');
    const {isBusy} = to.task;
    expect({seen: to.seen, requests, isBusy}).toMatchSnapshot();
  });

  // Guards against an owner that runs out of memory: only the calling VMs limit
  // their calls, each for itself.
  it.each([
    ['number', 450, 10],
    ['length', 30, 1_200_000],
  ])('refuses statements over its limit in %s', async (unused, count, size) => {
    let release: () => void = () => undefined;
    const released = new Promise<void>(resolve => (release = resolve));
    const task = new OwnerTask({
      local: new WaitingFilter(released),
      isReady: () => true,
      mayReadOldCalls: () => false,
      configuration: () => SESSION_CONFIGURATION,
      clock: () => 0,
      log: silentLogger(),
      metrics: new GatewayMetrics(),
      onFailed: err => {
        throw err;
      },
    });
    const text = `WRITE x ${'y'.repeat(size)}`;
    const {transaction, begin, ...single} = first('t');
    void [transaction, begin];
    const run = (): Promise<string> =>
      ask<ForwardAnswer>(reply => {
        const command = {kind: 'statement' as const, text};
        task.tell({kind: 'execute', req: {...single, command}, reply});
      }).then(answer =>
        answer.kind === 'not-run' ? answer.reason : 'not refused',
      );
    const running = Array.from({length: count}, run);
    await sleep(20);
    release();
    const answers = await Promise.all(running);
    const full = answers.filter(answer => answer === 'full').length;
    expect({full, next: await run()}).toMatchSnapshot();
  });

  // Guards against a connection that a caller's lost process keeps for ever.
  it('rolls back an idle transaction after the time of its caller', async () => {
    vi.useFakeTimers({toFake: ['setTimeout', 'clearTimeout']});
    const to = start();
    await to.begin();
    const rolledBack = (): boolean =>
      to.fake.group.member('a').requests.includes('- rollback');
    await vi.advanceTimersByTimeAsync(3_900);
    const before = rolledBack();
    await vi.advanceTimersByTimeAsync(200);
    expect([before, rolledBack()]).toEqual([false, true]);
  });
});
