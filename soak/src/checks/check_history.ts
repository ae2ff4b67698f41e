import {
  CONTACT_MS,
  MAX_WITHDRAWAL_DELAY_MS,
  MAX_STALENESS_MS,
  logContains,
} from '@pistachiorill/platform/standins';
import type {
  Commit,
  DatabaseKind,
  History,
  Operation,
  StatementExecution,
} from '@pistachiorill/platform/standins';

/** Which guarantee of the gateway a history violates. */
export type ViolationKind =
  /** A response differs from what the members returned for the statement. */
  | 'answer-not-from-member'
  /** The data of one write was committed more than once. */
  | 'write-twice'
  /** A write was reported as not executed, but it was committed. */
  | 'refused-but-kept'
  /** An acknowledged write was committed after a promotion to a higher term. */
  | 'acknowledged-by-former-primary'
  /** A member was promoted that lacked an acknowledged write. */
  | 'acknowledged-commit-lost'
  /** A read lacks a commit that its consistency level requires. */
  | 'stale-read'
  /** A member executed a statement that no caller sent, or another text. */
  | 'statement-not-sent'
  /** The statements of a transaction ran in more than one transaction. */
  | 'transaction-torn'
  /** A statement ran with the session variables of another session. */
  | 'values-of-another-session'
  /** A member received the key of a caller. */
  | 'key-at-member'
  /** Fencing numbers of promotions decreased or were used by two VMs. */
  | 'orders-out-of-order'
  /** A VM served a withdrawn key after the time allowed for its update. */
  | 'withdrawn-key-served'
  /** A request ended without an answer around planned work. */
  | 'lost'
  /** A VM sent a line while no request was under way that is not an ERROR. */
  | 'response-to-nothing'
  /** A request got a further COMPLETE or ERROR before its READY. */
  | 'second-outcome'
  /** A request got its READY without COMPLETE or ERROR. */
  | 'no-outcome'
  /** A process ended that nobody had signalled to end. */
  | 'process-ended'
  /** A window was reported twice with different counts. */
  | 'usage-report-differs'
  /** Usage reports had fencing numbers or holders out of order. */
  | 'usage-holders'
  /** Too few operations succeeded after the last fault. */
  | 'no-recovery';

/** One violation of a guarantee. */
export interface Violation {
  /** The violated guarantee. */
  readonly promise: ViolationKind;
  readonly detail: string;
}

/** The facts about a run that its history does not contain. */
export interface CheckContext {
  /** The last commit of each group's primary at the end of the run. */
  readonly finalCommits: ReadonlyMap<string, Commit | undefined>;
  /** When each withdrawn key was withdrawn. */
  readonly withdrawnAt: ReadonlyMap<string, number>;
  /**
   * Whether no fault stopped or paused the VM with this address, or disturbed
   * its access to the store, during the interval.
   */
  readonly isUndisturbed: (
    address: string,
    fromMs: number,
    toMs: number,
  ) => boolean;
  /** The share of operations after `fromMs` that must succeed. */
  readonly recovery: {readonly fromMs: number; readonly minServedShare: number};
}

