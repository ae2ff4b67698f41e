import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';

const START_TIMEOUT_MS = 15_000;
const MAX_OUTPUT_CHUNKS = 200;

/** A Node.js process that runs a bundled program. */
export class ProgramProcess {
  private readonly output: string[] = [];
  private readonly exited: Promise<number | null>;

  private constructor(
    readonly name: string,
    private readonly child: ChildProcess,
  ) {
    this.exited = new Promise(resolve => child.once('exit', resolve));
    for (const stream of [child.stdout, child.stderr]) {
      stream?.setEncoding('utf8');
      stream?.on('data', text => this.keep(String(text)));
    }
  }

  /**
   * Starts a program and waits until its output contains `readyText`. Throws if
   * the process exits before or does not print the text in time.
   */
  static async start(
    name: string,
    program: string,
    args: readonly string[],
    readyText: string,
  ): Promise<ProgramProcess> {
    const child = new ProgramProcess(
      name,
      spawn(process.execPath, [program, ...args], {
        stdio: ['ignore', 'pipe', 'pipe'],
      }),
    );
    await child.waitForOutput(readyText);
    return child;
  }

  /** Sends a signal, such as SIGKILL, SIGSTOP or SIGCONT. */
  signal(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /** Sends SIGTERM and waits for the exit code. */
  async stop(): Promise<number | null> {
    this.child.kill('SIGTERM');
    return this.exited;
  }

  /** Sends SIGKILL and waits until the process has exited. */
  async kill(): Promise<void> {
    this.child.kill('SIGKILL');
    await this.exited;
  }

  /** The process id; 0 if the process could not be started. */
  get pid(): number {
    return this.child.pid ?? 0;
  }

  /** Whether the process still runs. */
  get state(): 'running' | 'ended' {
    const {exitCode, signalCode} = this.child;
    return exitCode === null && signalCode === null ? 'running' : 'ended';
  }

  /** The most recent output of the process. */
  get log(): string {
    return this.output.join('');
  }

  /** Appends output and drops the oldest chunk beyond the limit. */
  private keep(text: string): void {
    this.output.push(text);
    if (this.output.length > MAX_OUTPUT_CHUNKS) this.output.shift();
  }

  private async waitForOutput(text: string): Promise<void> {
    const until = Date.now() + START_TIMEOUT_MS;
    while (!this.log.includes(text)) {
      if (this.child.exitCode !== null || Date.now() > until) {
        throw new Error(`${this.name} did not start:\n${this.log}`);
      }
      await new Promise(resolve => setTimeout(resolve, 10));
    }
  }
}
