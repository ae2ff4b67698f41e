import type {Random} from '@pistachiorill/core';
import {sleep} from '@pistachiorill/tasks';
import {
  DATABASES,
  LineClient,
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

/** The caller opens a new session after this many operations. */
const OPERATIONS_PER_SESSION = 25;
const MAX_PAUSE_MS = 60;
const RECONNECT_DELAY_MS = 100;
const ITEM_COUNT = 20;

/** The settings and collaborators of a caller. */
export interface CallerDependencies {
  readonly name: string;
  readonly groups: readonly string[];
  /** Addresses of the VMs, one of which each session connects to. */
  readonly addresses: readonly string[];
  readonly random: Random;
  readonly clock: () => number;
  readonly history: History;
}

interface CallerSession {
  readonly id: string;
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
      for (let i = 0; i < OPERATIONS_PER_SESSION; i++) {
        if (!this.isRunning() || !session.client.isOpen) break;
        await this.runOperation(session);
        await sleep(this.deps.random.integer(0, MAX_PAUSE_MS));
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
      this.deps.random.integer(1, 2),
    );
    const address = this.pick(this.deps.addresses);
    const name = databaseName(group, database);
    const client = await LineClient.open(address, name, key);
    if (!client) return undefined;
    const tagged = await client.run(this.nextId(), {
      kind: 'tag',
      value: id,
    });
    await client.run(this.nextId(), {kind: 'prepare'});
    if (tagged.kind === 'complete') return {id, client, group, database, key};
    client.close();
    return undefined;
  }

  private async runOperation(session: CallerSession): Promise<void> {
    const roll = this.deps.random.fraction();
    if (roll < 0.45) await this.read(session);
    else if (roll < 0.7) await this.write(session);
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
      await sleep(this.deps.random.integer(0, MAX_PAUSE_MS));
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
    {id, group, database, key}: CallerSession,
    kind: OperationKind,
    startedAt: number,
    statements: readonly SentStatement[],
    outcome: OperationOutcome,
    last: ClientAnswer,
    data?: string,
  ): void {
    const operation: Operation = {
      session: id,
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
