import type {Random} from '../common/random.js';
import type {GroupView, MemberView} from '../routing/group_view.js';
import {
  abandon,
  advanceAttempt,
  isEnded,
  startAttempt,
} from './advance_attempt.js';
import {
  agreedSince,
  rankAmongReporters,
  unexpiredReports,
} from './agreement.js';
import {assessGroup} from './assess_group.js';
import type {Assessment} from './assess_group.js';
import type {Attempt, AttemptEvent, AttemptReason} from './attempt.js';
import {
  BACKOFF_MAX_MS,
  BACKOFF_MIN_MS,
  PAUSE_THRESHOLD_MS,
  RANK_DELAY_MS,
  FOLLOW_ORDER_INTERVAL_MS,
  REPORT_INTERVAL_MS,
  MIN_SUSPICION_MS,
  TAKEOVER_DELAY_MS,
} from './failover_limits.js';
import type {FailoverReport, ReceivedReport} from './failover_report.js';
import type {
  FailoverAction,
  FailoverMessage,
  FailoverState,
  FailoverStep,
} from './failover_state.js';
import {findOutdatedMembers} from './find_outdated_members.js';
import {decideSwitchover} from './decide_switchover.js';

type Observation = Extract<FailoverMessage, {kind: 'observed'}>;

/** Decides what one VM does about the primary of one group after a message. */
export function decideFailover(
  state: FailoverState,
  message: FailoverMessage,
  random: Random,
  now: number,
): FailoverStep {
  switch (message.kind) {
    case 'configured': {
      const {members, dataCentresInService} = message;
      return {state: {...state, members, dataCentresInService}, actions: []};
    }
    case 'reported':
      return {state: recordReport(state, message.report, now), actions: []};
    case 'progress':
      return state.attempt
        ? advance(state, state.attempt, message.event, random, now)
        : {state, actions: []};
    case 'observed':
      return handleObservation(state, message, random, now);
  }
}

/**
 * Records a report. A report that repeats the kind and term of the previous one
 * keeps the earliest start of the reported condition.
 */
function recordReport(
  state: FailoverState,
  report: FailoverReport,
  now: number,
): FailoverState {
  const previous = state.reports[report.vm];
  const since = now - report.forMs;
  const continues =
    previous?.report.kind === report.kind &&
    previous.report.term === report.term;
  const received: ReceivedReport = {
    report,
    since: continues ? Math.min(previous.since, since) : since,
    receivedAt: now,
  };
  return {...state, reports: {...state.reports, [report.vm]: received}};
}

function handleObservation(
  before: FailoverState,
  observation: Observation,
  random: Random,
  now: number,
): FailoverStep {
  const {view} = observation;
  const actions: FailoverAction[] = [];
  const assessment = assessGroup(view);
  const resumed = discardAfterPause(before, random, now);
  actions.push(...resumed.actions);
  let state = recordFences(resumed.state, view, now);
  state = updateOwnReport(state, assessment, observation, now, actions);
  if (state.attempt) {
    const step = continueAttempt(state, state.attempt, assessment, random, now);
    return {state: step.state, actions: [...actions, ...step.actions]};
  }
  const reason = reasonToStart(state, view, assessment, now);
  if (reason && now >= state.noAttemptBefore) {
    const step = startNewAttempt(state, view, reason, random, now);
    return {state: step.state, actions: [...actions, ...step.actions]};
  }
  if (assessment.kind === 'healthy') {
    state = orderToFollow(state, view, assessment.primary, now, actions);
  }
  return {state, actions};
}

/**
 * Discards the reports after a pause of this VM, so that it does not start an
 * attempt from an outdated view. An attempt in the `claim` phase is abandoned.
 * One that may have set fences continues, because the members check its term.
 */
function discardAfterPause(
  state: FailoverState,
  random: Random,
  now: number,
): FailoverStep {
  const paused = now - state.observedAt > PAUSE_THRESHOLD_MS;
  const current = {...state, observedAt: now};
  if (!paused) return {state: current, actions: []};
  const withoutReports = {...current, reports: {}};
  return state.attempt?.phase === 'claim'
    ? storeAttempt(
        withoutReports,
        abandon(state.attempt, 'paused'),
        random,
        now,
      )
    : {state: withoutReports, actions: []};
}

