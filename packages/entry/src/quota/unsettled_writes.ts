import type {Ledger} from '@pistachiorill/core';
import type {LedgerAuditFields} from './ledger_step.js';

/** A write whose answer was lost and which may have taken effect. */
export interface UnsettledWrite {
  readonly operationId: string;
  /** The version on which the write was based. */
  readonly expected: number;
  readonly change: LedgerAuditFields;
}

/** The result of comparing unsettled writes with a version of the row. */
export interface SettledWrites {
  /** The writes that can still take effect. */
  readonly left: readonly UnsettledWrite[];
  /** The writes to audit: those that took effect, or may have. */
  readonly audited: readonly UnsettledWrite[];
}

/**
 * Decides which writes took effect, from the operation ID in the row. A write
 * without an effect is dropped.
 */
export function settleWrites(
  writes: readonly UnsettledWrite[],
  {operationId}: Ledger,
  version: number,
): SettledWrites {
  const settled = writes.filter(write => version > write.expected);
  return {
    left: writes.filter(write => version <= write.expected),
    audited: settled.flatMap(write => {
      if (write.operationId === operationId) return [write];
      if (version === write.expected + 1) return [];
      // The version that would show whether the write took effect was not read.
      const after = `${write.change.after}, or not changed: the answer is lost`;
      return [{...write, change: {...write.change, after}}];
    }),
  };
}
