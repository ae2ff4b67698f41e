/** The fault settings of a member, which clients change over its fault port. */
export interface FaultSettings {
  /** Delay before a replica stores entries that it fetched from the primary. */
  readonly receiveLagMs: number;
  /** Delay between receiving and applying an entry on a replica. */
  readonly applyLagMs: number;
  /** A frozen member sends no response and stores no replicated entry. */
  readonly activity: 'running' | 'frozen';
  /** Addresses of primaries from which the member cannot fetch entries. */
  readonly cutFrom: readonly string[];
}

/** Holds the current fault settings and blocks work while a member is frozen. */
export class MemberFaults {
  private waiting: Array<() => void> = [];

  constructor(private current: FaultSettings) {}

  get settings(): FaultSettings {
    return this.current;
  }

  /** Merges the changes; ending a freeze resumes the blocked work. */
  change(changes: Partial<FaultSettings>): void {
    this.current = {...this.current, ...changes};
    if (this.current.activity === 'frozen') return;
    for (const resume of this.waiting.splice(0)) resume();
  }

  /** Resolves when the member is not frozen, immediately if it already runs. */
  async waitUntilRunning(): Promise<void> {
    while (this.current.activity === 'frozen') {
      await new Promise<void>(resolve => this.waiting.push(resolve));
    }
  }
}
