import type {VersionReport, Versions} from '../membership/peer_record.js';
import {majorityOf} from '../routing/group_view.js';
import {
  CONFIRM_LIMIT_MS,
  coversVersions,
  highestVersions,
} from './authority_state.js';
import type {
  AuthorityState,
  ConfirmationProof,
  LedgerMembers,
} from './authority_state.js';

/** What a VM learns about versions. */
export type AuthorityEvent =
  /** This VM read a row; an absent row has version 0. */
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
  /** Versions are now in force on this VM. */
  | {readonly kind: 'applied'; readonly versions: Partial<Versions>}
  /** The VMs that hold shares in the ledger version that was applied. */
  | {readonly kind: 'ledger-members'; readonly members: LedgerMembers};

/** Takes in what the VM learned, with the proofs that follow from it. */
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

/** Proof (a): both rows were read, the older read counts. */
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
 * Proofs (b) and (c). A relayed proof is dated back from the time at which the
 * probe was sent, since the time that the answer took is not known.
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
 * Proof (c): a majority of the ledger's VMs answered and none knows a version
 * that this VM does not know. A change that completed before the oldest of
 * these probes was acknowledged by a majority, so one of them would know it.
 *
 * The majority is taken among the VMs of the newest ledger version that is
 * known. With an older set nothing would follow, as later changes need not be
 * acknowledged by its VMs.
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
  if (at === undefined || at < now - CONFIRM_LIMIT_MS) return state;
  return withProof(state, {at, versions: known}, now);
}

/**
 * Keeps the proofs that still count. A proof for lower versions outlives a
 * newer one for higher versions, as the VM may not have those in force yet.
 */
function withProof(
  state: AuthorityState,
  proof: ConfirmationProof,
  now: number,
): AuthorityState {
  const current = state.proofs.filter(
    other => other.at > now - CONFIRM_LIMIT_MS,
  );
  if (current.some(other => supersedes(other, proof))) {
    return {...state, proofs: current};
  }
  const others = current.filter(other => !supersedes(proof, other));
  return {...state, proofs: [...others, proof]};
}

/** Whether `a` confirms all that `b` confirms, for as long. */
function supersedes(a: ConfirmationProof, b: ConfirmationProof): boolean {
  return a.at >= b.at && coversVersions(b.versions, a.versions);
}