/** Finds the violations in the recorded operations of callers and members. */
export function checkHistory(
  history: History,
  context: CheckContext,
): readonly Violation[] {
  const runs = groupBy(history.executions, run => run.id);
  const commits = groupBy(history.commits, commit => commit.data);
  return [
    ...history.operations.flatMap(operation => [
      ...checkAnswers(operation, runs),
      ...checkTransaction(operation, runs),
      ...checkRefusedWrites(operation, commits),
      ...checkFormerPrimary(operation, commits, history),
      ...checkWithdrawnKey(operation, context),
    ]),
    ...checkDuplicates(commits),
    ...checkStatementTexts(history),
    ...checkStaleReads(history, runs, commits, context),
    ...checkPromotionOrder(history),
    ...checkKeysAtMembers(history),
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

function checkAnswers(
  {statements}: Operation,
  runs: ById<StatementExecution>,
): Violation[] {
  return statements.flatMap(({id, answer}) => {
    if (!answer) return [];
    const isFromMember = (runs.get(id) ?? []).some(
      run =>
        run.answer.signature === answer.signature &&
        run.answer.rows.join() === answer.rows.join(),
    );
    return isFromMember ? [] : [violation('answer-not-from-member', id)];
  });
}

function checkTransaction(
  {kind, outcome, session, statements}: Operation,
  runs: ById<StatementExecution>,
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
  const transactions = new Set(
    answered.map(run => `${run.connection}/${run.transaction}`),
  );
  const isSingleTransaction =
    transactions.size === 1 && answered[0]?.transaction !== 0;
  if (!isSingleTransaction) {
    const detail = `${session}: ${[...transactions].join(' ')}`;
    found.push(violation('transaction-torn', detail));
  }
  return found;
}

function checkRefusedWrites(
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

function checkWithdrawnKey(
  {outcome, key, address, startedAt}: Operation,
  {withdrawnAt, isUndisturbed}: CheckContext,
): Violation[] {
  const withdrawn = withdrawnAt.get(key) ?? Infinity;
  if (outcome !== 'success') return [];
  if (startedAt < withdrawn + MAX_WITHDRAWAL_DELAY_MS) return [];
  // A VM that cannot receive the update may serve the key for longer, but not
  // once it has been undisturbed for a while.
  const isCalm = (fromMs: number): boolean =>
    isUndisturbed(address, fromMs, startedAt);
  const mayBeLate = !isCalm(withdrawn) && !isCalm(startedAt - CONTACT_MS);
  if (mayBeLate) return [];
  const lateMs = Math.round(startedAt - withdrawn);
  return [violation('withdrawn-key-served', `${key} after ${lateMs} ms`)];
}

function checkDuplicates(commits: ById<Commit>): Violation[] {
  return [...commits].flatMap(([data, found]) =>
    found.length > 1 ? [violation('write-twice', data)] : [],
  );
}

function checkStatementTexts({
  operations,
  executions: runs,
}: History): Violation[] {
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

/** How old commits of other sessions may be that a read does not return. */
const MAX_READ_AGE_MS: Readonly<Record<DatabaseKind, number>> = {
  strict: 0,
  own: MAX_STALENESS_MS,
  bounded: MAX_STALENESS_MS,
};

function checkStaleReads(
  {operations}: History,
  runs: ById<StatementExecution>,
  commits: ById<Commit>,
  {finalCommits: ends}: CheckContext,
): Violation[] {
  const acknowledged = operations
    .filter(item => item.outcome === 'success' && item.data !== undefined)
    .flatMap(({data, endedAt, session}) =>
      (commits.get(data ?? '') ?? [])
        // A read need not return a commit that a promotion rolled back.
        .filter(commit => logContains(commit, ends.get(commit.group)))
        .map(commit => ({commit, endedAt, session})),
    );
  return operations.flatMap(operation => {
    const {database, session, statements, startedAt} = operation;
    const needed = acknowledged.filter(
      ({endedAt, session: writer}) =>
        endedAt < startedAt - MAX_READ_AGE_MS[database] ||
        (database === 'own' && writer === session && endedAt < startedAt),
    );
    return statements
      .filter(({access}) => access === 'read')
      .flatMap(({id}) => runs.get(id) ?? [])
      .flatMap(run => {
        // The group that ran it, as the route may have moved.
        const newest = needed
          .map(item => item.commit)
          .filter(commit => commit.group === run.group)
          .reduce<Commit | undefined>(
            (a, b) => (a && a.number > b.number ? a : b),
            undefined,
          );
        if (logContains(newest, run.sees)) return [];
        const detail = `${run.id} on ${database} at ${run.member} lacks ${newest?.data}`;
        return [violation('stale-read', detail)];
      });
  });
}

function checkPromotionOrder({promotions}: History): Violation[] {
  const holders = new Map<number, string>();
  let highest = 0;
  return promotions.flatMap(({fence, holder, member}) => {
    const recordedHolder = holders.get(fence);
    const isOutOfOrder =
      fence < highest || (recordedHolder ?? holder) !== holder;
    holders.set(fence, holder);
    highest = Math.max(highest, fence);
    if (!isOutOfOrder) return [];
    const detail = `${member} by ${holder}, ${fence}`;
    return [violation('orders-out-of-order', detail)];
  });
}

function checkKeysAtMembers({
  workspacesAtMembers: callersAtMembers,
  operations,
}: History): Violation[] {
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
  if (served > 0 && served >= last.length * recovery.minServedShare) return [];
  return [violation('no-recovery', `${served} of ${last.length} served`)];
}

function violation(promise: ViolationKind, detail: string): Violation {
  return {promise, detail};
}
