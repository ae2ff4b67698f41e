import type {
  Exchange,
  History,
  MemberRequest,
} from '@pistachiorill/platform/standins';
import type {Violation} from './check_history.js';

/** Work on VMs that must not interrupt a request. Times are in ms. */
export type PlannedWork =
  | {
      /** A second signal reaches a VM that drains after SIGTERM. */
      readonly kind: 'sigterm' | 'second-signal' | 'sighup';
      readonly vm: string;
      readonly atMs: number;
    }
  | {
      readonly kind: 'configuration';
      /** When the configuration was sent to the store. */
      readonly atMs: number;
      readonly acknowledgedMs: number;
    };

/** A time in which the process that records the history did not run. */
export interface Stall {
  readonly fromMs: number;
  readonly toMs: number;
}

/** The facts about a run that the check needs beside its history. */
export interface LostContext {
  /** The VM that listens on an address. */
  readonly vmAt: (address: string) => string;
  readonly plannedWork: readonly PlannedWork[];
  /** Whether an unplanned fault affected the VM, its links or what it uses. */
  readonly isDisrupted: (vm: string, fromMs: number, toMs: number) => boolean;
  readonly stalls: readonly Stall[];
  readonly graceMs: number;
  /** The lowest time limit of a statement. */
  readonly statementTimeoutMs: number;
  /** The time within which a configuration must be in force. */
  readonly applyMs: number;
  /** The time after a fault in which its effects are excused. */
  readonly contactMs: number;
}

/** A request that was not passed on may cross the close of its connection. */
const CROSSING_MS = 200;
/** How long after the grace period a signal still counts as planned work. */
const AFTER_GRACE_MS = 1_000;
/** How long after a configuration is due it still counts as planned work. */
const AFTER_APPLY_MS = 1_000;
/** Members that still work in this last part of the grace period are excused. */
const LAST_GRACE_PART = 1 / 6;
/** A request that is sent later after SIGTERM is the VM's to refuse. */
const LONG_REQUEST_SENT_MS = 3_000;
/** Beside a configuration, a request near its time limit is not counted. */
const MAX_USED_TIME = 0.7;
/** Beside a configuration, cuts count if they are this much more frequent. */
const CUT_RATIO = 3;

/** A request whose connection ended without an answer, and its VM. */
interface Cut {
  readonly exchange: Exchange;
  readonly vm: string;
  readonly requests: readonly MemberRequest[];
  readonly waitedMs: number;
  readonly work: readonly PlannedWork[];
}

/**
 * Finds requests that ended without an answer around planned work, although no
 * unplanned fault explains it.
 */
export function checkLost(
  history: Pick<History, 'exchanges' | 'memberRequests'>,
  context: LostContext,
): readonly Violation[] {
  const requests = new Map<string, MemberRequest[]>();
  for (const item of history.memberRequests) {
    requests.set(item.id, [...(requests.get(item.id) ?? []), item]);
  }
  const cuts = history.exchanges
    .filter(item => item.end === 'cut')
    .map(exchange => describeCut(exchange, requests, context))
    .filter(cut => isCounted(cut, context));
  const frequent = vmsThatCutBesideConfigurations(history, cuts, context);
  return cuts.flatMap(cut => {
    const isSignalled = cut.work.some(item => item.kind !== 'configuration');
    const counts = isSignalled
      ? !isExcusedByMember(cut, context)
      : cut.work.length > 0 &&
        frequent.has(cut.vm) &&
        cut.waitedMs < context.statementTimeoutMs * MAX_USED_TIME;
    return counts ? [violation(cut)] : [];
  });
}

function describeCut(
  exchange: Exchange,
  requests: ReadonlyMap<string, readonly MemberRequest[]>,
  context: LostContext,
): Cut {
  const vm = context.vmAt(exchange.address);
  const {sentAt, endedAt} = exchange;
  const stalledMs = context.stalls
    .map(({fromMs, toMs}) => Math.min(toMs, endedAt) - Math.max(fromMs, sentAt))
    .reduce((sum, ms) => sum + Math.max(0, ms), 0);
  return {
    exchange,
    vm,
    requests: requests.get(exchange.id) ?? [],
    waitedMs: endedAt - sentAt - stalledMs,
    work: context.plannedWork.filter(item =>
      isBeside(item, vm, exchange, context),
    ),
  };
}

