import type {Random} from '@pistachiorill/core';
import {sleep} from '@pistachiorill/tasks';
import {
  DATABASES,
  LineClient,
  SLOW_ITEM,
  WORKSPACES,
  databaseName,
  accessKey,
  executedText,
} from '@pistachiorill/platform/standins';
import type {
  ClientAnswer,
  ClientCommand,
  DatabaseKind,
  History,
  Operation,
  OperationKind,
  OperationOutcome,
  SentStatement,
} from '@pistachiorill/platform/standins';
import type {CallerPace} from './caller_pace.js';

const RECONNECT_DELAY_MS = 100;
const STARTUP_POLL_MS = 10;
const ITEM_COUNT = 20;
/** The share of single statements that are reads. */
const READ_SHARE = 9 / 14;

/** The settings and collaborators of a caller. */
export interface CallerDependencies {
  readonly name: string;
  readonly groups: readonly string[];
  /** Addresses of the VMs, one of which each session connects to. */
  readonly addresses: readonly string[];
  readonly pace: CallerPace;
  readonly random: Random;
  readonly clock: () => number;
  readonly history: History;
}

interface CallerSession {
  readonly id: string;
  readonly address: string;
  readonly client: LineClient;
  readonly group: string;
  readonly database: DatabaseKind;
  readonly key: string;
}

/** Runs random operations in consecutive sessions and records them. */
export class Caller {
  /** Number of sessions opened so far; the last part of a session's id. */
  private sessions = 0;
  /** Number of statements sent so far; the last part of a statement's id. */
  private statements = 0;
  private phase: 'running' | 'stopped' = 'running';

  constructor(private readonly deps: CallerDependencies) {}

  /** Runs until `stop` is called, and reconnects after lost connections. */
  async run(): Promise<void> {
    while (this.isRunning()) {
      const session = await this.open();
      if (!session) {
        await sleep(RECONNECT_DELAY_MS);
        continue;
      }
      const {pace, random} = this.deps;
      for (let i = 0; i < pace.operationsPerSession; i++) {
        if (!this.isRunning() || !session.client.isOpen) break;
        await this.runOperation(session);
        const pauseMs = pace.pauseMs(random);
        if (pauseMs > 0) await sleep(pauseMs);
      }
      session.client.close();
    }
  }

  /** Ends `run` after the current operation. */
  stop(): void {
    this.phase = 'stopped';
  }

  private isRunning(): boolean {
    return this.phase === 'running';
  }

  private async open(): Promise<CallerSession | undefined> {
    const id = `${this.deps.name}.${++this.sessions}`;
    const group = this.pick(this.deps.groups);
    const database = this.pick(DATABASES);
    const key = accessKey(
      this.pick(WORKSPACES),
      this.deps.random.integer(1, this.deps.pace.keys),
    );
    const address = this.pick(this.deps.addresses);
    const name = databaseName(group, database);
    const {clock, history, pace} = this.deps;
    const client = new LineClient(
      address,
      {history, clock},
      pace.onCloseRequest,
    );
    const startUpAt = clock() + this.pick(pace.startUpDelaysMs);
    while (this.isRunning() && !client.isClosed && clock() < startUpAt) {
      await sleep(STARTUP_POLL_MS);
    }
    if (!(await client.startUp(name, key))) return undefined;
    const tagged = await client.run(this.nextId(), {
      kind: 'tag',
      value: id,
    });
    await client.run(this.nextId(), {kind: 'prepare'});
    if (tagged.kind === 'complete') {
      return {id, address, client, group, database, key};
    }
    client.close();
    return undefined;
  }

  private async runOperation(session: CallerSession): Promise<void> {
    const roll = this.deps.random.fraction();
    const single = 1 - this.deps.pace.transactionShare;
    if (roll < single * READ_SHARE) await this.read(session);
    else if (roll < single) await this.write(session);
    else await this.runTransaction(session);
  }