/**
 * Delays this VM's next attempt whenever another VM sets a fence, so that the
 * other attempt can finish.
 */
function recordFences(
  state: FailoverState,
  view: GroupView,
  now: number,
): FailoverState {
  let {highestFencedTerm, noAttemptBefore} = state;
  for (const {state: member} of view.members) {
    if (!member || member.fencedTerm <= highestFencedTerm) continue;
    highestFencedTerm = member.fencedTerm;
    if (member.fencedOwner !== state.owner) {
      noAttemptBefore = Math.max(noAttemptBefore, now + TAKEOVER_DELAY_MS);
    }
  }
  return {...state, highestFencedTerm, noAttemptBefore};
}

/**
 * Records this VM's own report, and sends it at intervals and when its kind or
 * term changes.
 */
function updateOwnReport(
  state: FailoverState,
  assessment: Assessment,
  observation: Observation,
  now: number,
  actions: FailoverAction[],
): FailoverState {
  const previous = state.reports[state.vm];
  const kind = ownReportKind(state, assessment, observation, now);
  if (kind === 'clear' && (!previous || previous.report.kind === 'clear')) {
    return state;
  }
  const continues =
    previous?.report.kind === kind && previous.report.term === assessment.term;
  const report: FailoverReport = {
    kind,
    database: state.database,
    vm: state.vm,
    dataCentre: state.dataCentre,
    term: assessment.term,
    forMs: continues ? now - previous.since : 0,
    running: kind === 'busy' ? observation.transactions : observation.running,
  };
  const recorded = recordReport(state, report, now);
  if (continues && now - state.reportedAt < REPORT_INTERVAL_MS) return recorded;
  actions.push({kind: 'report', report});
  return {...recorded, reportedAt: now};
}

function ownReportKind(
  state: FailoverState,
  assessment: Assessment,
  observation: Observation,
  now: number,
): FailoverReport['kind'] {
  if (assessment.kind === 'suspect') return 'suspect';
  if (assessment.kind === 'majority-unreachable') return 'clear';
  const {backendServer} = assessment.primary;
  const leaving = state.members.some(
    m => m.backendServer === backendServer && m.eligibility === 'leaving',
  );
  if (leaving) return 'move';
  const moveReports = unexpiredReports(
    state.reports,
    'move',
    assessment.term,
    now,
  );
  const reportedByOthers = moveReports.some(
    ({report}) => report.vm !== state.vm,
  );
  return reportedByOthers && observation.transactions > 0 ? 'busy' : 'clear';
}

/**
 * Returns why this VM starts an attempt now, or undefined if it does not. VMs
 * start one after the other in the order of their ranks, and a suspicion must
 * have lasted for `MIN_SUSPICION_MS`.
 */
function reasonToStart(
  state: FailoverState,
  view: GroupView,
  assessment: Assessment,
  now: number,
): AttemptReason | undefined {
  if (assessment.kind === 'majority-unreachable') return undefined;
  const kind = assessment.kind === 'suspect' ? 'suspect' : 'move';
  const own = state.reports[state.vm];
  if (own?.report.kind !== kind) return undefined;
  const reports = unexpiredReports(state.reports, kind, assessment.term, now);
  const key = `${state.database}/${assessment.term}`;
  const delayMs = rankAmongReporters(state.vm, reports, key) * RANK_DELAY_MS;
  if (assessment.kind === 'healthy') {
    const waitedMs = now - own.since - delayMs;
    const busyReports = unexpiredReports(
      state.reports,
      'busy',
      assessment.term,
      now,
    );
    const decision = decideSwitchover(
      view,
      assessment.primary,
      state.members,
      [...reports, ...busyReports],
      waitedMs,
      state.switchoverGraceMs,
    );
    return decision === 'ready' ? 'planned-move' : undefined;
  }
  const needed = Math.min(2, state.dataCentresInService);
  const agreed = agreedSince(reports, needed);
  const since =
    assessment.evidence === 'members'
      ? own.since
      : agreed === undefined
        ? undefined
        : Math.max(agreed, own.since);
  return since !== undefined && now >= since + MIN_SUSPICION_MS + delayMs
    ? 'suspicion'
    : undefined;
}

