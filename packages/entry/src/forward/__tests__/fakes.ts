import {DEFAULT_ROUTE, fail, ok} from '@pistachiorill/core';
import type {
  Refusal,
  Result,
  Route,
  RoutedStatement,
  StatementContext,
  StatementReply,
} from '@pistachiorill/core';
import type {ForwardResponse, PeerError} from '@pistachiorill/peers';
import {GroupExecutor, TransactionHandle} from '../../group/group_executor.js';
import {OwnerClient} from '../owner_client.js';
import type {OwnerTarget} from '../owner_client.js';

/** The context of a VM that serves. */
export const CONTEXT = {
  activeConfiguration: {version: 1, hash: '', configuration: undefined},
  confirmation: 'confirmed',
  lifecycle: 'serving',
} as unknown as StatementContext;

/** Returns a routed statement whose route differs from the default as given. */
export function statementOf(route: Partial<Route>): RoutedStatement {
  const access = route.access ?? 'write';
  return {
    connectionId: '1',
    caller: {kind: 'keyed', workspace: 'w', keyId: 'k'},
    databaseName: 'd',
    database: 'd',
    sql: 'S',
    scope: 'autocommit',
    receivedAt: 0,
    context: CONTEXT,
    options: {},
    verb: 'query',
    changesData: access === 'write',
    route: {...DEFAULT_ROUTE, ...route},
    maxAgeMs: 0,
    deadline: 1_000,
    requirement: {kind: 'unknown'},
  };
}

/** The reply of every successful statement. */
export const REPLY: StatementReply = {
  result: {kind: 'rows', columns: [], rows: [[Buffer.from([0, 255]), null]]},
  database: 'd',
  seen: {term: 1, position: 2},
  backendServer: 'm',
  servedBy: 'primary',
};

/** `REPLY` as an owner sends it. */
export const DONE: ForwardResponse = {
  ok: true,
  value: {
    result: {kind: 'rows', columns: [], rows: [['AP8=', null]]},
    database: 'd',
    seen: {term: 1, position: 2},
    backendServer: 'm',
    servedBy: 'primary',
  },
};

/** How a scripted call ends: with a call error, success or a refusal. */
export type ScriptedAnswer =
  'unreachable' | 'no-answer' | 'done' | Refusal['kind'];

/** Logs the calls to owners and answers them in order from a script. */
export class ScriptedOwnerClient extends OwnerClient {
  readonly log: string[] = [];

  constructor(private readonly script: ScriptedAnswer[]) {
    super();
  }

  override async forward(owner: OwnerTarget) {
    return this.next('forward', owner);
  }

  override async begin(owner: OwnerTarget) {
    const answer = this.next('begin', owner);
    if (!answer.ok) return answer;
    return ok(
      answer.value.ok ? {ok: true as const, transaction: 't1'} : answer.value,
    );
  }

  override async executeIn(owner: OwnerTarget) {
    return this.next('executeIn', owner);
  }

  override async commit(owner: OwnerTarget) {
    return this.next('commit', owner);
  }

  override async rollback(owner: OwnerTarget) {
    this.log.push(`rollback ${owner.vm}`);
    return ok(undefined);
  }

  override async keepAlive(owner: OwnerTarget) {
    this.log.push(`keepAlive ${owner.vm}`);
    return ok(undefined);
  }

  private next(
    call: string,
    owner: OwnerTarget,
  ): Result<ForwardResponse, PeerError> {
    const answer = this.script.shift() ?? 'done';
    this.log.push(`${call} ${owner.vm}: ${answer}`);
    if (answer === 'unreachable' || answer === 'no-answer') {
      return fail({kind: answer, detail: 'scripted'});
    }
    if (answer === 'done') return ok(DONE);
    return ok(fail({kind: answer, detail: 'scripted'} as Refusal));
  }
}

/** An executor that logs its calls and those of its transactions. */
export class RecordingExecutor extends GroupExecutor {
  readonly log: string[] = [];

  override async execute() {
    this.log.push('execute');
    return ok(REPLY);
  }

  override async begin(): Promise<Result<TransactionHandle, Refusal>> {
    this.log.push('begin');
    return ok(new RecordingTransaction(this.log));
  }
}

class RecordingTransaction extends TransactionHandle {
  constructor(private readonly log: string[]) {
    super();
  }

  override async execute() {
    this.log.push('execute in transaction');
    return ok(REPLY);
  }

  override async commit() {
    this.log.push('commit');
    return ok(REPLY);
  }

  override async rollback(): Promise<void> {
    this.log.push('rollback');
  }
}
