import {setTimeout as delay} from 'node:timers/promises';
import {fail, ok} from '@pistachiorill/core';
import {BackendConnection} from '@pistachiorill/mysql';
import type {BackendCredentials, BackendError} from '@pistachiorill/mysql';
import {Task, ask} from '@pistachiorill/tasks';
import type {Result} from '@pistachiorill/core';
import type {MemberFaults} from './member_faults.js';
import type {RoleChange} from './member_task.js';
import {decodeLogReply} from './log_codec.js';
import type {LogReply} from './member_log.js';
import type {MemberMessage} from './member_message.js';
import type {LogPosition} from '@pistachiorill/core';

const CALL_TIMEOUT_MS = 1_000;
const RETRY_DELAY_MS = 50;
const POLL_INTERVAL_MS = 2;

/** A role change, or the next fetch of the replication it belongs to. */
export type ReplicationMessage =
  RoleChange | {readonly kind: 'pull'; readonly generation: number};

/**
 * Polls the primary's log and sends new entries to the member's task. Each
 * role change starts a new generation; pulls of older ones are ignored.
 */
export class ReplicationTask extends Task<ReplicationMessage> {
  private connection: BackendConnection | undefined;
  private primary = '';
  private term = 0;
  private end: LogPosition = {term: 0, position: 0};
  private generation = 0;
  private timer: NodeJS.Timeout | undefined;
  /** Makes a running pull fail immediately. */
  private interrupt: () => void = () => undefined;

  constructor(
    private readonly credentials: BackendCredentials,
    private readonly send: (message: MemberMessage) => void,
    private readonly faults: MemberFaults,
    private readonly name: string,
  ) {
    super();
  }

  /**
   * Changes the role. A running pull is interrupted, as one from an unresponsive
   * former primary would block until its timeout.
   */
  change(change: RoleChange): void {
    this.interrupt();
    this.tell(change);
  }

  protected override async handle(message: ReplicationMessage): Promise<void> {
    if (message.kind === 'follow') {
      this.connection?.close();
      this.primary = message.primary;
      this.term = message.term;
      this.generation += 1;
      this.end = await this.deliver({kind: 'entries', entries: []});
      this.schedule(0);
      return;
    }
    if (message.kind === 'lead') {
      this.connection?.close();
      this.generation += 1;
      clearTimeout(this.timer);
      return;
    }
    if (message.generation !== this.generation) return;
    const interrupted = new Promise<'failed'>(resolve => {
      this.interrupt = () => resolve('failed');
    });
    const pulled = await this.pull(interrupted);
    this.schedule(pulled === 'failed' ? RETRY_DELAY_MS : POLL_INTERVAL_MS);
  }

  protected override onFailure(err: unknown): void {
    console.error(`replication of ${this.name} failed: ${String(err)}`);
    this.schedule(RETRY_DELAY_MS);
  }

  private schedule(delayMs: number): void {
    clearTimeout(this.timer);
    const {generation} = this;
    this.timer = setTimeout(() => {
      this.tell({kind: 'pull', generation});
    }, delayMs);
  }

  private async pull(
    interrupted: Promise<'failed'>,
  ): Promise<'pulled' | 'failed'> {
    const {cutFrom, receiveLagMs} = this.faults.settings;
    if (cutFrom.includes(this.primary)) return 'failed';
    const log = await Promise.race([this.fetch(), interrupted]);
    if (log === 'failed' || !log.ok) return 'failed';
    const empty =
      log.value.kind === 'entries' && log.value.entries.length === 0;
    if (receiveLagMs > 0 && !empty) {
      const lag = delay(receiveLagMs).then(() => 'passed' as const);
      const waited = await Promise.race([lag, interrupted]);
      if (waited === 'failed') return 'failed';
    }
    const running = this.faults
      .waitUntilRunning()
      .then(() => 'running' as const);
    const state = await Promise.race([running, interrupted]);
    if (state === 'failed') return 'failed';
    this.end = await this.deliver(log.value);
    return 'pulled';
  }

  private async fetch(): Promise<Result<LogReply, BackendError>> {
    const {generation} = this;
    if (!this.connection?.isUsable) {
      const opened = await BackendConnection.open(
        this.primary,
        this.credentials,
        CALL_TIMEOUT_MS,
      );
      if (!opened.ok) return opened;
      // The role changed while the connection was opened.
      if (generation !== this.generation) {
        opened.value.close();
        return fail({kind: 'lost', detail: 'replication was interrupted'});
      }
      this.connection = opened.value;
    }
    const {term, position} = this.end;
    const result = await this.connection.query(
      `CALL group_log(${this.term}, ${term}, ${position})`,
      CALL_TIMEOUT_MS,
    );
    return result.ok ? ok(decodeLogReply(result.value)) : result;
  }

  private deliver(
    log: ReturnType<typeof decodeLogReply>,
  ): Promise<LogPosition> {
    return ask<LogPosition>(reply => {
      this.send({kind: 'replicated', term: this.term, log, reply});
    });
  }
}