function startNewAttempt(
  state: FailoverState,
  view: GroupView,
  reason: AttemptReason,
  random: Random,
  now: number,
): FailoverStep {
  const seenTerms = view.members.flatMap(m =>
    m.state ? [m.state.term, m.state.fencedTerm] : [],
  );
  const {term} = assessGroup(view);
  const primary = view.members.find(
    m => m.state?.role === 'primary' && m.state.term === term,
  );
  const {attempt, actions} = startAttempt(
    {
      database: state.database,
      owner: state.owner,
      reason,
      highestSeenTerm: Math.max(state.highestOwnTerm, ...seenTerms),
      members: state.members,
      formerPrimary: primary?.backendServer ?? '',
      reachable: view.members
        .filter(m => m.reachability === 'reachable')
        .map(m => m.backendServer),
      awaitedClaimVersion: state.awaitedClaimVersion,
    },
    now,
  );
  const step = storeAttempt(state, attempt, random, now);
  return {
    state: step.state,
    actions: [{kind: 'started', attempt}, ...actions, ...step.actions],
  };
}

/**
 * Continues an attempt, or abandons a failover in the `claim` phase when the
 * group is healthy again.
 */
function continueAttempt(
  state: FailoverState,
  attempt: Attempt,
  assessment: Assessment,
  random: Random,
  now: number,
): FailoverStep {
  const recovered =
    assessment.kind === 'healthy' &&
    attempt.phase === 'claim' &&
    attempt.reason === 'suspicion';
  return recovered
    ? storeAttempt(state, abandon(attempt, 'recovered'), random, now)
    : advance(state, attempt, {kind: 'tick'}, random, now);
}

function advance(
  state: FailoverState,
  attempt: Attempt,
  event: AttemptEvent,
  random: Random,
  now: number,
): FailoverStep {
  const step = advanceAttempt(attempt, event, now);
  const stored = storeAttempt(state, step.attempt, random, now);
  return {state: stored.state, actions: [...step.actions, ...stored.actions]};
}

/**
 * Stores an attempt in the state. An attempt that has ended is removed: the
 * state keeps its term, delays the next attempt and, if another VM's claim ended
 * it, keeps the version of that claim.
 */
function storeAttempt(
  state: FailoverState,
  attempt: Attempt,
  random: Random,
  now: number,
): FailoverStep {
  const highestOwnTerm = Math.max(state.highestOwnTerm, attempt.term);
  if (!isEnded(attempt)) {
    return {state: {...state, highestOwnTerm, attempt}, actions: []};
  }
  const claimedByOther = attempt.abandoned === 'claimed-by-other';
  const delayMs =
    claimedByOther || attempt.phase === 'done'
      ? TAKEOVER_DELAY_MS
      : random.integer(BACKOFF_MIN_MS, BACKOFF_MAX_MS);
  return {
    state: {
      ...state,
      highestOwnTerm,
      attempt: undefined,
      noAttemptBefore: Math.max(state.noAttemptBefore, now + delayMs),
      awaitedClaimVersion: claimedByOther
        ? attempt.rowVersion
        : state.awaitedClaimVersion,
    },
    actions: [{kind: 'ended', attempt}],
  };
}

/** Orders members in an older term to follow the primary, at intervals. */
function orderToFollow(
  state: FailoverState,
  view: GroupView,
  primary: MemberView,
  now: number,
  actions: FailoverAction[],
): FailoverState {
  const term = primary.state?.term ?? 0;
  const address = state.members.find(
    member => member.backendServer === primary.backendServer,
  )?.address;
  if (address === undefined) return state;
  const orderedAt = {...state.ordered};
  for (const {backendServer} of findOutdatedMembers(view, primary)) {
    const last = orderedAt[backendServer] ?? -Infinity;
    if (now - last < FOLLOW_ORDER_INTERVAL_MS) continue;
    orderedAt[backendServer] = now;
    actions.push({kind: 'follow', backendServer, term, primary: address});
  }
  return {...state, ordered: orderedAt};
}
