import type {LeadershipRecord} from './leadership_record.js';

/**
 * How long a VM may use a primary on the strength of what it last knew of the
 * store. A VM that replaces a primary waits as long for VMs that it cannot
 * reach, so a shorter time ends an outage earlier when a VM and a primary fail
 * together; a longer one bridges longer outages of the store.
 */
export const PRIMARY_RIGHT_MS = 10_000;

/** What a VM knows of the store's rows. */
export interface StoreProof {
  /** Every row that was written up to this store time is known. */
  readonly asOfStoreMs: number;
}

export type PrimaryRight =
  | {readonly kind: 'granted'; readonly primary: string}
  | {
      readonly kind: 'denied';
      readonly reason: 'no-record' | 'moving' | 'proof-expired' | 'not-joined';
    };

/** The state from which a VM's right to use a primary follows. */
export interface RightBasis {
  readonly record: LeadershipRecord | undefined;
  readonly proof: StoreProof | undefined;
  /** Whether the proof shows this VM in the list of VMs. */
  readonly joined: 'joined' | 'not-joined';
}

/**
 * Decides whether this VM may use a primary now. `latestStoreMs` is the latest
 * that the store's clock can show.
 */
export function primaryRight(
  {record, proof, joined}: RightBasis,
  latestStoreMs: number,
): PrimaryRight {
  if (!record) return {kind: 'denied', reason: 'no-record'};
  if (joined === 'not-joined') return {kind: 'denied', reason: 'not-joined'};
  if (!proof || !(latestStoreMs < proof.asOfStoreMs + PRIMARY_RIGHT_MS)) {
    return {kind: 'denied', reason: 'proof-expired'};
  }
  if (record.phase === 'moving') return {kind: 'denied', reason: 'moving'};
  return {kind: 'granted', primary: record.primary};
}

/** Whether a VM that does not answer can still hold a right from before. */
export function mayStillHoldRight(
  revokedAtStoreMs: number,
  earliestStoreMs: number,
): boolean {
  return earliestStoreMs < revokedAtStoreMs + PRIMARY_RIGHT_MS;
}
