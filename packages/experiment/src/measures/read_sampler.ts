import {increaseOf, parseReadCounts} from './read_counts.js';
import type {ReadCounts} from './read_counts.js';

const SAMPLE_INTERVAL_MS = 500;
const SCRAPE_TIMEOUT_MS = 400;

/** The reads that all VMs served in one interval, which ended at `at`. */
export interface ReadSample extends ReadCounts {
  readonly at: number;
}

interface ScrapedVm {
  readonly name: string;
  readonly httpPort: number;
}

/** Samples the read counters of all VMs at regular intervals during a load. */
export class ReadSampler {
  readonly samples: ReadSample[] = [];
  private readonly lastCounts = new Map<string, ReadCounts>();
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly vms: () => readonly ScrapedVm[],
    private readonly clock: () => number,
  ) {}

  /** Reads the initial counters and starts the timer. */
  async start(): Promise<void> {
    await this.sample();
    this.samples.length = 0;
    this.timer = setInterval(() => void this.sample(), SAMPLE_INTERVAL_MS);
  }

  /** Stops the timer and takes a last sample. */
  async stop(): Promise<void> {
    clearInterval(this.timer);
    await this.sample();
  }

  private async sample(): Promise<void> {
    const increases = await Promise.all(
      this.vms().map(async vm => {
        const now = await scrape(vm.httpPort);
        if (!now) return {replica: 0, primary: 0};
        const before = this.lastCounts.get(vm.name) ?? {replica: 0, primary: 0};
        this.lastCounts.set(vm.name, now);
        return increaseOf(before, now);
      }),
    );
    this.samples.push({
      at: this.clock(),
      replica: sum(increases.map(item => item.replica)),
      primary: sum(increases.map(item => item.primary)),
    });
  }
}

async function scrape(httpPort: number): Promise<ReadCounts | undefined> {
  try {
    const res = await fetch(`http://127.0.0.1:${httpPort}/metrics`, {
      signal: AbortSignal.timeout(SCRAPE_TIMEOUT_MS),
    });
    return parseReadCounts(await res.text());
  } catch {
    return undefined;
  }
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
