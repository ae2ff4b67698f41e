import {nextConfigurationRow} from './configuration_row.js';
import type {VersionedRow} from './configuration_row.js';
import type {
  PromotionEvent,
  PromotionOutcome,
  PromotionPhase,
  PromotionRequest,
  PromotionStep,
  VmReport,
} from './promotion.js';

const RETRY_MS = 250;
const VM_POLL_MS = 250;

/** The state of one promotion. */
export interface PromotionState {
  readonly request: PromotionRequest;
  readonly phase: PromotionPhase;
  /** The row that the write replaces, as last read. */
  readonly base: VersionedRow | undefined;
  /** Whether a write was sent and its effect is unknown. */
  readonly write: 'none' | 'in-doubt';
  /** The outcome to report once the document is in force. */
  readonly result: 'promoted' | 'already-in-force';
  /** The version under which the document is in force; 0 before that. */
  readonly version: number;
}

/** The state of a promotion and the step to execute next. */
export interface PromotionProgress {
  readonly state: PromotionState;
  readonly step: PromotionStep;
}

/** Starts a promotion and returns its first step. */
export function startPromotion(request: PromotionRequest): PromotionProgress {
  const state: PromotionState = {
    request,
    phase: 'put-body',
    base: undefined,
    write: 'none',
    result: 'promoted',
    version: 0,
  };
  return enterPhase(
    state,
    request.trialCheck === 'required' ? 'check-trial' : 'put-body',
  );
}

/** Decides the next step from the result of the last one. */
export function advancePromotion(
  state: PromotionState,
  event: PromotionEvent,
  now: number,
): PromotionProgress {
  if (event.kind === 'failed') return afterFailure(state, event, now);
  switch (state.phase) {
    case 'check-trial':
      return event.kind === 'acceptance' && event.accepted === 'yes'
        ? enterPhase(state, 'put-body')
        : finish(state, {kind: 'not-accepted-in-trial'});
    case 'put-body':
      return enterPhase(state, 'read-row');
    case 'read-row':
      return afterRead(state, event.kind === 'row' ? event.current : undefined);
    case 'write-row':
      return afterWrite(state, event);
    case 'read-back':
      return afterReadBack(
        state,
        event.kind === 'row' ? event.current : undefined,
        now,
      );
    case 'record-acceptance':
      return enterPhase(state, 'read-vms');
    case 'read-vms':
      return afterReports(
        state,
        event.kind === 'vms' ? event.reports : [],
        now,
      );
  }
}

function afterRead(
  state: PromotionState,
  current: VersionedRow | undefined,
): PromotionProgress {
  const {request} = state;
  if (current?.hash === request.hash) {
    // An earlier run of this command was stopped after its write, or another
    // operator has promoted the same document.
    return enterRecordAcceptance(state, 'already-in-force', current.version);
  }
  const version = current?.version ?? 0;
  if (request.basedOn !== 'current' && request.basedOn !== version) {
    return finish(state, {kind: 'conflict', current});
  }
  return enterPhase({...state, base: current}, 'write-row');
}

function afterWrite(
  state: PromotionState,
  event: PromotionEvent,
): PromotionProgress {
  if (event.kind === 'written') {
    return enterRecordAcceptance(state, 'promoted', event.version);
  }
  const current = event.kind === 'conflict' ? event.current : undefined;
  return afterRowChanged(state, current);
}

function afterReadBack(
  state: PromotionState,
  current: VersionedRow | undefined,
  now: number,
): PromotionProgress {
  if ((current?.version ?? 0) !== (state.base?.version ?? 0)) {
    return afterRowChanged(state, current);
  }
  // The write may still be in flight. Sending it again is safe: only one write
  // based on this version can take effect, and both carry the same operation
  // id.
  return now < state.request.writeUntil
    ? enterPhase(state, 'write-row', RETRY_MS)
    : finish(state, {
        kind: 'outcome-unknown',
        detail: 'the write was sent and has not taken effect so far',
      });
}

/**
 * Continues after the row was found with another version than the base, which
 * this promotion or another one has written.
 */
