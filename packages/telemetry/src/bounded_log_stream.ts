import {write} from 'node:fs';

/** Limits the memory for log text while its reader is too slow. */
const MAX_BUFFERED_BYTES = 256 * 1_024;
/** Records beyond this rate are dropped and counted. */
const MAX_RECORDS_PER_SECOND = 200;

/** Writes text without blocking and calls `done` when it is written. */
export type WriteText = (text: string, done: () => void) => void;

/**
 * A log stream that never blocks. Records that exceed the rate or the buffer
 * are dropped; a `log.dropped` record before the next one that is written
 * states how many.
 */
export class BoundedLogStream {
  private buffer: string[] = [];
  private bufferedBytes = 0;
  private dropped = 0;
  private window = {startedAt: 0, records: 0};
  private state: 'idle' | 'writing' = 'idle';

  constructor(
    private readonly clock: () => number,
    private readonly writeText: WriteText = writeToStdout,
  ) {}

  /** Writes one record or drops it. Called by the logger. */
  write(record: string): void {
    const now = this.clock();
    if (now - this.window.startedAt >= 1_000) {
      this.window = {startedAt: now, records: 0};
    }
    this.window.records++;
    const exceedsLimit =
      this.window.records > MAX_RECORDS_PER_SECOND ||
      this.bufferedBytes + record.length > MAX_BUFFERED_BYTES;
    if (exceedsLimit) {
      this.dropped++;
      return;
    }
    if (this.dropped > 0) {
      this.push(`{"event":"log.dropped","records":${this.dropped}}\n`);
      this.dropped = 0;
    }
    this.push(record);
    this.flush();
  }

  private push(text: string): void {
    this.buffer.push(text);
    this.bufferedBytes += text.length;
  }

  private flush(): void {
    if (this.state === 'writing' || this.buffer.length === 0) return;
    const text = this.buffer.join('');
    this.buffer = [];
    this.bufferedBytes = 0;
    this.state = 'writing';
    this.writeText(text, () => {
      this.state = 'idle';
      this.flush();
    });
  }
}

const STDOUT = 1;

/** Writes in a worker thread of Node.js, as a write to a pipe may block. */
function writeToStdout(text: string, done: () => void): void {
  const bytes = Buffer.from(text);
  const writeFrom = (offset: number): void => {
    write(STDOUT, bytes, offset, (err, written) => {
      // An error is ignored: it could be reported only to this log.
      if (err || offset + written >= bytes.length) done();
      else writeFrom(offset + written);
    });
  };
  writeFrom(0);
}