/** Whether the request ended around the planned work. */
function isBeside(
  work: PlannedWork,
  vm: string,
  {sentAt, endedAt}: Pick<Exchange, 'sentAt' | 'endedAt'>,
  {graceMs, applyMs}: LostContext,
): boolean {
  if (endedAt < work.atMs) return false;
  switch (work.kind) {
    case 'sigterm':
    case 'second-signal':
      return work.vm === vm && endedAt <= work.atMs + graceMs + AFTER_GRACE_MS;
    case 'sighup':
      return work.vm === vm && sentAt <= work.atMs + applyMs;
    case 'configuration':
      return endedAt <= work.acknowledgedMs + applyMs + AFTER_APPLY_MS;
  }
}

/** Whether the VM must have answered, as far as no work at it excuses it. */
function isCounted(
  {exchange, vm, requests, waitedMs}: Cut,
  context: LostContext,
): boolean {
  const {sentAt, endedAt} = exchange;
  const isPassedOn = requests.length > 0;
  if (!isPassedOn && waitedMs <= CROSSING_MS) return false;
  // The time limit ends the request, however late the recorder saw it.
  if (endedAt - sentAt >= context.statementTimeoutMs) return false;
  return !context.isDisrupted(vm, sentAt - context.contactMs, endedAt);
}

/** Whether the member was at work for too long to be waited for. */
function isExcusedByMember(
  {exchange, vm, requests}: Cut,
  {plannedWork, graceMs}: LostContext,
): boolean {
  const sentMs = Math.min(LONG_REQUEST_SENT_MS, graceMs / 2);
  return plannedWork.some(work => {
    if (work.kind !== 'sigterm' || work.vm !== vm) return false;
    const endMs = work.atMs + graceMs;
    const lastPartMs = endMs - graceMs * LAST_GRACE_PART;
    return (
      exchange.sentAt <= work.atMs + sentMs &&
      requests.some(
        ({at, answeredAt = Infinity}) =>
          at <= endMs && answeredAt >= lastPartMs && exchange.endedAt >= at,
      )
    );
  });
}

/** The VMs that cut requests more often beside configurations than elsewhere. */
function vmsThatCutBesideConfigurations(
  {exchanges}: Pick<History, 'exchanges'>,
  cuts: readonly Cut[],
  context: LostContext,
): ReadonlySet<string> {
  const {vmAt, plannedWork} = context;
  const configurations = plannedWork.filter(
    item => item.kind === 'configuration',
  );
  const isBesideAny = (exchange: Exchange, vm: string): boolean =>
    configurations.some(item => isBeside(item, vm, exchange, context));
  return new Set(
    [...new Set(cuts.map(item => item.vm))].filter(vm => {
      const beside = {requests: 0, cuts: 0};
      const elsewhere = {requests: 0, cuts: 0};
      for (const item of exchanges.filter(item => vmAt(item.address) === vm)) {
        (isBesideAny(item, vm) ? beside : elsewhere).requests++;
      }
      for (const {exchange} of cuts.filter(item => item.vm === vm)) {
        (isBesideAny(exchange, vm) ? beside : elsewhere).cuts++;
      }
      const usual = elsewhere.cuts / Math.max(1, elsewhere.requests);
      return beside.cuts > CUT_RATIO * usual * beside.requests;
    }),
  );
}

function violation({exchange, vm, requests, waitedMs, work}: Cut): Violation {
  const {id, endedAt} = exchange;
  const after = work
    // Signals are few; of a series of configurations the last one matters.
    .filter(
      (item, index) =>
        item.kind !== 'configuration' ||
        !work.slice(index + 1).some(later => later.kind === item.kind),
    )
    .map(({kind, atMs}) => `${Math.round(endedAt - atMs)} ms after ${kind}`)
    .join(', ');
  const where = requests.map(item => item.member).join(', ');
  const passed =
    requests.length > 0 ? `passed on to ${where}` : 'not passed on';
  return {
    promise: 'lost',
    detail: `${id} at ${vm} after ${Math.round(waitedMs)} ms, ${passed}; ${after}`,
  };
}
