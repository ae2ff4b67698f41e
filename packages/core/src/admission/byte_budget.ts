interface Waiter {
  readonly id: number;
  readonly bytes: number;
  readonly since: number;
}

/**
 * Reservations of memory for packets that have begun. A packet is read only once
 * all its bytes are reserved, so that packets which have begun can always be
 * completed; others wait in order of arrival.
 */
export class ByteBudget {
  private readonly reserved = new Map<number, number>();
  private readonly waiters: Waiter[] = [];
  private used = 0;

  constructor(private readonly limitBytes: number) {}

  /** Reserves bytes for a connection that has no reservation. */
  reserve(id: number, bytes: number, now: number): 'granted' | 'waiting' {
    if (this.waiters.length === 0 && this.fits(bytes)) {
      this.grant(id, bytes);
      return 'granted';
    }
    this.waiters.push({id, bytes, since: now});
    return 'waiting';
  }

  /**
   * Ends the reservation or the wait of a connection. Returns the connections
   * whose wait ends with a reservation.
   */
  release(id: number): number[] {
    this.used -= this.reserved.get(id) ?? 0;
    this.reserved.delete(id);
    const index = this.waiters.findIndex(waiter => waiter.id === id);
    if (index >= 0) this.waiters.splice(index, 1);
    const granted: number[] = [];
    for (
      let next = this.waiters[0];
      next && this.fits(next.bytes);
      next = this.waiters[0]
    ) {
      this.waiters.shift();
      this.grant(next.id, next.bytes);
      granted.push(next.id);
    }
    return granted;
  }

  get usedBytes(): number {
    return this.used;
  }

  /** Bytes that connections have waited for since `before` or longer. */
  waitingBytes(before: number): number {
    return this.waiters
      .filter(waiter => waiter.since <= before)
      .reduce((sum, waiter) => sum + waiter.bytes, 0);
  }

  private fits(bytes: number): boolean {
    return this.used === 0 || this.used + bytes <= this.limitBytes;
  }

  private grant(id: number, bytes: number): void {
    this.reserved.set(id, bytes);
    this.used += bytes;
  }
}
