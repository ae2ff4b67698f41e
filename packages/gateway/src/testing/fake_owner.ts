import {fail, ok} from '@pistachiorill/core';
import type {Result, RuntimeConfiguration} from '@pistachiorill/core';
import type {PeerError} from '@pistachiorill/peers';
import {ask, sleep} from '@pistachiorill/tasks';
import {
  END_TRANSACTION_SCHEMA,
  EXECUTE_IN_SCHEMA,
  EXECUTE_SCHEMA,
} from '../owners/forward_schema.js';
import type {
  EndTransactionRequest,
  ExecuteInRequest,
  ExecuteRequest,
  ForwardAnswer,
} from '../owners/forward_schema.js';
import {OwnerClient} from '../owners/owner_client.js';
import {OwnerTask} from '../owners/owner_task.js';
import {PlaceFilter} from '../session/place_filter.js';
import {RunFilter} from '../session/run_filter.js';
import {GatewayMetrics} from '../telemetry/gateway_metrics.js';
import {FakeGroup, silentLogger} from './fake_group.js';

/** How the link to an owner handles calls. */
export type OwnerLinkMode =
  | 'answers'
  | 'unreachable'
  /** It opens no connection in time, and answers probes. */
  | 'overloaded'
  /** It has too much to do for other VMs. */
  | 'full'
  /** No connection opens in time, also none for a probe. */
  | 'cut-off'
  /** The owner does not receive the call. */
  | 'loses-calls'
  /** The owner receives the call, and its answer is lost. */
  | 'loses-answers'
  /** Calls stay without an answer for longer than a test. */
  | 'dark'
  /** Statements wait for their members; probes are answered. */
  | 'slow';

/** How long a lost call lasts, in place of the time limit of the call. */
const LOST_AFTER_MS = 15;

const DARK_FOR_MS = 500;
const SLOW_FOR_MS = 200;

/** An owner with fake members in the process of the test. */
export class FakeOwner {
  readonly group: FakeGroup;
  readonly task: OwnerTask;
  readonly metrics = new GatewayMetrics();
  mode: OwnerLinkMode = 'answers';
  readiness: 'ready' | 'not-ready' = 'ready';
  mayReadOldCalls: (now: number) => boolean = () => false;
  /** The calls that it received, in order. */
  readonly calls: Array<ExecuteRequest | ExecuteInRequest> = [];

  constructor(configuration: () => RuntimeConfiguration | undefined) {
    this.group = new FakeGroup();
    const database = () => this.group.task;
    const clock = (): number => performance.now();
    const log = silentLogger();
    this.task = new OwnerTask({
      local: new RunFilter({
        place: new PlaceFilter({database, configuration, clock, log}),
        database,
        clock,
      }),
      isReady: () => this.readiness === 'ready',
      mayReadOldCalls: now => this.mayReadOldCalls(now),
      configuration,
      clock,
      log,
      metrics: this.metrics,
      onFailed: err => {
        throw err;
      },
    });
  }
}

/** What the calls to an owner arrive at. */
export type OwnerEndpoint = Pick<FakeOwner, 'task' | 'mode' | 'calls'>;

/** Calls fake owners through the encoding of the real calls. */
export class FakeOwnerClient extends OwnerClient {
  constructor(
    private readonly owners: ReadonlyMap<string, OwnerEndpoint>,
    private readonly delayMs: (owner: string) => number = () => 0,
  ) {
    super();
  }

  override execute(owner: string, sent: ExecuteRequest) {
    return this.send<ForwardAnswer>(owner, (to, reply) => {
      const req = EXECUTE_SCHEMA.parse(encoded(sent));
      to.calls.push(req);
      to.task.tell({kind: 'execute', req, reply});
    });
  }

  override executeIn(owner: string, sent: ExecuteInRequest) {
    return this.send<ForwardAnswer>(owner, (to, reply) => {
      const req = EXECUTE_IN_SCHEMA.parse(encoded(sent));
      to.calls.push(req);
      to.task.tell({kind: 'execute-in', req, reply});
    });
  }

  override async ping(
    owner: string,
    timeoutMs: number,
  ): Promise<Result<void, PeerError>> {
    const mode = this.owners.get(owner)?.mode;
    if (
      mode === 'answers' ||
      mode === 'slow' ||
      mode === 'overloaded' ||
      mode === 'full'
    ) {
      return ok(undefined);
    }
    await sleep(timeoutMs);
    return fail({kind: 'no-answer', detail: 'no answer'});
  }

  override endTransaction(owner: string, sent: EndTransactionRequest) {
    return this.send<void>(owner, (to, reply) => {
      const req = END_TRANSACTION_SCHEMA.parse(encoded(sent));
      to.task.tell({kind: 'end-transaction', req, reply});
    });
  }

  private async send<T>(
    name: string,
    tell: (to: OwnerEndpoint, reply: {answer: (value: T) => void}) => void,
  ): Promise<Result<T, PeerError>> {
    const owner = this.owners.get(name);
    if (!owner || owner.mode === 'unreachable') {
      return fail({kind: 'unreachable', detail: 'no connection'});
    }
    const {mode} = owner;
    if (mode === 'overloaded' || mode === 'cut-off') {
      const cause = 'connect-timeout';
      return fail({kind: 'unreachable', detail: 'no connection', cause});
    }
    if (mode === 'full') {
      return ok({kind: 'not-run', reason: 'full'} as T);
    }
    const delayMs = this.delayMs(name);
    if (delayMs > 0) await sleep(delayMs);
    if (mode === 'slow') await sleep(SLOW_FOR_MS);
    if (mode === 'answers' || mode === 'slow') {
      const answer = await ask<T>(reply => tell(owner, reply));
      if (delayMs > 0) await sleep(delayMs);
      return ok(encoded(answer));
    }
    if (mode === 'loses-answers') await ask<T>(reply => tell(owner, reply));
    await sleep(mode === 'dark' ? DARK_FOR_MS : LOST_AFTER_MS);
    return fail({kind: 'no-answer', detail: 'no answer'});
  }
}

/** What arrives of a message; undefined for a message without content. */
function encoded<T>(message: T): T {
  const text = JSON.stringify(message);
  return text === undefined ? message : (JSON.parse(text) as T);
}
