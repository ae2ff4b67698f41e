import {readFileSync} from 'node:fs';
import type {VmProcess} from './vm_process.js';

const SAMPLE_INTERVAL_MS = 500;
const BYTES_PER_MB = 1_048_576;
const KB_PER_MB = 1_024;

/** Samples the resident memory of the VMs' processes and of this one. */
export class MemoryWatch {
  private readonly timer: NodeJS.Timeout;
  private peak = 0;

  constructor(private readonly vms: readonly VmProcess[]) {
    this.timer = setInterval(() => this.sample(), SAMPLE_INTERVAL_MS);
  }

  /** The highest sum of the samples. */
  get peakMb(): number {
    return Math.round(this.peak);
  }

  /** Fails a run whose processes need too much memory for this machine. */
  assertBelow(limitMb: number): void {
    if (this.peak <= limitMb) return;
    throw new Error(`the run needs ${this.peakMb} MB, more than ${limitMb}`);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private sample(): void {
    const ownMb = process.memoryUsage.rss() / BYTES_PER_MB;
    const totalMb = this.vms
      .map(({pid}) => (pid === undefined ? 0 : residentMb(pid)))
      .reduce((sum, mb) => sum + mb, ownMb);
    this.peak = Math.max(this.peak, totalMb);
  }
}

/** The resident memory of a process; 0 if it has just ended. */
function residentMb(pid: number): number {
  try {
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / KB_PER_MB;
  } catch {
    // The process has ended since its id was read.
    return 0;
  }
}
