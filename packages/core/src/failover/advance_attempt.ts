import {majorityOf} from '../routing/group_view.js';
import type {
  AbandonReason,
  Attempt,
  AttemptAction,
  AttemptEvent,
  AttemptPhase,
} from './attempt.js';
import {chooseCandidate} from './choose_candidate.js';
import {
  FENCE_WAIT_MS,
  PHASE_TIMEOUT_MS,
  RESEND_DELAY_MS,
  RETRY_DELAY_MS,
  STORE_TIMEOUT_MS,
} from './failover_limits.js';

/** The target of calls to the claim row, beside the names of the members. */
const ROW_TARGET = 'row';

/** An attempt after an event, and the calls that are due. */
export interface AttemptStep {
  readonly attempt: Attempt;
  readonly actions: readonly AttemptAction[];
}

/** The fields of an attempt that its start determines. */
export type AttemptStart = Pick<
  Attempt,
  | 'database'
  | 'owner'
  | 'reason'
  | 'highestSeenTerm'
  | 'members'
  | 'formerPrimary'
  | 'reachable'
  | 'awaitedClaimVersion'
>;

/** Starts an attempt; its first action reads the claim row. */
export function startAttempt(start: AttemptStart, now: number): AttemptStep {
  const attempt: Attempt = {
    ...start,
    phase: 'claim',
    term: 0,
    startedAt: now,
    phaseSince: now,
    row: 'read',
    rowVersion: 0,
    fenced: {},
    promotion: 'pending',
    followed: [],
    dueAt: {},
  };
  return advanceAttempt(attempt, {kind: 'tick'}, now);
}

/** Whether an attempt takes no further events. */
export function isEnded(attempt: Attempt): boolean {
  return attempt.phase === 'done' || attempt.phase === 'abandoned';
}

/**
 * Applies an event to an attempt and returns the calls that are due. Calls are
 * idempotent and are repeated until they succeed. An answer that belongs to
 * another term is ignored.
 */
export function advanceAttempt(
  attempt: Attempt,
  event: AttemptEvent,
  now: number,
): AttemptStep {
  if (isEnded(attempt)) return {attempt, actions: []};
  return emitDueCalls(advancePhases(applyEvent(attempt, event, now), now), now);
}

/** Ends an attempt before its promotion is confirmed. */
export function abandon(attempt: Attempt, reason: AbandonReason): Attempt {
  return {...attempt, phase: 'abandoned', abandoned: reason};
}

function applyEvent(
  attempt: Attempt,
  event: AttemptEvent,
  now: number,
): Attempt {
  switch (event.kind) {
    case 'tick':
      return attempt;
    case 'row-read':
      return attempt.phase === 'claim'
        ? claimAfterRead(attempt, event)
        : publishAfterRead(attempt, event);
    case 'row-written':
      return attempt.row === 'write'
        ? {...attempt, row: 'finished', rowVersion: event.version}
        : attempt;
    case 'row-failed':
      return afterRowFailure(attempt, event.reason, now);
    case 'answered':
      return event.term === attempt.term
        ? afterAnswer(attempt, event, now)
        : attempt;
  }
}

function claimAfterRead(
  attempt: Attempt,
  {row, version}: Extract<AttemptEvent, {kind: 'row-read'}>,
): Attempt {
  if (attempt.row !== 'read') return attempt;
  const own = row?.owner === attempt.owner;
  // The claim was written, but the store's answer to it was lost.
  if (own && row.term === attempt.term) {
    return {...attempt, row: 'finished', rowVersion: version};
  }
  // Another VM has claimed or finished a term that this VM had not seen. Its
  // attempt gets time to finish, unless this VM has already waited for it.
  if (
    row &&
    !own &&
    row.term > attempt.highestSeenTerm &&
    version !== attempt.awaitedClaimVersion
  ) {
    return abandon({...attempt, rowVersion: version}, 'claimed-by-other');
  }
  const term = Math.max(row?.term ?? 0, attempt.highestSeenTerm) + 1;
  return {...attempt, term, row: 'write', rowVersion: version, dueAt: {}};
}

function publishAfterRead(
  attempt: Attempt,
  {row, version}: Extract<AttemptEvent, {kind: 'row-read'}>,
): Attempt {
  if (attempt.phase !== 'publish' || attempt.row !== 'read') return attempt;
  const published = row?.owner === attempt.owner && row.state === 'done';
  if (row && (row.term > attempt.term || published)) {
    return {...attempt, row: 'finished'};
  }
  return {...attempt, row: 'write', rowVersion: version, dueAt: {}};
}

function afterRowFailure(
  attempt: Attempt,
  reason: 'conflict' | 'unavailable' | 'unknown-outcome',
  now: number,
): Attempt {
  if (attempt.row === 'finished') return attempt;
  const due = {
    [ROW_TARGET]: reason === 'conflict' ? now : now + RETRY_DELAY_MS,
  };
  // After a conflict or an unknown outcome, only reading the row shows whether
  // the write took effect.
  return reason === 'unavailable'
    ? {...attempt, dueAt: due}
    : {...attempt, dueAt: due, row: 'read'};
}

