import type {Filter, Result, RuntimeConfiguration} from '@pistachiorill/core';
import {Task} from '@pistachiorill/tasks';
import type {Clock, Reply} from '@pistachiorill/tasks';
import type {Logger} from '@pistachiorill/telemetry';
import type {SessionRefusal} from '../ports/caller_link.js';
import type {
  FirstAnswer,
  GroupAnswer,
  MemberTransaction,
} from '../session/member_transaction.js';
import {busyRefusal} from '../session/conclude_fault.js';
import {UNEXPECTED_ERROR} from '../session/session_refusals.js';
import type {RoutedStatement} from '../session/session_statement.js';
import type {GatewayMetrics} from '../telemetry/gateway_metrics.js';
import {
  lengthOf,
  toPinnedStatement,
  toRoutedStatement,
} from './forward_request.js';
import type {
  EndTransactionRequest,
  ExecuteInRequest,
  ExecuteRequest,
  ForwardAnswer,
  ForwardedTransactionId,
} from './forward_schema.js';
import {HeldTransaction} from './held_transaction.js';
import type {HeldRollbackReason} from './held_transaction.js';

/**
 * The calling VM rolls back an idle transaction itself; the owner does if that
 * call has not arrived this long after the idle time.
 */
const IDLE_MARGIN_MS = 1_000;
/**
 * For how long a transaction is held without a statement where the configuration
 * sets no time: the calls of its VM that end it may all be lost.
 */
const MAX_IDLE_MS = 60_000;
/** For how long a transaction that was ended before it arrived is known. */
const ENDED_KNOWN_MS = 10_000;

/**
 * The number of first statements that may run or wait for other VMs. A member
 * with 4 slots serves about 300 of 14 ms in a second, the time limit of most.
 */
const MAX_RUNNING = 400;
/** The length of the statements of other VMs that may run or wait together. */
const MAX_RUNNING_LENGTH = 32 * 1_048_576;

const NO_TIME_LEFT = 'the time limit has passed';

/** The messages that an owner's task handles. */
export type OwnerMessage =
  | {
      readonly kind: 'execute';
      readonly req: ExecuteRequest;
      readonly reply: Reply<ForwardAnswer>;
    }
  | {
      readonly kind: 'execute-in';
      readonly req: ExecuteInRequest;
      readonly reply: Reply<ForwardAnswer>;
    }
  | {
      readonly kind: 'end-transaction';
      readonly req: EndTransactionRequest;
      readonly reply: Reply<void>;
    }
  | {readonly kind: 'idle'; readonly transaction: string}
  /** The incarnation of each registered VM. */
  | {
      readonly kind: 'registrations';
      readonly incarnations: ReadonlyMap<string, string>;
    }
  /** The VM stops: new statements are refused. */
  | {readonly kind: 'drain'}
  /** Rolls back all transactions, after the statements that are running. */
  | {readonly kind: 'abort-transactions'};

/** The services that the task uses. */
export interface OwnerTaskDependencies {
  /** Runs a statement on this VM's own connections; it never forwards. */
  readonly local: Filter<RoutedStatement, FirstAnswer, SessionRefusal>;
  /** Whether this VM serves a group and is ready, as its balancer sees it. */
  readonly isReady: (group: string) => boolean;
  /**
   * Whether a call that is read now may have arrived while this process was
   * stopped, so that its caller may have given it up.
   */
  readonly mayReadOldCalls: (now: number) => boolean;
  readonly configuration: () => RuntimeConfiguration | undefined;
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: GatewayMetrics;
  readonly onFailed: (err: unknown) => void;
}

/** Runs statements for other VMs and holds their open transactions. */
export class OwnerTask extends Task<OwnerMessage> {
  private readonly held = new Map<string, HeldTransaction>();
  /** When transactions were ended whose first statement had not arrived. */
  private readonly endedEarly = new Map<string, number>();
  private phase: 'serving' | 'stopping' = 'serving';
  private running = 0;
  private runningLength = 0;
  private incarnations: ReadonlyMap<string, string> = new Map();

  constructor(private readonly deps: OwnerTaskDependencies) {
    super();
  }

  /** Whether statements run or transactions are open. */
  get isBusy(): boolean {
    return this.running > 0 || this.held.size > 0;
  }

  protected override handle(message: OwnerMessage): void {
    switch (message.kind) {
      case 'execute':
        this.answer(message, () => this.execute(message.req));
        return;
      case 'execute-in':
        this.answer(message, () => this.executeIn(message.req));
        return;
      case 'end-transaction':
        this.runInBackground(async () => {
          await this.endTransaction(message.req.transaction);
          message.reply.answer();
        });
        return;
      case 'idle':
        this.end(message.transaction, 'idle');
        return;
      case 'registrations':
        this.incarnations = message.incarnations;
        for (const [id, held] of this.held) {
          if (held.isCallerGone(this.incarnations)) this.end(id, 'caller-gone');
        }
        return;
      case 'drain':
        this.phase = 'stopping';
        return;
      case 'abort-transactions':
        for (const id of this.held.keys()) this.end(id, 'stopping');
        return;
    }
  }

  protected override onFailure(err: unknown): void {
    this.deps.onFailed(err);
  }

  /** Runs a statement while others do, and answers in any case, once. */
  private answer(
    {req, reply}: Extract<OwnerMessage, {kind: 'execute' | 'execute-in'}>,
    run: () => Promise<ForwardAnswer>,
  ): void {
    this.runInBackground(async () => {
      let answer: ForwardAnswer = {kind: 'refused', refusal: UNEXPECTED_ERROR};
      const length = lengthOf(req);
      if (this.isFull(req, length)) {
        reply.answer(notRun('full'));
        return;
      }
      this.running++;
      this.runningLength += length;
      try {
        answer = await run();
      } finally {
        this.running--;
        this.runningLength -= length;
        reply.answer(answer);
      }
    });
  }