  private async read(session: CallerSession): Promise<void> {
    const startedAt = this.deps.clock();
    const item = this.randomItem();
    const isPrepared = this.deps.random.fraction() < 0.5;
    const kind = isPrepared ? 'read-prepared' : 'read';
    const [statement, answer] = await this.send(session, {kind, item});
    const outcome = answer.kind === 'complete' ? 'success' : 'unknown';
    this.recordOperation(
      session,
      'read',
      startedAt,
      [statement],
      outcome,
      answer,
    );
  }

  private async write(session: CallerSession): Promise<void> {
    const startedAt = this.deps.clock();
    const data = `${session.id}-${this.statements}`;
    const [statement, answer] = await this.send(session, {
      kind: 'write',
      item: this.randomItem(),
      data,
    });
    const outcome = outcomeOf(answer);
    this.recordOperation(
      session,
      'write',
      startedAt,
      [statement],
      outcome,
      answer,
      data,
    );
  }

  /**
   * Runs a transaction. If it ends before COMMIT is sent, with a rollback or a
   * closed connection, none of its changes may be committed.
   */
  private async runTransaction(session: CallerSession): Promise<void> {
    const startedAt = this.deps.clock();
    const data = `${session.id}-${this.statements}`;
    const statements: SentStatement[] = [];
    const disconnects = this.deps.random.fraction() < 0.1;
    const record = (outcome: OperationOutcome, last: ClientAnswer): void =>
      this.recordOperation(
        session,
        'transaction',
        startedAt,
        statements,
        outcome,
        last,
        data,
      );
    await this.send(session, {kind: 'begin'});
    const commands: readonly ClientCommand[] = [
      {kind: 'read', item: this.randomItem()},
      {kind: 'write', item: this.randomItem(), data},
    ];
    for (const command of commands) {
      const [statement, answer] = await this.send(session, command);
      statements.push(statement);
      if (answer.kind !== 'complete') {
        await this.send(session, {kind: 'rollback'});
        return record('nothing-kept', answer);
      }
      await sleep(this.deps.pace.transactionPauseMs(this.deps.random));
    }
    if (disconnects) {
      session.client.close();
      return record('nothing-kept', {kind: 'none', detail: 'left'});
    }
    const [commit, answer] = await this.send(session, {kind: 'commit'});
    statements.push(commit);
    record(outcomeOf(answer), answer);
  }

  private async send(
    session: CallerSession,
    command: ClientCommand,
  ): Promise<[SentStatement, ClientAnswer]> {
    const id = this.nextId();
    const sentAt = this.deps.clock();
    const answer = await session.client.run(id, command);
    const statement: SentStatement = {
      id,
      text: executedText(command),
      access: command.kind.startsWith('read') ? 'read' : 'write',
      sentAt,
      answer:
        answer.kind === 'complete'
          ? {signature: answer.signature, rows: answer.rows}
          : undefined,
    };
    return [statement, answer];
  }

  private recordOperation(
    {id, address, group, database, key}: CallerSession,
    kind: OperationKind,
    startedAt: number,
    statements: readonly SentStatement[],
    outcome: OperationOutcome,
    last: ClientAnswer,
    data?: string,
  ): void {
    const operation: Operation = {
      session: id,
      address,
      group,
      database,
      key,
      kind,
      statements,
      data,
      startedAt,
      endedAt: this.deps.clock(),
      outcome,
      detail: JSON.stringify(last),
    };
    this.deps.history.operations.push(operation);
  }

  private randomItem(): string {
    const {slowShare} = this.deps.pace;
    if (slowShare > 0 && this.deps.random.fraction() < slowShare) {
      return SLOW_ITEM;
    }
    return `item${this.deps.random.integer(1, ITEM_COUNT)}`;
  }

  private nextId(): string {
    return `${this.deps.name}-${++this.statements}`;
  }

  private pick<T>(items: readonly T[]): T {
    return items[this.deps.random.integer(0, items.length - 1)] as T;
  }
}

/** Returns what a response guarantees about a write or a commit. */
function outcomeOf(answer: ClientAnswer): OperationOutcome {
  if (answer.kind === 'complete') return 'success';
  if (answer.kind === 'none') return 'unknown';
  return answer.promise === 'nothing-kept' ? 'nothing-kept' : 'unknown';
}
