/** The events of a simulation, in order of their time. */
export class SimulatedTime {
  now = 0;
  private readonly events: Array<{at: number; run: () => void}> = [];

  /** Adds an event; those of the same time run in the order of their addition. */
  schedule(at: number, run: () => void): void {
    let low = 0;
    let high = this.events.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.events[middle]?.at ?? 0) <= at) low = middle + 1;
      else high = middle;
    }
    this.events.splice(low, 0, {at, run});
  }

  after(delayMs: number, run: () => void): void {
    this.schedule(this.now + delayMs, run);
  }

  /** Runs the events up to a time. */
  run(until: number): void {
    for (let next; (next = this.events.shift()) && next.at <= until;) {
      this.now = next.at;
      next.run();
    }
  }
}
