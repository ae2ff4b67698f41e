import {
  CONFIGURATION_BOUND_MS,
  MAX_AGE_MS,
  isInLog,
} from '@pistachiorill/platform/standins';
import type {
  Commit,
  DatabaseKind,
  History,
  Operation,
  Run,
} from '@pistachiorill/platform/standins';

/** Which promise was broken. */
export type BrokenPromise =
  | 'answer-not-from-member'
  | 'write-twice'
  | 'refused-but-kept'
  | 'acknowledged-by-former-primary'
  | 'stale-read'
  | 'statement-not-sent'
  | 'transaction-torn'
  | 'values-of-another-session'
  | 'key-at-member'
  | 'orders-out-of-order'
  | 'withdrawn-key-served'
  | 'no-recovery';

export interface Violation {
  readonly promise: BrokenPromise;
  readonly detail: string;
}

/** What a check needs beside the history. */
export interface CheckContext {
  /** The newest commit of each group's primary at the end. */
  readonly ends: ReadonlyMap<string, Commit | undefined>;
  readonly withdrawnAt: ReadonlyMap<string, number>;
  /** Whether no VM was kept from the store, or stood still, in a time. */
  readonly isCalm: (fromMs: number, toMs: number) => boolean;
  readonly recovery: {readonly fromMs: number; readonly leastShare: number};
}

/** Looks for broken promises in what callers and members saw. */
export function checkHistory(
  history: History,
  context: CheckContext,
): readonly Violation[] {
  const runs = groupBy(history.runs, run => run.id);
  const commits = groupBy(history.commits, commit => commit.data);
  return [
    ...history.operations.flatMap(operation => [
      ...checkAnswers(operation, runs),
      ...checkTransaction(operation, runs),
      ...checkKept(operation, commits),
      ...checkFormerPrimary(operation, commits, history),
      ...checkKey(operation, context),
    ]),
    ...checkTwice(commits),
    ...checkSent(history),
    ...checkStale(history, runs, commits, context),
    ...checkOrders(history),
    ...checkMembers(history),
    ...checkRecovery(history, context),
  ];
}

type ById<T> = ReadonlyMap<string, readonly T[]>;

function groupBy<T>(items: readonly T[], key: (item: T) => string): ById<T> {
  const groups = new Map<string, T[]>();
  for (const item of items) {
    const group = groups.get(key(item));
    if (group) group.push(item);
    else groups.set(key(item), [item]);
  }
  return groups;
}

function checkAnswers({statements}: Operation, runs: ById<Run>): Violation[] {
  return statements.flatMap(({id, answer}) => {
    if (!answer) return [];
    const isMembers = (runs.get(id) ?? []).some(
      run =>
        run.answer.signature === answer.signature &&
        run.answer.rows.join() === answer.rows.join(),
    );
    return isMembers ? [] : [violation('answer-not-from-member', id)];
  });
}

function checkTransaction(
  {kind, outcome, session, statements}: Operation,
  runs: ById<Run>,
): Violation[] {
  const found: Violation[] = [];
  const answered = statements.flatMap(({id, answer}) =>
    (runs.get(id) ?? []).filter(
      run => run.answer.signature === answer?.signature,
    ),
  );
  for (const run of answered) {
    if (run.values !== `tag=${session}`) {
      const detail = `${run.id} of ${session} ran with ${run.values}`;
      found.push(violation('values-of-another-session', detail));
    }
  }
  if (kind !== 'transaction' || outcome !== 'success') return found;
  const places = new Set(
    answered.map(run => `${run.connection}/${run.transaction}`),
  );
  const isWhole = places.size === 1 && answered[0]?.transaction !== 0;
  if (!isWhole) {
    const detail = `${session}: ${[...places].join(' ')}`;
    found.push(violation('transaction-torn', detail));
  }
  return found;
}

function checkKept(
  {outcome, data, detail}: Operation,
  commits: ById<Commit>,
): Violation[] {
  if (outcome !== 'nothing-kept' || data === undefined) return [];
  if (!commits.has(data)) return [];
  return [violation('refused-but-kept', `${data}: ${detail}`)];
}

