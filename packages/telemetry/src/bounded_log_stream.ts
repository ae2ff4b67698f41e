import {write} from 'node:fs';

/** Log text that waits for a reader that is slower than the writer. */
const BUFFER_LIMIT_BYTES = 256 * 1_024;
/** Records of one second; more are counted and left out. */
const RECORDS_PER_SECOND = 200;

/** Writes text to a file descriptor without waiting. */
export type WriteText = (text: string, done: () => void) => void;

/**
 * Takes log records without ever blocking. What exceeds the rate or the buffer
 * is left out, and a record says how much.
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

  write(record: string): void {
    const now = this.clock();
    if (now - this.window.startedAt >= 1_000) {
      this.window = {startedAt: now, records: 0};
    }
    this.window.records++;
    const isOver =
      this.window.records > RECORDS_PER_SECOND ||
      this.bufferedBytes + record.length > BUFFER_LIMIT_BYTES;
    if (isOver) {
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

/** Uses a worker of the runtime, as writing to a pipe may block. */
function writeToStdout(text: string, done: () => void): void {
  const bytes = Buffer.from(text);
  const writeFrom = (offset: number): void => {
    write(STDOUT, bytes, offset, (err, written) => {
      // A log that cannot be written has nowhere to report that.
      if (err || offset + written >= bytes.length) done();
      else writeFrom(offset + written);
    });
  };
  writeFrom(0);
}
