import {randomUUID} from 'node:crypto';
import {fail, ok} from '@pistachiorill/core';
import type {
  Refusal,
  Result,
  StatementContext,
  StatementReply,
} from '@pistachiorill/core';
import type {
  BeginResponse,
  BeginRequest,
  CommitRequest,
  ExecuteInRequest,
  ForwardResponse,
  ForwardRequest,
} from '@pistachiorill/peers';
import {Task} from '@pistachiorill/tasks';
import type {Clock, Reply} from '@pistachiorill/tasks';
import type {
  GroupExecutor,
  TransactionHandle,
} from '../group/group_executor.js';
import {encodeAnswer} from './wire_answer.js';
import {decodeStatement} from './wire_statement.js';

/**
 * A transaction is rolled back when its forwarding VM has not listed it in a
 * keep-alive for this time: five keep-alives in a row are then missing.
 */
export const KEEP_ALIVE_TIMEOUT_MS = 5_000;

/** Interval between two checks for transactions without keep-alives. */
const SWEEP_INTERVAL_MS = 500;

interface OpenTransaction {
  readonly handle: TransactionHandle;
  /** Time of the last keep-alive or statement. */
  lastActiveAt: number;
}

type ForwardReply = Reply<ForwardResponse>;

/** Messages that an `OwnerTask` handles. */
export type OwnerMessage =
  | {
      readonly kind: 'forward';
      readonly req: ForwardRequest;
      readonly reply: ForwardReply;
    }
  | {
      readonly kind: 'begin';
      readonly req: BeginRequest;
      readonly reply: Reply<BeginResponse>;
    }
  /** The transaction of a `begin` was opened. */
  | {
      readonly kind: 'begun';
      readonly id: string;
      readonly handle: TransactionHandle;
      readonly reply: Reply<BeginResponse>;
    }
  | {
      readonly kind: 'execute-in';
      readonly req: ExecuteInRequest;
      readonly reply: ForwardReply;
    }
  | {
      readonly kind: 'commit';
      readonly req: CommitRequest;
      readonly reply: ForwardReply;
    }
  | {readonly kind: 'rollback'; readonly transaction: string}
  | {readonly kind: 'keep-alive'; readonly transactions: readonly string[]}
  /** An asynchronous call to an executor or a transaction has ended. */
  | {readonly kind: 'finished'}
  /** Rolls back transactions whose keep-alives have timed out. */
  | {readonly kind: 'sweep'};

/** The collaborators of an `OwnerTask`. */
export interface OwnerDependencies {
  /** Returns the executor over this VM's connections if it owns the group. */
  readonly local: (database: string) => GroupExecutor | undefined;
  /** Undefined until the first configuration is applied. */
  readonly context: () => StatementContext | undefined;
  readonly clock: Clock;
  readonly onFault: (err: unknown) => void;
}

/**
 * Executes the statements that other VMs forward to this VM, and owns the
 * transactions that it has open for them.
 */
