import {afterEach, describe, expect, it} from 'vitest';
import {
  BEGIN,
  COMMIT,
  READ,
  ROLLBACK,
  SESSION_CONFIGURATION,
  WRITE,
  startSession,
} from '../../testing/fake_session.js';
import {silentLogger} from '../../testing/fake_group.js';
import {FakeOwner, FakeOwnerClient} from '../../testing/fake_owner.js';
import type {CallerStatement} from '../../ports/caller_link.js';
import {GatewayMetrics} from '../../telemetry/gateway_metrics.js';
import {ForwardFilter} from '../forward_filter.js';
import {OwnerCalls} from '../owner_calls.js';

const cleanups: Array<() => void> = [];

afterEach(() => {
  for (const cleanup of cleanups.splice(0)) cleanup();
});

/** A session on one VM whose group has two owners, `x` and `y`. */
function start() {
  const state = {configuration: SESSION_CONFIGURATION};
  const configuration = () => state.configuration;
  const x = new FakeOwner(configuration);
  const y = new FakeOwner(configuration);
  const client = new FakeOwnerClient(
    new Map([
      ['x', x],
      ['y', y],
    ]),
  );
  const clock = (): number => performance.now();
  const log = silentLogger();
  const metrics = new GatewayMetrics();
  const calls = new OwnerCalls({client, clock, log, metrics});
  const own = startSession(
    undefined,
    new Map(),
    local =>
      new ForwardFilter({
        vm: 'vm-1',
        incarnation: 'i1',
        local,
        targets: () => [
          ...['x', 'y'].flatMap(vm =>
            calls.availabilityOf(vm) === 'available'
              ? [{kind: 'owner', vm} as const]
              : [],
          ),
          {kind: 'direct'},
        ],
        calls,
        client,
        configuration,
        clock,
        log,
        metrics,
      }),
  );
  cleanups.push(() => {
    for (const group of [own.fake, x.group, y.group]) group.close();
  });
  own.open();
  /** The requests that the primary of each VM's group received. */
  const requests = () => ({
    x: x.group.member('a').requests,
    y: y.group.member('a').requests,
    own: own.fake.member('a').requests,
  });
  return {...own, x, y, calls, requests, state};
}

type Fleet = ReturnType<typeof start>;

/** Runs statements and returns the replies and what each VM's primary got. */
async function play(
  fleet: Fleet,
  ...statements: readonly CallerStatement[]
): Promise<unknown> {
  await fleet.run(...statements);
  return {seen: fleet.caller.seen, ...fleet.requests()};
}

describe('forwarding', () => {
  // Guards against a statement that runs twice, at the wrong VM, or is reported
  // as not run although it may have run.
  it.each<[string, (fleet: Fleet) => void]>([
    ['an owner that answers', () => undefined],
    ['an unreachable owner', ({x}) => (x.mode = 'unreachable')],
    ['an owner that loses calls', ({x}) => (x.mode = 'loses-calls')],
    ['an owner that loses answers', ({x}) => (x.mode = 'loses-answers')],
    ['an owner that stops', ({x}) => x.task.tell({kind: 'drain'})],
    ['an owner without a recent view', ({x}) => (x.readiness = 'not-ready')],
    [
      'two unreachable owners',
      ({x, y}) => {
        x.mode = 'unreachable';
        y.mode = 'unreachable';
      },
    ],
  ])('%s', async (unusedName, setup) => {
    const results: Record<string, unknown> = {};
    for (const [name, statements] of [
      ['read', [READ]],
      ['write', [WRITE]],
      ['transaction', [BEGIN, WRITE, COMMIT]],
    ] as const) {
      const fleet = start();
      setup(fleet);
      results[name] = await play(fleet, ...statements);
    }
    expect(results).toMatchSnapshot();
  });

  // Guards against a commit that is reported as rolled back although it may have
  // run, and against a transaction that goes on at another VM.
  it.each<[string, (fleet: Fleet) => void]>([
    ['loses calls', ({x}) => (x.mode = 'loses-calls')],
    ['loses answers', ({x}) => (x.mode = 'loses-answers')],
    ['is unreachable', ({x}) => (x.mode = 'unreachable')],
    ['rolled back', ({x}) => x.task.tell({kind: 'abort-transactions'})],
    ['stops', ({x}) => x.task.tell({kind: 'drain'})],
    [
      'lost its connection',
      ({x}) => (x.group.member('a').mode = 'loses-answers'),
    ],
  ])('transaction whose owner %s', async (unusedName, fault) => {
    const results: Record<string, unknown> = {};
    for (const [name, statement] of [
      ['statement', WRITE],
      ['commit', COMMIT],
      ['rollback', ROLLBACK],
    ] as const) {
      const fleet = start();
      await fleet.run(BEGIN, READ);
      fault(fleet);
      results[name] = await play(fleet, statement, READ);
    }
    expect(results).toMatchSnapshot();
  });
});