  /**
   * Whether a statement would take more than this VM spends on others. Those of
   * open transactions are only limited in length, as their number is limited by
   * the connections that they hold.
   */
  private isFull(
    req: ExecuteRequest | ExecuteInRequest,
    length: number,
  ): boolean {
    const isFirst = !('step' in req);
    return (
      (isFirst && this.running >= MAX_RUNNING) ||
      (this.running > 0 && this.runningLength + length > MAX_RUNNING_LENGTH)
    );
  }

  private async execute(req: ExecuteRequest): Promise<ForwardAnswer> {
    if (this.phase === 'stopping') return notRun('stopping');
    if (!this.deps.isReady(req.route.group)) return notRun('not-ready');
    if (this.deps.mayReadOldCalls(this.deps.clock())) {
      return notRun('not-ready');
    }
    if (req.remainingMs <= 0) {
      return {kind: 'refused', refusal: busyRefusal(NO_TIME_LEFT, 0)};
    }
    const {transaction} = req;
    if (transaction && this.held.has(transaction.id)) {
      return notRun('out-of-order');
    }
    if (transaction && this.endedEarly.has(transaction.id)) {
      return notRun('no-transaction');
    }
    this.deps.metrics.ranForOther();
    const now = this.deps.clock();
    const statement = toRoutedStatement(req, now);
    if (!transaction) {
      return toAnswer(await this.deps.local.run(statement, now));
    }
    const held = this.hold(transaction, statement);
    let opened: MemberTransaction | undefined;
    try {
      const result = await this.deps.local.run(statement, now);
      opened = result.ok ? result.value.transaction : undefined;
      return toAnswer(result);
    } finally {
      await held.opened(opened, this.idleMs);
      this.release(held);
    }
  }

  private async executeIn(req: ExecuteInRequest): Promise<ForwardAnswer> {
    const held = this.held.get(req.transaction);
    if (!held || held.isRolledBack) return notRun('no-transaction');
    if (!held.accepts(req.step)) return notRun('out-of-order');
    if (this.deps.mayReadOldCalls(this.deps.clock())) {
      return notRun('out-of-order');
    }
    if (req.remainingMs <= 0) {
      await held.end('late');
      this.release(held);
      const refusal = {kind: 'aborted', detail: NO_TIME_LEFT} as const;
      return {kind: 'refused', refusal};
    }
    this.deps.metrics.ranForOther();
    const statement = toPinnedStatement(req, this.deps.clock());
    try {
      const result = await held.run(statement, this.idleMs);
      return result ? toAnswer(result) : notRun('no-transaction');
    } finally {
      this.release(held);
    }
  }

  private async endTransaction(id: string): Promise<void> {
    const held = this.held.get(id);
    if (!held) {
      this.rememberEnded(id);
      return;
    }
    await held.end('requested');
    this.release(held);
  }

  private hold(
    transaction: ForwardedTransactionId,
    {id, workspace, route, values}: RoutedStatement,
  ): HeldTransaction {
    const onRolledBack = (reason: HeldRollbackReason): void => {
      this.deps.metrics.heldRolledBack(reason);
      if (reason === 'requested') return;
      const {vm} = transaction;
      this.deps.log.info(
        {
          event: 'owner.rolled-back',
          request: id,
          workspace,
          group: route.group,
          vm,
          reason,
        },
        'rolled back a transaction of another VM',
      );
    };
    const held = new HeldTransaction(transaction, values, onRolledBack, () =>
      this.tell({kind: 'idle', transaction: transaction.id}),
    );
    held.isCallerGone(this.incarnations);
    this.held.set(transaction.id, held);
    this.deps.metrics.heldTransactions(this.held.size);
    return held;
  }

  private end(id: string, reason: HeldRollbackReason): void {
    const held = this.held.get(id);
    if (!held) return;
    this.runInBackground(async () => {
      await held.end(reason);
      this.release(held);
    });
  }

  private release(held: HeldTransaction): void {
    if (!held.isEnded) return;
    this.held.delete(held.caller.id);
    this.deps.metrics.heldTransactions(this.held.size);
  }

  /** A first statement that arrives late must not open the transaction. */
  private rememberEnded(id: string): void {
    const now = this.deps.clock();
    for (const [known, at] of this.endedEarly) {
      if (now - at < ENDED_KNOWN_MS) break;
      this.endedEarly.delete(known);
    }
    this.endedEarly.set(id, now);
  }

  /** After which idle time a transaction is rolled back. */
  private get idleMs(): number {
    const idleMs = this.deps.configuration()?.transactionIdleMs ?? 0;
    return idleMs > 0 ? idleMs + IDLE_MARGIN_MS : MAX_IDLE_MS;
  }
}

function notRun(
  reason: Extract<ForwardAnswer, {kind: 'not-run'}>['reason'],
): ForwardAnswer {
  return {kind: 'not-run', reason};
}

function toAnswer(result: Result<GroupAnswer, SessionRefusal>): ForwardAnswer {
  if (!result.ok) return {kind: 'refused', refusal: result.err};
  const {rows, outcome, transaction, applied} = result.value.answer;
  // Errors of a member are refusals by now.
  if (outcome.kind === 'error') {
    return {kind: 'refused', refusal: UNEXPECTED_ERROR};
  }
  const {signature} = outcome;
  return {kind: 'done', rows, signature, transaction, applied};
}
