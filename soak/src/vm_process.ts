import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {
  closeSync,
  fstatSync,
  openSync,
  renameSync,
  statSync,
  writeFileSync,
} from 'node:fs';
import {join} from 'node:path';
import {LOOPBACK_HOST} from '@pistachiorill/platform/standins';
import type {VmEndpoints} from '@pistachiorill/platform/standins';

/** Ports of one VM, which are reserved before it starts. */
export interface VmPorts {
  readonly callers: number;
  readonly readiness: number;
  readonly peers: number;
  readonly metrics: number;
}

/** The time between SIGTERM and SIGKILL at a planned stop. */
export const GRACE_MS = 3_000;
/** The windows of usage reports; shorter than usual, as runs are short. */
export const USAGE_WINDOW_MS = 1_000;
/** The time within which two VMs may not send usage reports in turns. */
export const USAGE_LEASE_MS = 1_000;
const ENDING_SIGNALS: ReadonlySet<NodeJS.Signals> = new Set([
  'SIGTERM',
  'SIGINT',
  'SIGKILL',
]);

/** One gateway process, which the soak test starts, signals and restarts. */
export class VmProcess {
  private child: ChildProcess | undefined;
  private logLevel: 'info' | 'debug' = 'info';
  private readonly settingsPath: string;
  private readonly logPath: string;
  /** The processes that were sent a signal that may end them. */
  private readonly ended = new WeakSet<ChildProcess>();
  private readonly exits: string[] = [];
  private killed = 0;

  constructor(
    readonly name: string,
    readonly ports: VmPorts,
    readonly paths: VmEndpoints,
    private readonly program: string,
    folder: string,
  ) {
    this.settingsPath = join(folder, `${name}.ini`);
    this.logPath = join(folder, `${name}.log`);
    this.writeSettings();
  }

  /** The address to which callers connect. */
  get callerAddress(): string {
    return `${LOOPBACK_HOST}:${this.ports.callers}`;
  }

  /** Exit codes or signals of processes that nobody had signalled to end. */
  get unexpectedExits(): readonly string[] {
    return this.exits;
  }

  /** How many processes SIGKILL ended at the end of the grace period. */
  get overdueStops(): number {
    return this.killed;
  }

  /** The id of the process, if it runs. */
  get pid(): number | undefined {
    return this.runningChild()?.pid;
  }

  /**
   * Starts the process unless it runs: faults that overlap may both start it.
   * Its output is appended to the log of the VM. A process that ends by itself
   * is started again.
   */
  start(): void {
    if (this.runningChild()) return;
    const log = openSync(this.logPath, 'a');
    const logSize = fstatSync(log).size;
    const child = spawn(
      process.execPath,
      [this.program, 'serve', '--settings', this.settingsPath],
      {stdio: ['ignore', log, log]},
    );
    closeSync(log);
    child.once('exit', (code, signal) => {
      if (this.ended.has(child)) return;
      // The runtime handles no SIGHUP before it has loaded the program.
      const hasRun = statSync(this.logPath).size > logSize;
      if (signal !== 'SIGHUP' || hasRun) this.exits.push(`${signal ?? code}`);
      this.start();
    });
    this.child = child;
  }

  /** Sends a signal without waiting for its effect. */
  signal(signal: NodeJS.Signals): void {
    const {child} = this;
    if (child && ENDING_SIGNALS.has(signal)) this.ended.add(child);
    child?.kill(signal);
  }

  /** Changes the settings file and announces this with SIGHUP. */
  reload(): void {
    this.logLevel = this.logLevel === 'info' ? 'debug' : 'info';
    this.writeSettings();
    this.signal('SIGHUP');
  }

  /**
   * Stops the process as the platform does, with SIGTERM and, at the end of the
   * grace period, SIGKILL. Waits for its exit.
   */
  async stop(): Promise<void> {
    const child = this.runningChild();
    const timer = setTimeout(() => {
      if (child?.kill('SIGKILL')) this.killed++;
    }, GRACE_MS);
    await this.end('SIGTERM');
    clearTimeout(timer);
  }

  /** Ends the process and waits for its exit; does nothing after an exit. */
  async end(signal: 'SIGTERM' | 'SIGKILL'): Promise<void> {
    const child = this.runningChild();
    if (!child) return;
    const exited = new Promise(resolve => child.once('exit', resolve));
    this.ended.add(child);
    child.kill(signal);
    await exited;
  }

  private runningChild(): ChildProcess | undefined {
    const {child} = this;
    const hasEnded =
      !child || child.exitCode !== null || child.signalCode !== null;
    return hasEnded ? undefined : child;
  }

  /** Replaces the file, as a process that starts may be reading it. */
  private writeSettings(): void {
    const newPath = `${this.settingsPath}.new`;
    writeFileSync(newPath, this.settings());
    renameSync(newPath, this.settingsPath);
  }

  /** Renders the settings file of the gateway. */
  private settings(): string {
    const {callers, readiness, peers, metrics} = this.ports;
    return [
      '[vm]',
      `name = ${this.name}`,
      `data_centre = dc-${this.name.at(-1)}`,
      'region = soak',
      '[listen]',
      `callers = ${LOOPBACK_HOST}:${callers}`,
      `readiness = ${LOOPBACK_HOST}:${readiness}`,
      `peers = ${LOOPBACK_HOST}:${peers}`,
      `metrics = ${LOOPBACK_HOST}:${metrics}`,
      '[store]',
      `address = ${this.paths.storeAddress}`,
      '[orders]',
      `address = ${this.paths.orderAddress}`,
      '[limits]',
      `grace_ms = ${GRACE_MS}`,
      '[usage]',
      `window_s = ${USAGE_WINDOW_MS / 1_000}`,
      'late_s = 2',
      `lease_ms = ${USAGE_LEASE_MS}`,
      '[log]',
      `level = ${this.logLevel}`,
      '',
    ].join('\n');
  }
}
