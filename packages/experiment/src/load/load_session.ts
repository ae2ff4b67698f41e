import type {Random} from '@pistachiorill/core';
import type {WorkspaceProfile} from '@pistachiorill/launcher';
import type {HistoryEvent} from '../history/history_event.js';
import type {AcknowledgedWrites} from './acknowledged_writes.js';
import {ClientConnection} from './client_connection.js';
import type {Answer} from './client_connection.js';
import type {PlannedRequest} from './plan_arrivals.js';
import type {RequestRecord, RequestResult} from './request_record.js';

/** Share of the requests before which a session switches to another VM. */
const VM_SWITCH_SHARE = 0.1;
const MAX_ATTEMPTS = 4;
/** A client gives up this long after the planned time of a request. */
export const CLIENT_TIMEOUT_MS = 5_000;
const STALE_AGE_MS = 1_000;
const LOOKUP_AGE_MS = 2_000;

/** Refusals after which a client immediately retries through another VM. */
const RETRY_REASONS: ReadonlySet<string> = new Set([
  'closed',
  'connect',
  'draining',
]);

const NOT_CONNECTED: Answer = {
  kind: 'error',
  outcome: 'not-run',
  reason: 'connect',
};

/** A VM to which clients can connect. */
export interface ClientTarget {
  readonly name: string;
  readonly clientPort: number;
}

/** The collaborators that all sessions of a run share. */
export interface SessionDependencies {
  readonly service: string;
  readonly targets: () => readonly ClientTarget[];
  readonly random: Random;
  /** Milliseconds since the start of the load. */
  readonly clock: () => number;
  readonly nextId: () => string;
  readonly record: (event: HistoryEvent) => void;
  readonly databaseOf: (workspace: string) => string;
}

/** One client session, which keeps its session token when it changes VMs. */
export class LoadSession {
  private connection: ClientConnection | undefined;
  private previousVm = '';
  private token = '';
  private lastWrite: string | undefined;
  private id: string;

  constructor(
    private readonly workspace: WorkspaceProfile,
    private readonly acknowledged: AcknowledgedWrites,
    private readonly deps: SessionDependencies,
  ) {
    this.id = deps.nextId();
  }

  /** Sends a request, and resends it through other VMs where that is safe. */
  async runRequest(request: PlannedRequest): Promise<RequestRecord> {
    const {random, clock} = this.deps;
    if (random.fraction() < VM_SWITCH_SHARE) this.disconnect();
    const attempt = this.prepare(request);
    let answer = NOT_CONNECTED;
    let remainingResends = 1;
    let interruptions = 0;
    for (let count = 0; count < MAX_ATTEMPTS; count += 1) {
      answer = (await this.connect()) ? await attempt() : NOT_CONNECTED;
      if (answer.kind !== 'error') break;
      if (answer.reason === 'connection') {
        interruptions += 1;
        this.disconnect();
      }
      if (clock() > request.plannedAt + CLIENT_TIMEOUT_MS) break;
      if (answer.outcome === 'unknown') {
        if (request.kind === 'transaction' || remainingResends === 0) break;
        remainingResends -= 1;
      } else if (!RETRY_REASONS.has(answer.reason)) {
        break;
      }
      this.disconnect();
    }
    return this.recordOf(request, answer, interruptions);
  }

  /** Closes the current connection, if there is one. */
  close(): void {
    this.connection?.close();
  }

  /** Returns a function that sends the same request on each call. */
  private prepare(request: PlannedRequest): () => Promise<Answer> {
    const {nextId, clock} = this.deps;
    switch (request.kind) {
      case 'write': {
        const write = nextId();
        const sql = `INSERT INTO load_write (write_id) VALUES ('${write}')`;
        return () =>
          this.write(write, sql, `route='release',request_id='${write}'`);
      }
      case 'note': {
        const write = nextId();
        const sql = `REPLACE INTO load_note (note_id) VALUES ('${write}')`;
        return () => this.write(write, sql, "route='note'");
      }
      case 'strict-read': {
        const target = this.acknowledged.newestAt(Infinity);
        return () => this.read(target, "route='invoice'", 0);
      }
      case 'stale-read':
        return () => {
          const target = this.acknowledged.newestAt(clock() - STALE_AGE_MS);
          const options = `route='lookup',max_age_ms='${STALE_AGE_MS}'`;
          return this.read(target, options, STALE_AGE_MS);
        };
      case 'own-read':
        return () => this.read(this.lastWrite, "route='lookup'", LOOKUP_AGE_MS);
      case 'transaction':
        return () => this.transaction([nextId(), nextId()]);
    }
  }

