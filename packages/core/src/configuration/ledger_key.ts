import type {Environment} from './environment.js';

/**
 * Returns the key of the row that lists the VMs with a quota share and their
 * shares.
 */
export function ledgerKey(environment: Environment): string {
  return `ledger/${environment}`;
}
