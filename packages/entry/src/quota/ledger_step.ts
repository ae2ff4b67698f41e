import {
  balanceShare,
  entryOf,
  finishReclaim,
  startReclaim,
  joinLedger,
  leaveLedger,
} from '@pistachiorill/core';
import type {Ledger, LedgerEntry, PeerRecord} from '@pistachiorill/core';
import type {AuditEntry} from '@pistachiorill/telemetry';

/** The fields of an audit entry that describe a ledger change. */
export type LedgerAuditFields = Pick<
  AuditEntry,
  'action' | 'subject' | 'before' | 'after'
>;

/** A ledger to write, with the audit entry for the change. */
export interface LedgerStep {
  readonly ledger: Ledger;
  /** Undefined for unaudited changes, such as balancing. */
  readonly change: LedgerAuditFields | undefined;
}

/**
 * Builds the ledger changes that a VM can write. Every change except balancing
 * has an audit entry.
 */
export const LEDGER_STEPS = {
  /** Adds an entry for this VM. */
  join(ledger: Ledger, self: PeerRecord): LedgerStep {
    const next = joinLedger(ledger, self);
    const joined = entryOf(next, self.instance);
    const after = joined ? describeEntry(joined) : '';
    return auditedStep(next, 'share-joined', self, 'no share', after);
  },

  /** Removes the entry of an earlier process of this VM. */
  takeOver(ledger: Ledger, former: LedgerEntry): LedgerStep {
    const next = leaveLedger(ledger, former.instance);
    const after = 'free, as the VM has restarted';
    return auditedStep(
      next,
      'shares-reclaimed',
      former,
      describeEntry(former),
      after,
    );
  },

  /** Marks an entry as being reclaimed. */
  startReclaim(ledger: Ledger, entry: LedgerEntry): LedgerStep {
    const next = startReclaim(ledger, entry.instance);
    return auditedStep(
      next,
      'reclaim-started',
      entry,
      describeEntry(entry),
      'reclaiming',
    );
  },

  /** Removes an entry whose reclaim is complete. */
  finishReclaim(ledger: Ledger, entry: LedgerEntry): LedgerStep {
    const next = finishReclaim(ledger, entry.instance);
    return auditedStep(
      next,
      'shares-reclaimed',
      entry,
      describeEntry(entry),
      'free',
    );
  },

  /** Removes the entry of this VM when it returns its share. */
  returnShare(ledger: Ledger, entry: LedgerEntry): LedgerStep {
    const next = leaveLedger(ledger, entry.instance);
    return auditedStep(
      next,
      'share-returned',
      entry,
      describeEntry(entry),
      'free',
    );
  },

  /**
   * Moves a VM's share towards an even share, but not below `keptPpm`, which
   * covers what the VM has lent.
   */
  balance(ledger: Ledger, instance: string, keptPpm: number): LedgerStep {
    const next = balanceShare(ledger, instance, keptPpm);
    return {ledger: next, change: undefined};
  },
} as const;

function auditedStep(
  ledger: Ledger,
  action: LedgerAuditFields['action'],
  {vm, instance}: PeerRecord,
  before: string,
  after: string,
): LedgerStep {
  const subject = `vm/${vm}/${instance}`;
  return {ledger, change: {action, subject, before, after}};
}

function describeEntry({sharePpm, state}: LedgerEntry): string {
  return state === 'active' ? `${sharePpm} ppm` : `${sharePpm} ppm, ${state}`;
}