function afterAnswer(
  attempt: Attempt,
  event: Extract<AttemptEvent, {kind: 'answered'}>,
  now: number,
): Attempt {
  const {backendServer: name, outcome, call} = event;
  if (call !== attempt.phase) return attempt;
  if (outcome.kind === 'no-answer') {
    return {
      ...attempt,
      dueAt: {...attempt.dueAt, [name]: now + RETRY_DELAY_MS},
    };
  }
  if (outcome.kind === 'refused') {
    // A refused `follow` does not end the attempt, because the promotion has
    // taken effect: the member belongs to a later attempt.
    return call === 'follow' ? attempt : abandon(attempt, 'superseded');
  }
  switch (call) {
    case 'fence':
      return {
        ...attempt,
        fenced: {...attempt.fenced, [name]: outcome.received},
      };
    case 'promote':
      return {...attempt, promotion: 'done'};
    case 'follow':
      return {
        ...attempt,
        followed: [...new Set([...attempt.followed, name])],
      };
  }
}

/** Enters the next phase while the current one is complete or timed out. */
function advancePhases(attempt: Attempt, now: number): Attempt {
  const next = advancePhase(attempt, now);
  return next === attempt ? attempt : advancePhases(next, now);
}

function advancePhase(attempt: Attempt, now: number): Attempt {
  const isTimedOut = now - attempt.phaseSince >= PHASE_TIMEOUT_MS;
  const majority = majorityOf(attempt.members.length);
  switch (attempt.phase) {
    case 'claim':
      if (attempt.row === 'finished') return enter(attempt, 'fence', now);
      if (now - attempt.startedAt < STORE_TIMEOUT_MS) return attempt;
      // Without the store, the attempt continues unclaimed. This is safe,
      // because in each term only one owner can fence a member.
      return enter(
        {...attempt, term: attempt.term || attempt.highestSeenTerm + 1},
        'fence',
        now,
      );
    case 'fence':
      return advanceFencePhase(attempt, majority, isTimedOut, now);
    case 'choose-candidate': {
      const candidate = chooseCandidate(attempt);
      return enter({...attempt, candidate}, 'promote', now);
    }
    case 'promote':
      if (attempt.promotion === 'done') return enter(attempt, 'follow', now);
      return isTimedOut ? abandon(attempt, 'candidate-unreachable') : attempt;
    case 'follow':
      if (attempt.followed.length + 1 >= majority || isTimedOut) {
        const row = attempt.row === 'finished' ? 'write' : 'read';
        return enter({...attempt, row}, 'publish', now);
      }
      return attempt;
    case 'publish':
      return attempt.row === 'finished' ||
        now - attempt.phaseSince >= STORE_TIMEOUT_MS
        ? enter(attempt, 'done', now)
        : attempt;
    case 'done':
    case 'abandoned':
      return attempt;
  }
}

/**
 * Ends the `fence` phase once a majority of the members is fenced and either
 * all reachable ones are too or `FENCE_WAIT_MS` have passed since.
 */
function advanceFencePhase(
  attempt: Attempt,
  majority: number,
  isTimedOut: boolean,
  now: number,
): Attempt {
  if (Object.keys(attempt.fenced).length < majority) {
    return isTimedOut ? abandon(attempt, 'no-majority') : attempt;
  }
  if (attempt.majorityFencedAt === undefined) {
    return {...attempt, majorityFencedAt: now};
  }
  const isComplete = attempt.reachable.every(name => name in attempt.fenced);
  return isComplete || now - attempt.majorityFencedAt >= FENCE_WAIT_MS
    ? enter(attempt, 'choose-candidate', now)
    : attempt;
}

/** Enters a phase, in which all calls are due at once. */
function enter(attempt: Attempt, phase: AttemptPhase, now: number): Attempt {
  return {...attempt, phase, phaseSince: now, dueAt: {}};
}

/** Emits the calls of the current phase that are due. */
function emitDueCalls(attempt: Attempt, now: number): AttemptStep {
  const due = {...attempt.dueAt};
  const actions: AttemptAction[] = [];
  for (const [target, action] of pendingCalls(attempt)) {
    if ((due[target] ?? now) > now) continue;
    due[target] = now + RESEND_DELAY_MS;
    actions.push(action);
  }
  return actions.length === 0
    ? {attempt, actions}
    : {attempt: {...attempt, dueAt: due}, actions};
}

/** Returns the calls of the current phase that have not succeeded yet. */
function pendingCalls(
  attempt: Attempt,
): ReadonlyArray<readonly [string, AttemptAction]> {
  const {term, owner, members, candidate} = attempt;
  switch (attempt.phase) {
    case 'claim':
    case 'publish':
      return rowCall(attempt);
    case 'fence':
      return members
        .filter(({backendServer}) => !(backendServer in attempt.fenced))
        .map(({backendServer}) => [
          backendServer,
          {kind: 'fence', backendServer, term, owner},
        ]);
    case 'promote':
      return candidate === undefined
        ? []
        : [
            [
              candidate,
              {kind: 'promote', backendServer: candidate, term, owner},
            ],
          ];
    case 'follow': {
      const primary =
        members.find(item => item.backendServer === candidate)?.address ?? '';
      return members
        .map(item => item.backendServer)
        .filter(name => name !== candidate && !attempt.followed.includes(name))
        .map(name => [
          name,
          {kind: 'follow', backendServer: name, term, primary},
        ]);
    }
    case 'choose-candidate':
    case 'done':
    case 'abandoned':
      return [];
  }
}

function rowCall(
  attempt: Attempt,
): ReadonlyArray<readonly [string, AttemptAction]> {
  if (attempt.row === 'finished') return [];
  if (attempt.row === 'read') return [[ROW_TARGET, {kind: 'read-row'}]];
  const {term, owner, candidate = '', rowVersion} = attempt;
  const state = attempt.phase === 'claim' ? 'claimed' : 'done';
  const row = {term, owner, state, primary: candidate} as const;
  return [[ROW_TARGET, {kind: 'write-row', row, expected: rowVersion}]];
}
