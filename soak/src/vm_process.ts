import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {closeSync, openSync, writeFileSync} from 'node:fs';
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

const GRACE_MS = 3_000;

/** One gateway process, which the soak test starts, signals and restarts. */
export class VmProcess {
  private child: ChildProcess | undefined;
  private readonly settingsPath: string;
  private readonly logPath: string;

  constructor(
    readonly name: string,
    readonly ports: VmPorts,
    readonly paths: VmEndpoints,
    private readonly program: string,
    folder: string,
  ) {
    this.settingsPath = join(folder, `${name}.ini`);
    this.logPath = join(folder, `${name}.log`);
    writeFileSync(this.settingsPath, this.settings());
  }

  /** The address to which callers connect. */
  get callerAddress(): string {
    return `${LOOPBACK_HOST}:${this.ports.callers}`;
  }

  /**
   * Starts the process unless it runs: faults that overlap may both start it.
   * Its output is appended to the log of the VM.
   */
  start(): void {
    if (this.runningChild()) return;
    const log = openSync(this.logPath, 'a');
    this.child = spawn(
      process.execPath,
      [this.program, 'serve', '--settings', this.settingsPath],
      {stdio: ['ignore', log, log]},
    );
    closeSync(log);
  }

  /** Sends a signal without waiting for its effect. */
  signal(signal: NodeJS.Signals): void {
    this.child?.kill(signal);
  }

  /** Ends the process and waits for its exit; does nothing after an exit. */
  async end(signal: 'SIGTERM' | 'SIGKILL'): Promise<void> {
    const child = this.runningChild();
    if (!child) return;
    const exited = new Promise(resolve => child.once('exit', resolve));
    child.kill(signal);
    await exited;
  }

  private runningChild(): ChildProcess | undefined {
    const {child} = this;
    const hasEnded =
      !child || child.exitCode !== null || child.signalCode !== null;
    return hasEnded ? undefined : child;
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
      '',
    ].join('\n');
  }
}
