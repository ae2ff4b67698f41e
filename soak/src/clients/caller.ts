import type {Random} from '@pistachiorill/core';
import {sleep} from '@pistachiorill/tasks';
import {
  DATABASES,
  LineClient,
  WORKSPACES,
  databaseName,
  keyOf,
  textAtMember,
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

/** Operations after which a caller opens another session. */
const OPERATIONS_PER_SESSION = 25;
const MAX_PAUSE_MS = 60;
const RECONNECT_MS = 100;
const ITEMS = 20;

export interface CallerTools {
  readonly name: string;
  readonly groups: readonly string[];
  /** Addresses of the VMs. */
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

/** A caller that works until it is stopped, one session after the other. */
export class Caller {
  private sessions = 0;
  private statements = 0;
  private phase: 'running' | 'stopped' = 'running';

  constructor(private readonly tools: CallerTools) {}

  async run(): Promise<void> {
    while (this.isRunning()) {
      const session = await this.open();
      if (!session) {
        await sleep(RECONNECT_MS);
        continue;
      }
      for (let i = 0; i < OPERATIONS_PER_SESSION; i++) {
        if (!this.isRunning() || !session.client.isOpen) break;
        await this.operate(session);
        await sleep(this.tools.random.integer(0, MAX_PAUSE_MS));
      }
      session.client.close();
    }
  }

  stop(): void {
    this.phase = 'stopped';
  }

  private isRunning(): boolean {
    return this.phase === 'running';
  }

  private async open(): Promise<CallerSession | undefined> {
    const id = `${this.tools.name}.${++this.sessions}`;
    const group = this.pick(this.tools.groups);
    const database = this.pick(DATABASES);
    const key = keyOf(this.pick(WORKSPACES), this.tools.random.integer(1, 2));
    const address = this.pick(this.tools.addresses);
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

  private async operate(session: CallerSession): Promise<void> {
    const roll = this.tools.random.fraction();
    if (roll < 0.45) await this.read(session);
    else if (roll < 0.7) await this.write(session);
    else await this.transact(session);
  }

  private async read(session: CallerSession): Promise<void> {
    const startedAt = this.tools.clock();
    const item = this.item();
    const isPrepared = this.tools.random.fraction() < 0.5;
    const kind = isPrepared ? 'read-prepared' : 'read';
    const [statement, answer] = await this.send(session, {kind, item});
    const outcome = answer.kind === 'complete' ? 'success' : 'unknown';
    this.note(session, 'read', startedAt, [statement], outcome, answer);
  }

  private async write(session: CallerSession): Promise<void> {
    const startedAt = this.tools.clock();
    const data = `${session.id}-${this.statements}`;
    const [statement, answer] = await this.send(session, {
      kind: 'write',
      item: this.item(),
      data,
    });
    const outcome = outcomeOf(answer);
    this.note(session, 'write', startedAt, [statement], outcome, answer, data);
  }

  /** A transaction; until its commit is sent nothing of it may be kept. */
  private async transact(session: CallerSession): Promise<void> {
    const startedAt = this.tools.clock();
    const data = `${session.id}-${this.statements}`;
    const statements: SentStatement[] = [];
    const leaves = this.tools.random.fraction() < 0.1;
    const note = (outcome: OperationOutcome, last: ClientAnswer): void =>
      this.note(
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
      {kind: 'read', item: this.item()},
      {kind: 'write', item: this.item(), data},
    ];
    for (const command of commands) {
      const [statement, answer] = await this.send(session, command);
      statements.push(statement);
      if (answer.kind !== 'complete') {
        await this.send(session, {kind: 'rollback'});
        return note('nothing-kept', answer);
      }
      await sleep(this.tools.random.integer(0, MAX_PAUSE_MS));
    }
    if (leaves) {
      session.client.close();
      return note('nothing-kept', {kind: 'none', detail: 'left'});
    }
    const [commit, answer] = await this.send(session, {kind: 'commit'});
    statements.push(commit);
    note(outcomeOf(answer), answer);
  }

  private async send(
    session: CallerSession,
    command: ClientCommand,
  ): Promise<[SentStatement, ClientAnswer]> {
    const id = this.nextId();
    const sentAt = this.tools.clock();
    const answer = await session.client.run(id, command);
    const statement: SentStatement = {
      id,
      text: textAtMember(command),
      access: command.kind.startsWith('read') ? 'read' : 'write',
      sentAt,
      answer:
        answer.kind === 'complete'
          ? {signature: answer.signature, rows: answer.rows}
          : undefined,
    };
    return [statement, answer];
  }

  private note(
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
      endedAt: this.tools.clock(),
      outcome,
      detail: JSON.stringify(last),
    };
    this.tools.history.operations.push(operation);
  }

  private item(): string {
    return `item${this.tools.random.integer(1, ITEMS)}`;
  }

  private nextId(): string {
    return `${this.tools.name}-${++this.statements}`;
  }

  private pick<T>(items: readonly T[]): T {
    return items[this.tools.random.integer(0, items.length - 1)] as T;
  }
}

/** What an answer promises of a write or a commit. */
function outcomeOf(answer: ClientAnswer): OperationOutcome {
  if (answer.kind === 'complete') return 'success';
  if (answer.kind === 'none') return 'unknown';
  return answer.promise === 'nothing-kept' ? 'nothing-kept' : 'unknown';
}
