import type {RowVersions} from '../membership/peer_record.js';
import {majorityOf} from '../routing/group_view.js';
import type {Confirmation} from '../statement/statement.js';
import {PROOF_VALIDITY_MS, coversVersions} from './authority_state.js';
import type {AuthorityState, LedgerMembers} from './authority_state.js';

/**
 * Returns the time until which the VM is confirmed. Proofs for versions that
 * this VM has not applied are ignored. Proofs for older versions are valid: a
 * change completes only after all such proofs have expired.
 */
export function confirmedUntil(state: AuthorityState): number {
  const times = state.proofs
    .filter(proof => coversVersions(state.applied, proof.versions))
    .map(proof => proof.at + PROOF_VALIDITY_MS);
  return Math.max(Number.NEGATIVE_INFINITY, ...times);
}

/** Returns whether the VM is confirmed at `now`. */
export function confirmationAt(
  state: AuthorityState,
  now: number,
): Confirmation {
  return now < confirmedUntil(state) ? 'confirmed' : 'unconfirmed';
}

/** Returns the incarnations that have these versions in force, as reported. */
export function acknowledgedBy(
  state: AuthorityState,
  versions: RowVersions,
): string[] {
  const others = [...state.reports]
    .filter(([, report]) => coversVersions(report.applied, versions))
    .map(([instance]) => instance);
  return coversVersions(state.applied, versions)
    ? [state.instance, ...others]
    : others;
}

/**
 * Whether a majority of a ledger's VMs has these versions in force. A change of
 * the ledger requires this both for the VMs before it and for the VMs after it,
 * so that the majorities of successive versions intersect.
 */
export function isAcknowledgedByMajority(
  state: AuthorityState,
  members: LedgerMembers,
  versions: RowVersions,
): boolean {
  const holders = new Set(acknowledgedBy(state, versions));
  const count = members.vms.filter(vm => holders.has(vm.instance)).length;
  return count >= majorityOf(members.vms.length);
}
