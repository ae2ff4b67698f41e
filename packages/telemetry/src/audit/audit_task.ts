import type {Result} from '@pistachiorill/core';
import {Task} from '@pistachiorill/tasks';
import type {Reply} from '@pistachiorill/tasks';
import {auditName} from './audit_entry.js';
import type {AuditEntry} from './audit_entry.js';

const MAX_BUFFERED_ENTRIES = 1_000;
const RETRY_DELAY_MS = 1_000;

/** Stores audit entries. The platform's object store implements it. */
export interface AuditSink {
  put(name: string, body: string): Promise<Result<void, unknown>>;
}

/** The messages of `AuditTask`. */
export type AuditMessage =
  /** Adds an entry, which gets the current time. */
  | {readonly kind: 'record'; readonly entry: Omit<AuditEntry, 'time'>}
  /** Sends the buffered entries and schedules a retry if any remain. */
  | {readonly kind: 'send'}
  /** Sends the buffered entries once; replies with the number that remain. */
  | {readonly kind: 'flush'; readonly reply: Reply<number>};

interface BufferedEntry {
  readonly name: string;
  readonly entry: AuditEntry;
}

/** The settings and callbacks of `AuditTask`. */
export interface AuditOptions {
  /** Identifies one run of a process; part of the object names. */
  readonly writer: string;
  readonly wallClock: () => Date;
  /**
   * Returns the delay before an entry is sent. It differs between VMs, because
   * hundreds of them may record the same change at the same time.
   */
  readonly sendDelayMs: () => number;
  /** Called after each message with the number of buffered entries. */
  readonly onBuffered?: (entries: number) => void;
  readonly onFault: (err: unknown) => void;
}

/** Buffers audit entries until the object store has accepted them. */
export class AuditTask extends Task<AuditMessage> {
  private buffer: BufferedEntry[] = [];
  private sequence = 0;
  private dropped = 0;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly sink: AuditSink,
    private readonly options: AuditOptions,
  ) {
    super();
  }

  protected override async handle(message: AuditMessage): Promise<void> {
    await this.process(message);
    this.options.onBuffered?.(this.buffer.length);
  }

  private async process(message: AuditMessage): Promise<void> {
    switch (message.kind) {
      case 'record':
        this.record(message.entry);
        return;
      case 'send':
        await this.send();
        return;
      case 'flush':
        await this.sendAll();
        message.reply.answer(this.buffer.length);
        return;
    }
  }

  protected override onFailure(err: unknown): void {
    this.options.onFault(err);
    this.schedule(RETRY_DELAY_MS);
  }

  override async stop(): Promise<void> {
    await super.stop();
    clearTimeout(this.timer);
  }

  private record(entry: Omit<AuditEntry, 'time'>): void {
    this.addToBuffer(entry);
    if (this.buffer.length > MAX_BUFFERED_ENTRIES) {
      this.buffer.shift();
      this.dropped += 1;
    }
    if (!this.timer) this.schedule(this.options.sendDelayMs());
  }

  private addToBuffer(entry: Omit<AuditEntry, 'time'>): void {
    const complete = {
      time: this.options.wallClock().toISOString(),
      ...entry,
    };
    const name = auditName(complete, this.options.writer, this.sequence);
    this.sequence += 1;
    this.buffer.push({name, entry: complete});
  }

  private async send(): Promise<void> {
    this.timer = undefined;
    await this.sendAll();
    if (this.buffer.length > 0) this.schedule(RETRY_DELAY_MS);
  }

  private async sendAll(): Promise<void> {
    while (this.buffer.length > 0) {
      const first = this.buffer[0] as BufferedEntry;
      // Repeating a put is safe: it writes the same body under the same name.
      const put = await this.sink.put(first.name, JSON.stringify(first.entry));
      if (!put.ok) return;
      this.buffer.shift();
      if (this.buffer.length === 0 && this.dropped > 0) this.recordDropped();
    }
  }

  private recordDropped(): void {
    const {dropped} = this;
    this.dropped = 0;
    this.addToBuffer({
      actor: this.options.writer,
      action: 'entries-dropped',
      subject: 'audit',
      before: '',
      after: `${dropped} entries were dropped while the store was down`,
      operationId: '',
    });
  }

  private schedule(delayMs: number): void {
    clearTimeout(this.timer);
    this.timer = setTimeout(() => this.tell({kind: 'send'}), delayMs);
  }
}
