/**
 * A time limit for something that a client must do. When it passes, what has
 * arrived meanwhile is read first: a process that was busy for longer than the
 * limit would otherwise close the connections of clients that were in time.
 */
export class ClientTimer {
  private timer: NodeJS.Timeout | undefined;
  private check: NodeJS.Immediate | undefined;

  constructor(
    private readonly limitMs: number,
    private readonly onPassed: () => void,
  ) {}

  /** Starts the time limit; again if it is running. */
  start(): void {
    this.clear();
    this.timer = setTimeout(() => {
      this.check = setImmediate(this.onPassed);
    }, this.limitMs);
  }

  get state(): 'running' | 'stopped' {
    return this.timer === undefined ? 'stopped' : 'running';
  }

  /** Ends the time limit. */
  clear(): void {
    clearTimeout(this.timer);
    clearImmediate(this.check);
    this.timer = undefined;
    this.check = undefined;
  }
}
