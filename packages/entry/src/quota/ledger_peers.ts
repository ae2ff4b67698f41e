import type {Row} from '@pistachiorill/store';

/** Asks other VMs for the ledger's row while the platform is down. */
export abstract class LedgerPeers {
  /** The row in a version of at least `version`, if a reachable peer has it. */
  abstract newer(version: number): Promise<Row | undefined>;
}