function afterRowChanged(
  state: PromotionState,
  current: VersionedRow | undefined,
): PromotionProgress {
  const {operationId} = state.request;
  if (current?.operationId === operationId) {
    return enterRecordAcceptance(state, 'promoted', current.version);
  }
  if (current?.hash === state.request.hash) {
    return enterRecordAcceptance(state, 'already-in-force', current.version);
  }
  if (current?.recent.includes(operationId)) {
    return finish(state, {kind: 'superseded', current});
  }
  // A row lists the operations of its latest versions only. A version above
  // `lastListing` cannot show whether the write of this promotion took effect.
  const ownVersion = (state.base?.version ?? 0) + 1;
  const lastListing = (current?.recent.length ?? 0) + ownVersion;
  if (state.write === 'in-doubt' && (current?.version ?? 0) > lastListing) {
    return finish(state, {
      kind: 'outcome-unknown',
      detail: `version ${current?.version} is in force and its row no longer lists this operation's version`,
    });
  }
  return finish(state, {kind: 'conflict', current});
}

function afterReports(
  state: PromotionState,
  reports: readonly VmReport[],
  now: number,
): PromotionProgress {
  const rollout = rolloutOf(reports, state.version);
  if (rollout !== 'all' && now < state.request.waitUntil) {
    return enterPhase(state, 'read-vms', VM_POLL_MS);
  }
  return finish(state, {
    kind: state.result,
    version: state.version,
    vms: reports,
    rollout,
  });
}

/**
 * Returns how many of the VMs that the platform lists as live have applied a
 * version or a later one.
 */
export function rolloutOf(
  reports: readonly VmReport[],
  version: number,
): 'all' | 'majority' | 'minority' {
  const live = reports.filter(report => report.platformState === 'live');
  const applied = live.filter(
    report => report.kind === 'applied' && report.version >= version,
  );
  if (applied.length === live.length) return 'all';
  return applied.length > live.length / 2 ? 'majority' : 'minority';
}

function afterFailure(
  state: PromotionState,
  event: Extract<PromotionEvent, {kind: 'failed'}>,
  now: number,
): PromotionProgress {
  const {phase, request} = state;
  // The check of the VMs does not wait for the acceptance record; repeating the
  // command writes it.
  if (phase === 'record-acceptance') return enterPhase(state, 'read-vms');
  if (phase === 'read-vms') {
    if (now < request.waitUntil) return enterPhase(state, phase, RETRY_MS);
    return finish(state, {
      kind: state.result,
      version: state.version,
      vms: [],
      rollout: 'unknown',
    });
  }
  const write =
    phase === 'write-row' && event.effect === 'unknown'
      ? 'in-doubt'
      : state.write;
  const next = {...state, write} as const;
  if (now < request.writeUntil) {
    const mustReadBack = phase === 'write-row' && write === 'in-doubt';
    return enterPhase(next, mustReadBack ? 'read-back' : phase, RETRY_MS);
  }
  return finish(
    next,
    write === 'in-doubt'
      ? {kind: 'outcome-unknown', detail: event.detail}
      : {kind: 'unavailable', phase, detail: event.detail},
  );
}

/** Continues once the requested document is in force. */
function enterRecordAcceptance(
  state: PromotionState,
  result: PromotionState['result'],
  version: number,
): PromotionProgress {
  return enterPhase({...state, result, version}, 'record-acceptance');
}

function enterPhase(
  state: PromotionState,
  phase: PromotionPhase,
  delayMs = 0,
): PromotionProgress {
  const next = {...state, phase};
  if (phase !== 'write-row') {
    return {state: next, step: {kind: phase, delayMs}};
  }
  return {
    state: next,
    step: {
      kind: 'write-row',
      delayMs,
      expected: state.base?.version ?? 0,
      row: nextConfigurationRow(state.base, state.request),
    },
  };
}

function finish(
  state: PromotionState,
  outcome: PromotionOutcome,
): PromotionProgress {
  return {state, step: {kind: 'finish', outcome}};
}
