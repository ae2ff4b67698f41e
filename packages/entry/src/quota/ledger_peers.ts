import type {Row} from '@pistachiorill/store';

/** Fetches the ledger row from other VMs while the store is unavailable. */
export abstract class LedgerPeers {
  /**
   * Returns the row at `version` or higher, or undefined if no peer that was
   * asked has it.
   */
  abstract fetchRow(version: number): Promise<Row | undefined>;
}