export class OwnerTask extends Task<OwnerMessage> {
  private readonly transactions = new Map<string, OpenTransaction>();
  /** The number of forwarded calls in progress. */
  private running = 0;
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly deps: OwnerDependencies) {
    super();
    this.timer = setInterval(
      () => this.tell({kind: 'sweep'}),
      SWEEP_INTERVAL_MS,
    );
  }

  /** Whether forwarded work is in progress, which a planned stop waits for. */
  get activity(): 'idle' | 'busy' {
    return this.running + this.transactions.size > 0 ? 'busy' : 'idle';
  }

  override async stop(): Promise<void> {
    clearInterval(this.timer);
    await super.stop();
  }

  protected override handle(message: OwnerMessage): void {
    switch (message.kind) {
      case 'forward':
        this.forward(message.req, message.reply);
        return;
      case 'begin':
        this.begin(message.req, message.reply);
        return;
      case 'begun':
        this.registerTransaction(message);
        return;
      case 'execute-in':
        this.executeIn(message.req, message.reply);
        return;
      case 'commit':
        this.commit(message.req, message.reply);
        return;
      case 'rollback':
        this.rollback(message.transaction);
        return;
      case 'keep-alive':
        this.keepAlive(message.transactions);
        return;
      case 'finished':
        this.running--;
        return;
      case 'sweep':
        this.sweep();
        return;
    }
  }

  protected override onFailure(err: unknown): void {
    this.deps.onFault(err);
  }

  private forward(req: ForwardRequest, reply: ForwardReply): void {
    const ready = this.admit(req.statement.database);
    if (!ready.ok) {
      reply.answer(ready);
      return;
    }
    const {executor, context} = ready.value;
    const statement = decodeStatement(
      req.statement,
      context,
      this.deps.clock(),
    );
    this.run(executor.execute(statement), reply);
  }

  private begin(req: BeginRequest, reply: Reply<BeginResponse>): void {
    const ready = this.admit(req.statement.database);
    if (!ready.ok) {
      reply.answer(ready);
      return;
    }
    const {executor, context} = ready.value;
    const statement = decodeStatement(
      req.statement,
      context,
      this.deps.clock(),
    );
    this.running++;
    void executor
      .begin(statement)
      .then(result => {
        if (!result.ok) {
          reply.answer(result);
          return;
        }
        const handle = result.value;
        this.tell({kind: 'begun', id: randomUUID(), handle, reply});
      })
      .catch(this.deps.onFault)
      .finally(() => this.tell({kind: 'finished'}));
  }

  private registerTransaction(
    message: Extract<OwnerMessage, {kind: 'begun'}>,
  ): void {
    const {id, handle, reply} = message;
    this.transactions.set(id, {handle, lastActiveAt: this.deps.clock()});
    reply.answer({ok: true, transaction: id});
  }

  private executeIn(req: ExecuteInRequest, reply: ForwardReply): void {
    const open = this.transactions.get(req.transaction);
    const context = this.deps.context();
    if (!open || !context) {
      reply.answer(fail(transactionLost()));
      return;
    }
    open.lastActiveAt = this.deps.clock();
    const statement = decodeStatement(
      req.statement,
      context,
      open.lastActiveAt,
    );
    this.run(
      open.handle.execute(statement).then(result => {
        if (!result.ok && result.err.kind === 'transaction-lost') {
          this.tell({kind: 'rollback', transaction: req.transaction});
        }
        return result;
      }),
      reply,
    );
  }

  private commit(req: CommitRequest, reply: ForwardReply): void {
    const open = this.transactions.get(req.transaction);
    if (!open) {
      reply.answer(fail(transactionLost()));
      return;
    }
    this.transactions.delete(req.transaction);
    const deadline = this.deps.clock() + req.remainingMs;
    this.run(open.handle.commit(deadline), reply);
  }

  private rollback(transaction: string): void {
    const open = this.transactions.get(transaction);
    if (!open) return;
    this.transactions.delete(transaction);
    this.running++;
    void open.handle
      .rollback()
      .catch(this.deps.onFault)
      .finally(() => this.tell({kind: 'finished'}));
  }

  private keepAlive(transactions: readonly string[]): void {
    const now = this.deps.clock();
    for (const id of transactions) {
      const open = this.transactions.get(id);
      if (open) open.lastActiveAt = now;
    }
  }

  /** Rolls back transactions whose keep-alives have timed out. */
  private sweep(): void {
    const now = this.deps.clock();
    for (const [id, open] of [...this.transactions]) {
      if (now - open.lastActiveAt > KEEP_ALIVE_TIMEOUT_MS) this.rollback(id);
    }
  }

  /** Refuses new work while this VM drains or does not own the group. */
  private admit(
    database: string,
  ): Result<{executor: GroupExecutor; context: StatementContext}, Refusal> {
    const context = this.deps.context();
    const executor = this.deps.local(database);
    if (!context || context.lifecycle === 'draining') {
      return fail({kind: 'draining', detail: 'the owner takes no new work'});
    }
    if (!executor) {
      return fail({kind: 'no-member', detail: 'the VM does not own the group'});
    }
    return ok({executor, context});
  }

  /** Counts `work` as in progress until it ends; answers with its result. */
  private run(
    work: Promise<Result<StatementReply, Refusal>>,
    reply: ForwardReply,
  ): void {
    this.running++;
    void work
      .then(result => reply.answer(encodeAnswer(result)))
      .catch((err: unknown) => {
        this.deps.onFault(err);
        const detail = 'the owner failed';
        reply.answer(fail({kind: 'outcome-unknown', detail}));
      })
      .finally(() => this.tell({kind: 'finished'}));
  }
}

/**
 * The refusal for an unknown id. Since a commit is sent only once, an id is
 * unknown only after a rollback.
 */
function transactionLost(): Refusal {
  return {
    kind: 'transaction-lost',
    detail: 'the owner has rolled the transaction back',
  };
}
