interface AcknowledgedWrite {
  readonly write: string;
  readonly at: number;
}

/** The acknowledged writes of one workspace, for which later reads search. */
export class AcknowledgedWrites {
  private readonly writes: AcknowledgedWrite[] = [];

  /** Adds a write that was acknowledged at `at`; times must not decrease. */
  add(write: string, at: number): void {
    this.writes.push({write, at});
  }

  /** Returns the latest write that was acknowledged at or before `at`. */
  newestAt(at: number): string | undefined {
    return this.writes.findLast(item => item.at <= at)?.write;
  }
}
