import type {CheckResult, Violation, ViolationKind} from './check_result.js';
import type {
  Contents,
  HistoryEvent,
  ReadEvent,
  TransactionEvent,
  WriteOutcome,
} from './history_event.js';

const MAX_EXAMPLES = 3;

const KINDS: readonly ViolationKind[] = [
  'lost',
  'doubled',
  'stale',
  'foreign-answer',
  'false-refusal',
  'acknowledged-after-refusal',
  'torn',
];

/** The combined outcome of all attempts at a write. */
interface WriteRecord {
  readonly session: string;
  readonly outcome: WriteOutcome;
  /** When the first acknowledgement arrived; infinite without one. */
  readonly acknowledgedAt: number;
}

type WriteRecords = ReadonlyMap<string, WriteRecord>;

/**
 * Compares the responses that callers received with the contents of the
 * databases at the end. A write with an unknown outcome may be present or not,
 * but at most once.
 */
export function checkHistory(
  history: readonly HistoryEvent[],
  contents: Contents,
): CheckResult {
  const writes = recordWrites(history);
  const reads = history.filter(event => event.kind === 'read');
  const violations = [
    ...checkWrites(writes, contents),
    ...reads.flatMap(read => checkRead(read, writes)),
    ...history
      .filter(event => event.kind === 'transaction')
      .flatMap(event => checkTransaction(event, contents)),
  ];
  const outcomes = [...writes.values()].map(record => record.outcome);
  return {
    writes: writes.size,
    reads: reads.length,
    acknowledged: outcomes.filter(item => item === 'acknowledged').length,
    unknown: outcomes.filter(item => item === 'unknown').length,
    counts: Object.fromEntries(
      KINDS.map(kind => [kind, violationsOfKind(violations, kind).length]),
    ) as Record<ViolationKind, number>,
    examples: KINDS.flatMap(kind =>
      violationsOfKind(violations, kind).slice(0, MAX_EXAMPLES),
    ),
  };
}

/** Returns the number of violations of all kinds. */
export function violationCount(result: CheckResult): number {
  return Object.values(result.counts).reduce((sum, count) => sum + count, 0);
}

function recordWrites(history: readonly HistoryEvent[]): WriteRecords {
  const records = new Map<string, WriteRecord>();
  for (const event of history) {
    if (event.kind === 'read') continue;
    const names = event.kind === 'write' ? [event.write] : event.writes;
    for (const name of names) {
      const before = records.get(name);
      const acknowledgedAt =
        event.outcome === 'acknowledged' ? event.endedAt : Infinity;
      records.set(name, {
        session: event.session,
        outcome: combinedOutcome(before?.outcome, event.outcome),
        acknowledgedAt: Math.min(
          before?.acknowledgedAt ?? Infinity,
          acknowledgedAt,
        ),
      });
    }
  }
  return records;
}

/**
 * Combines the outcomes of two attempts: `acknowledged` takes precedence over
 * `unknown`, which takes precedence over the others.
 */
function combinedOutcome(
  before: WriteOutcome | undefined,
  now: WriteOutcome,
): WriteOutcome {
  const order: readonly WriteOutcome[] = ['acknowledged', 'unknown', 'failed'];
  return order.find(item => item === before || item === now) ?? now;
}

function checkWrites(writes: WriteRecords, contents: Contents): Violation[] {
  return [...writes].flatMap(([name, {outcome}]) => {
    const copies = contents.get(name) ?? 0;
    const found: Violation[] = [];
    if (copies > 1) {
      found.push({
        kind: 'doubled',
        detail: `${name} is present ${copies} times`,
      });
    }
    if (outcome === 'acknowledged' && copies === 0) {
      found.push({kind: 'lost', detail: `${name} is absent`});
    }
    if ((outcome === 'not-run' || outcome === 'failed') && copies > 0) {
      found.push({
        kind: 'false-refusal',
        detail: `${name} ended as ${outcome} and is present`,
      });
    }
    return found;
  });
}

function checkRead(read: ReadEvent, writes: WriteRecords): Violation[] {
  if (read.answeredValue !== read.value) {
    const detail = `request ${read.value} got ${read.answeredValue}`;
    return [{kind: 'foreign-answer', detail}];
  }
  const target = writes.get(read.target);
  if (!target || read.found > 0) return [];
  const isOwn = target.session === read.session;
  const mustReturnUntil = read.startedAt - (isOwn ? 0 : read.maxAgeMs);
  if (target.acknowledgedAt > mustReturnUntil) return [];
  const ageMs = Math.round(read.startedAt - target.acknowledgedAt);
  const requirement = isOwn
    ? 'of its own session'
    : `with age ${read.maxAgeMs} ms`;
  const detail = `read ${read.value} missed ${read.target} ${requirement} after ${ageMs} ms`;
  return [{kind: 'stale', detail}];
}

function checkTransaction(
  event: TransactionEvent,
  contents: Contents,
): Violation[] {
  const found: Violation[] = [];
  if (event.beforeCommit === 'lost' && event.outcome === 'acknowledged') {
    found.push({
      kind: 'acknowledged-after-refusal',
      detail: `${event.writes.join('+')} was lost before COMMIT`,
    });
  }
  const present = event.writes.filter(name => (contents.get(name) ?? 0) > 0);
  if (present.length > 0 && present.length < event.writes.length) {
    found.push({
      kind: 'torn',
      detail: `of ${event.writes.join('+')} only ${present.join('+')} is present`,
    });
  }
  return found;
}

function violationsOfKind(
  violations: readonly Violation[],
  kind: ViolationKind,
): Violation[] {
  return violations.filter(item => item.kind === kind);
}
