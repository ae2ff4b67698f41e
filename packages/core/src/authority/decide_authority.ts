import type {VersionReport, RowVersions} from '../membership/peer_record.js';
import {majorityOf} from '../routing/group_view.js';
import {
  PROOF_VALIDITY_MS,
  coversVersions,
  highestVersions,
} from './authority_state.js';
import type {
  AuthorityState,
  ConfirmationProof,
  LedgerMembers,
} from './authority_state.js';

/** A read, message or local change that affects a VM's version state. */
export type AuthorityEvent =
  /** This VM read a store row. A missing row has version 0. */
  | {
      readonly kind: 'row-read';
      readonly row: 'configuration' | 'ledger';
      readonly version: number;
      readonly startedAt: number;
    }
  /** A peer answered a probe that was sent at `sentAt`. */
  | {
      readonly kind: 'answered';
      readonly instance: string;
      readonly report: VersionReport;
      readonly sentAt: number;
    }
  /** A peer sent a probe. */
  | {
      readonly kind: 'probed';
      readonly instance: string;
      readonly report: VersionReport;
    }
  /** This VM applied versions, which are now in force on it. */
  | {readonly kind: 'applied'; readonly versions: Partial<RowVersions>}
  /** The VMs that hold shares in the ledger version that this VM applied. */
  | {readonly kind: 'ledger-members'; readonly members: LedgerMembers};

/** Applies an event to the state and adds the proofs that follow from it. */
export function decideAuthority(
  state: AuthorityState,
  event: AuthorityEvent,
  now: number,
): AuthorityState {
  switch (event.kind) {
    case 'row-read':
      return applyRowRead(state, event, now);
    case 'answered':
      return applyAnswer(state, event, now);
    case 'probed':
      return {
        ...state,
        known: highestVersions(state.known, event.report.known),
        reports: new Map(state.reports).set(event.instance, {
          known: event.report.known,
          applied: event.report.applied,
          probeSentAt: state.reports.get(event.instance)?.probeSentAt,
        }),
      };
    case 'applied': {
      const applied = highestVersions(state.applied, {
        ...state.applied,
        ...event.versions,
      });
      return {
        ...state,
        applied,
        known: highestVersions(state.known, applied),
      };
    }
    case 'ledger-members':
      return event.members.version >= state.ledger.version
        ? withMajorityProof({...state, ledger: event.members}, now)
        : state;
  }
}

/** Proof (a): both rows were read. It dates from the start of the older read. */
function applyRowRead(
  state: AuthorityState,
  event: Extract<AuthorityEvent, {kind: 'row-read'}>,
  now: number,
): AuthorityState {
  const {version, startedAt} = event;
  const reads = {...state.reads, [event.row]: {version, startedAt}};
  const known = highestVersions(state.known, {
    ...state.known,
    [event.row]: version,
  });
  const next = {...state, reads, known};
  const {configuration, ledger} = reads;
  if (!configuration || !ledger) return next;
  return withProof(
    next,
    {
      at: Math.min(configuration.startedAt, ledger.startedAt),
      versions: {configuration: configuration.version, ledger: ledger.version},
    },
    now,
  );
}

/**
 * Proofs (b) and (c). The age of the peer's proof is subtracted from the time at
 * which the probe was sent, since the transit time of the answer is unknown.
 */
function applyAnswer(
  state: AuthorityState,
  event: Extract<AuthorityEvent, {kind: 'answered'}>,
  now: number,
): AuthorityState {
  const {report, sentAt} = event;
  const next: AuthorityState = {
    ...state,
    known: highestVersions(state.known, report.known),
    reports: new Map(state.reports).set(event.instance, {
      known: report.known,
      applied: report.applied,
      probeSentAt: sentAt,
    }),
  };
  const relayed =
    report.proofAgeMs === null
      ? next
      : withProof(
          next,
          {at: sentAt - report.proofAgeMs, versions: report.known},
          now,
        );
  return withMajorityProof(relayed, now);
}

/**
 * Proof (c): a majority of the ledger's VMs answered, and none reported a version
 * that this VM lacks. A change that completed before the oldest of these probes
 * was acknowledged by a majority, so at least one answer would include it.
 *
 * The majority is counted among the VMs of the newest known ledger version.
 * Answers of an older set prove nothing, since its VMs need not acknowledge
 * later changes.
 */
function withMajorityProof(state: AuthorityState, now: number): AuthorityState {
  const {ledger, known} = state;
  if (ledger.version !== known.ledger || ledger.vms.length === 0) {
    return state;
  }
  const times = ledger.vms
    .flatMap(({instance}) =>
      instance === state.instance
        ? now
        : (state.reports.get(instance)?.probeSentAt ?? []),
    )
    .sort((a, b) => b - a);
  const at = times[majorityOf(ledger.vms.length) - 1];
  if (at === undefined || at < now - PROOF_VALIDITY_MS) return state;
  return withProof(state, {at, versions: known}, now);
}

/**
 * Adds a proof and drops expired and superseded ones. A proof for lower versions
 * is kept beside a newer one for higher versions, since the VM may not have
 * applied those yet.
 */
function withProof(
  state: AuthorityState,
  proof: ConfirmationProof,
  now: number,
): AuthorityState {
  const current = state.proofs.filter(
    other => other.at > now - PROOF_VALIDITY_MS,
  );
  if (current.some(other => supersedes(other, proof))) {
    return {...state, proofs: current};
  }
  const others = current.filter(other => !supersedes(proof, other));
  return {...state, proofs: [...others, proof]};
}

/** Whether `a` confirms everything that `b` confirms, for at least as long. */
function supersedes(a: ConfirmationProof, b: ConfirmationProof): boolean {
  return a.at >= b.at && coversVersions(b.versions, a.versions);
}
