/** Calls back once the given time has passed without a new start. */
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
