/** Calls back once a transaction was idle for the given time. */
export class IdleTimer {
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly onIdle: () => void) {}

  /** Starts anew; does not run if `idleMs` is 0. */
  start(idleMs: number): void {
    this.stop();
    if (idleMs > 0) this.timer = setTimeout(this.onIdle, idleMs);
  }

  stop(): void {
    clearTimeout(this.timer);
  }
}
