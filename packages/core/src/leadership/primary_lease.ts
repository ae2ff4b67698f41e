import type {LeadershipRecord} from './leadership_record.js';

/**
 * Duration of the primary lease: how long a VM may use a primary after the last
 * store time up to which it has read the store's rows. A VM that replaces a
 * primary must wait this long if it cannot reach another VM. A shorter lease
 * therefore ends an outage earlier if a VM and a primary fail together; a longer
 * one bridges longer outages of the store.
 */
export const PRIMARY_LEASE_MS = 10_000;

/** Proof of how current a VM's copy of the store's rows is. */
export interface StoreProof {
  /** The copy contains every write up to this store time. */
  readonly asOfStoreMs: number;
}

/** Whether a VM holds the primary lease of a group. */
export type PrimaryLeaseDecision =
  | {readonly kind: 'granted'; readonly primary: string}
  | {
      readonly kind: 'denied';
      readonly reason: 'no-record' | 'moving' | 'proof-expired' | 'not-joined';
    };

/** The state that determines whether a VM holds a primary lease. */
export interface PrimaryLeaseInput {
  readonly record: LeadershipRecord | undefined;
  readonly proof: StoreProof | undefined;
  /** Whether the store's list of VMs contains this VM. */
  readonly joined: 'joined' | 'not-joined';
}

/**
 * Decides whether this VM may use a primary now. `latestStoreMs` is the latest
 * time that the store's clock can show now.
 */
export function decidePrimaryLease(
  {record, proof, joined}: PrimaryLeaseInput,
  latestStoreMs: number,
): PrimaryLeaseDecision {
  if (!record) return {kind: 'denied', reason: 'no-record'};
  if (joined === 'not-joined') return {kind: 'denied', reason: 'not-joined'};
  if (!proof || !(latestStoreMs < proof.asOfStoreMs + PRIMARY_LEASE_MS)) {
    return {kind: 'denied', reason: 'proof-expired'};
  }
  if (record.phase === 'moving') return {kind: 'denied', reason: 'moving'};
  return {kind: 'granted', primary: record.primary};
}

/**
 * Whether a VM that does not answer can still hold a primary lease that was
 * revoked at `revokedAtStoreMs`. `earliestStoreMs` is the earliest time that
 * the store's clock can show now.
 */
export function mayHoldPrimaryLease(
  revokedAtStoreMs: number,
  earliestStoreMs: number,
): boolean {
  return earliestStoreMs < revokedAtStoreMs + PRIMARY_LEASE_MS;
}