  private async write(
    write: string,
    sql: string,
    options: string,
  ): Promise<Answer> {
    const startedAt = this.deps.clock();
    const answer = await this.send(sql, options);
    const endedAt = this.deps.clock();
    const outcome = answer.kind === 'error' ? answer.outcome : 'acknowledged';
    const session = this.id;
    this.deps.record({
      kind: 'write',
      write,
      session,
      outcome,
      startedAt,
      endedAt,
    });
    if (outcome === 'acknowledged') {
      if (sql.startsWith('INSERT')) this.acknowledged.add(write, endedAt);
      await this.readToken(sql.startsWith('INSERT') ? write : this.lastWrite);
    }
    return answer;
  }

  private async read(
    target: string | undefined,
    options: string,
    maxAgeMs: number,
  ): Promise<Answer> {
    const value = this.deps.nextId();
    const wanted = target ?? 'none';
    const session = this.id;
    const startedAt = this.deps.clock();
    const answer = await this.send(
      `SELECT '${value}' AS value, (SELECT COUNT(*) FROM load_write ` +
        `WHERE write_id = '${wanted}') AS copies`,
      options,
    );
    if (answer.kind === 'error') return answer;
    const [row] = answer.kind === 'rows' ? answer.rows : [];
    this.deps.record({
      kind: 'read',
      session,
      value,
      answeredValue: String(row?.[0]),
      target: wanted,
      found: Number(row?.[1] ?? 0),
      maxAgeMs,
      startedAt,
      endedAt: this.deps.clock(),
    });
    return answer;
  }

  private async transaction(writes: readonly string[]): Promise<Answer> {
    const startedAt = this.deps.clock();
    const session = this.id;
    let beforeCommit: 'running' | 'lost' = 'running';
    let answer = await this.send('BEGIN', '');
    for (const write of writes) {
      if (answer.kind === 'error') break;
      answer = await this.send(
        `INSERT INTO load_write (write_id) VALUES ('${write}')`,
        "route='release'",
      );
    }
    const failed = answer.kind === 'error' ? answer : undefined;
    if (failed?.reason === 'transaction-lost') beforeCommit = 'lost';
    // COMMIT is also sent for a lost transaction, to check that it is refused.
    const sendsCommit = !failed || beforeCommit === 'lost';
    const last = await this.send(sendsCommit ? 'COMMIT' : 'ROLLBACK', '');
    const endedAt = this.deps.clock();
    const outcome = !sendsCommit
      ? 'not-run'
      : last.kind === 'error'
        ? last.outcome
        : 'acknowledged';
    this.deps.record({
      kind: 'transaction',
      session,
      writes,
      outcome,
      beforeCommit,
      startedAt,
      endedAt,
    });
    if (outcome === 'acknowledged' && !failed) {
      for (const write of writes) this.acknowledged.add(write, endedAt);
      await this.readToken(writes[0]);
    }
    if (!failed) return last;
    // A statement before COMMIT failed, so the transaction did not run,
    // regardless of the outcome of that statement.
    return {...failed, outcome: 'not-run'};
  }

  /** Reads the token that covers a write; if that fails, starts a new session. */
  private async readToken(write: string | undefined): Promise<void> {
    const answer = await this.send('SELECT @@pistachiorill_session', '');
    const token = answer.kind === 'rows' ? answer.rows[0]?.[0] : undefined;
    if (typeof token === 'string') {
      this.token = token;
      this.lastWrite = write;
      return;
    }
    this.disconnect();
    this.token = '';
    this.lastWrite = undefined;
    this.id = this.deps.nextId();
  }

  private async send(sql: string, options: string): Promise<Answer> {
    if (!this.connection) return NOT_CONNECTED;
    const session =
      options === '' || this.token === '' ? '' : `,session='${this.token}'`;
    const comment = options === '' ? '' : `/*${options}${session}*/ `;
    return this.connection.send(comment + sql);
  }

  private async connect(): Promise<boolean> {
    if (this.connection) return true;
    const {random, targets, service} = this.deps;
    const others = targets().filter(vm => vm.name !== this.previousVm);
    const vm = random.pick(others.length > 0 ? others : targets());
    if (!vm) return false;
    this.previousVm = vm.name;
    this.connection = await ClientConnection.open(vm.name, {
      port: vm.clientPort,
      user: this.workspace.name,
      password: this.workspace.key,
      database: service,
    });
    return this.connection !== undefined;
  }

  private disconnect(): void {
    this.connection?.close();
    this.connection = undefined;
  }

  private recordOf(
    request: PlannedRequest,
    answer: Answer,
    interruptions: number,
  ): RequestRecord {
    return {
      workspace: request.workspace,
      database: this.deps.databaseOf(request.workspace),
      vm: this.previousVm,
      kind: request.kind,
      rate: request.rate,
      plannedAt: request.plannedAt,
      endedAt: this.deps.clock(),
      result: resultOf(answer),
      reason: answer.kind === 'error' ? answer.reason : '',
      interruptions,
    };
  }
}

function resultOf(answer: Answer): RequestResult {
  if (answer.kind !== 'error') return 'answered';
  switch (answer.outcome) {
    case 'not-run':
      return 'refused';
    case 'unknown':
      return 'unknown';
    case 'failed':
      return 'failed';
  }
}
