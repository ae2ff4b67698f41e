/** A VM that owned a group before the ledger version that changed owners. */
export interface PreviousOwner {
  /** The VM's incarnation. */
  readonly instance: string;
  /** The ledger version that the VM last reported as applied. */
  readonly appliedLedger: number;
  /** Whether the ledger still contains this incarnation of the VM. */
  readonly share: 'held' | 'reclaimed';
}

/**
 * Whether a new owner may open its connections. A previous owner that has not
 * applied the ledger version that redistributed the connections may still hold
 * more than its new allowance.
 */
export function mayOpenConnections(
  ledgerVersion: number,
  previous: readonly PreviousOwner[],
): 'open' | 'wait' {
  return previous.every(
    owner =>
      owner.share === 'reclaimed' || owner.appliedLedger >= ledgerVersion,
  )
    ? 'open'
    : 'wait';
}