function checkFormerPrimary(
  {outcome, data}: Operation,
  commits: ById<Commit>,
  {promotions}: History,
): Violation[] {
  if (outcome !== 'success' || data === undefined) return [];
  return (commits.get(data) ?? []).flatMap(commit => {
    const later = promotions.find(
      item =>
        item.group === commit.group &&
        item.term > commit.term &&
        item.at < commit.at,
    );
    if (!later) return [];
    const lateMs = Math.round(commit.at - later.at);
    const detail = `${data} at ${commit.member}, ${lateMs} ms after term ${later.term}`;
    return [violation('acknowledged-by-former-primary', detail)];
  });
}

function checkKey(
  {outcome, key, startedAt}: Operation,
  {withdrawnAt, isCalm}: CheckContext,
): Violation[] {
  const withdrawn = withdrawnAt.get(key) ?? Infinity;
  if (outcome !== 'success') return [];
  if (startedAt < withdrawn + CONFIGURATION_BOUND_MS) return [];
  // A VM that cannot learn of it may serve the key for longer.
  if (!isCalm(withdrawn, startedAt)) return [];
  const lateMs = Math.round(startedAt - withdrawn);
  return [violation('withdrawn-key-served', `${key} after ${lateMs} ms`)];
}

function checkTwice(commits: ById<Commit>): Violation[] {
  return [...commits].flatMap(([data, found]) =>
    found.length > 1 ? [violation('write-twice', data)] : [],
  );
}

function checkSent({operations, runs}: History): Violation[] {
  const sent = new Map(
    operations.flatMap(({statements}) =>
      statements.map(({id, text}) => [id, text] as const),
    ),
  );
  return runs.flatMap(({id, text}) =>
    sent.get(id) === text
      ? []
      : [violation('statement-not-sent', `${id}: ${text}`)],
  );
}

/** How old the commits of others may be that a read lacks. */
const AGES: Readonly<Record<DatabaseKind, number>> = {
  strict: 0,
  own: MAX_AGE_MS,
  bounded: MAX_AGE_MS,
};

function checkStale(
  {operations}: History,
  runs: ById<Run>,
  commits: ById<Commit>,
  {ends}: CheckContext,
): Violation[] {
  const acknowledged = operations
    .filter(item => item.outcome === 'success' && item.data !== undefined)
    .flatMap(({data, endedAt, session}) =>
      (commits.get(data ?? '') ?? [])
        // What a promotion rolled back is not missed.
        .filter(commit => isInLog(commit, ends.get(commit.group)))
        .map(commit => ({commit, endedAt, session})),
    );
  return operations.flatMap(operation => {
    const {group, database, session, statements, startedAt} = operation;
    const needed = acknowledged.filter(
      ({commit, endedAt, session: writer}) =>
        commit.group === group &&
        (endedAt < startedAt - AGES[database] ||
          (database === 'own' && writer === session && endedAt < startedAt)),
    );
    const newest = needed
      .map(item => item.commit)
      .reduce<Commit | undefined>(
        (a, b) => (a && a.number > b.number ? a : b),
        undefined,
      );
    return statements
      .filter(({access}) => access === 'read')
      .flatMap(({id}) => runs.get(id) ?? [])
      .filter(run => !isInLog(newest, run.sees))
      .map(run =>
        violation(
          'stale-read',
          `${run.id} on ${database} at ${run.member} lacks ${newest?.data}`,
        ),
      );
  });
}

function checkOrders({promotions}: History): Violation[] {
  const holders = new Map<number, string>();
  let highest = 0;
  return promotions.flatMap(({fence, holder, member}) => {
    const known = holders.get(fence);
    const isWrong = fence < highest || (known ?? holder) !== holder;
    holders.set(fence, holder);
    highest = Math.max(highest, fence);
    if (!isWrong) return [];
    const detail = `${member} by ${holder}, ${fence}`;
    return [violation('orders-out-of-order', detail)];
  });
}

function checkMembers({callersAtMembers, operations}: History): Violation[] {
  const keys = new Set(operations.map(item => item.key));
  return [...callersAtMembers]
    .filter(name => keys.has(name))
    .map(name => violation('key-at-member', name));
}

function checkRecovery(
  {operations}: History,
  {recovery}: CheckContext,
): Violation[] {
  const last = operations.filter(item => item.startedAt >= recovery.fromMs);
  const served = last.filter(item => item.outcome === 'success').length;
  if (served > 0 && served >= last.length * recovery.leastShare) return [];
  return [violation('no-recovery', `${served} of ${last.length} served`)];
}

function violation(promise: BrokenPromise, detail: string): Violation {
  return {promise, detail};
}
