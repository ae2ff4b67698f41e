import {RECLAIM_WAIT_MS} from '../authority/authority_state.js';
import type {LedgerMembers} from '../authority/authority_state.js';
import type {PeerRecord} from '../membership/peer_record.js';
import {majorityOf} from '../routing/group_view.js';
import {FULL_SHARE_PPM} from './quota_limits.js';

/** Whether an entry's share is usable or is being reclaimed. */
export type LedgerEntryState = 'active' | 'reclaiming';

/** The rate share of one incarnation of a VM. */
export interface LedgerEntry extends PeerRecord {
  readonly sharePpm: number;
  readonly state: LedgerEntryState;
}

/** The content of the store row `ledger/<environment>`. */
export interface Ledger {
  readonly entries: readonly LedgerEntry[];
  /** Identifies the write of this version if its acknowledgement is lost. */
  readonly operationId?: string;
}

/**
 * A VM gives up excess share only when another VM has less than this fraction
 * of an even share.
 */
const MIN_EVEN_SHARE_FRACTION = 0.8;

/** A ledger in which no VM holds a share. */
export const EMPTY_LEDGER: Ledger = {entries: []};

/** Parses the content of the ledger row. */
export function parseLedger(value: string): Ledger {
  return JSON.parse(value) as Ledger;
}

/** Returns the share that no entry holds. */
export function freePpm(ledger: Ledger): number {
  const held = ledger.entries.reduce((sum, entry) => sum + entry.sharePpm, 0);
  return Math.max(0, FULL_SHARE_PPM - held);
}

/** Returns the share of an incarnation, or 0 while it is being reclaimed. */
export function shareOf(ledger: Ledger, instance: string): number {
  const entry = entryOf(ledger, instance);
  return entry?.state === 'active' ? entry.sharePpm : 0;
}

/** Returns the entry of an incarnation, if it has one. */
export function entryOf(
  ledger: Ledger,
  instance: string,
): LedgerEntry | undefined {
  return ledger.entries.find(entry => entry.instance === instance);
}

/** Adds an entry for a VM, with free share up to an even share. */
export function joinLedger(ledger: Ledger, self: PeerRecord): Ledger {
  if (entryOf(ledger, self.instance)) return ledger;
  const even = evenPpm(ledger.entries.length + 1);
  const sharePpm = Math.min(freePpm(ledger), even);
  return {entries: [...ledger.entries, {...self, sharePpm, state: 'active'}]};
}

/**
 * Adjusts the VM's own share towards an even share: up by the free share, down
 * if another VM has far less. The share is never lowered below what the VM has
 * lent out. The VM stops using the excess before it writes the row.
 */
export function balanceShare(
  ledger: Ledger,
  instance: string,
  lentPpm: number,
): Ledger {
  const own = entryOf(ledger, instance);
  if (!own || own.state !== 'active') return ledger;
  const even = evenPpm(ledger.entries.length);
  const isShareNeeded = ledger.entries.some(
    entry =>
      entry.state === 'active' &&
      entry.sharePpm < even * MIN_EVEN_SHARE_FRACTION,
  );
  const sharePpm =
    own.sharePpm < even
      ? Math.min(even, own.sharePpm + freePpm(ledger))
      : isShareNeeded
        ? Math.min(own.sharePpm, Math.max(even, lentPpm))
        : own.sharePpm;
  if (sharePpm === own.sharePpm) return ledger;
  return replaceEntry(ledger, {...own, sharePpm});
}

/** Removes the entry of a VM that stops. Its loans must have ended. */
export function leaveLedger(ledger: Ledger, instance: string): Ledger {
  return {
    entries: ledger.entries.filter(entry => entry.instance !== instance),
  };
}

/** Records the intent to reclaim the share of a VM that is down. */
export function startReclaim(ledger: Ledger, instance: string): Ledger {
  const entry = entryOf(ledger, instance);
  if (!entry || entry.state === 'reclaiming') return ledger;
  return replaceEntry(ledger, {...entry, state: 'reclaiming'});
}

/** Returns the VMs whose majority acknowledges changes of a ledger version. */
export function ledgerMembers(ledger: Ledger, version: number): LedgerMembers {
  return {
    version,
    vms: ledger.entries.map(({instance, vm, dataCentre}) => ({
      instance,
      vm,
      dataCentre,
    })),
  };
}

/** The progress of a reclaim that this VM carries out. */
export interface ReclaimProgress {
  /** The incarnation whose share is reclaimed. */
  readonly instance: string;
  /** The first ledger version in which this VM read the intent, with its VMs. */
  readonly members: LedgerMembers;
  /** The time at which a majority was found to have applied that version. */
  readonly majorityAt: number | undefined;
}

/**
 * Updates the progress with the ledger version that each VM has applied. VMs may
 * have joined since the intent was written, so a majority is required both among
 * the VMs of that version and among the present ones.
 */
export function observeReclaim(
  progress: ReclaimProgress,
  present: LedgerMembers,
  applied: ReadonlyMap<string, number>,
  now: number,
): ReclaimProgress {
  if (progress.majorityAt !== undefined) return progress;
  const {version} = progress.members;
  const acknowledged = [progress.members, present].every(({vms}) => {
    const count = vms.filter(
      ({instance}) => (applied.get(instance) ?? 0) >= version,
    ).length;
    return count >= majorityOf(vms.length);
  });
  return acknowledged ? {...progress, majorityAt: now} : progress;
}

/**
 * Whether the share may be given to other VMs. After this wait, no VM that has
 * not received the intent is still confirmed. Loans of the VM have ended too,
 * since a loan ends before the lender's confirmation does.
 */
export function mayFinishReclaim(
  progress: ReclaimProgress,
  now: number,
): boolean {
  const {majorityAt} = progress;
  return majorityAt !== undefined && now - majorityAt >= RECLAIM_WAIT_MS;
}

/** Removes the entry whose reclaim has completed, which frees its share. */
export function finishReclaim(ledger: Ledger, instance: string): Ledger {
  const entry = entryOf(ledger, instance);
  return entry?.state === 'reclaiming' ? leaveLedger(ledger, instance) : ledger;
}

/**
 * Returns the entries of earlier incarnations of a VM. They have ended, since
 * the new process listens at their address, but their loans may still be in use.
 */
export function predecessorsOf(
  ledger: Ledger,
  self: PeerRecord,
): readonly LedgerEntry[] {
  return ledger.entries.filter(
    entry =>
      entry.vm === self.vm &&
      entry.address === self.address &&
      entry.instance !== self.instance,
  );
}

/** Returns an even share. A remainder of less than 1 ppm per VM stays unused. */
function evenPpm(count: number): number {
  return Math.floor(FULL_SHARE_PPM / Math.max(1, count));
}

function replaceEntry(ledger: Ledger, entry: LedgerEntry): Ledger {
  return {
    entries: ledger.entries.map(item =>
      item.instance === entry.instance ? entry : item,
    ),
  };
}
