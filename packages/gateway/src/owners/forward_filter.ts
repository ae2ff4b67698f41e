import {
  Filter,
  attemptFailureOf,
  fail,
  ok,
  withJitter,
} from '@pistachiorill/core';
import type {
  ForwardFailure,
  OwnerTarget,
  Random,
  Result,
  RuntimeConfiguration,
} from '@pistachiorill/core';
import {sleep} from '@pistachiorill/tasks';
import type {Clock} from '@pistachiorill/tasks';
import type {Logger} from '@pistachiorill/telemetry';
import type {SessionRefusal} from '../ports/caller_link.js';
import {busyRefusal, concludeFault} from '../session/conclude_fault.js';
import {firstSuccess} from '../session/first_success.js';
import type {FirstAnswer} from '../session/member_transaction.js';
import {effectOf, hedgeDelayMs} from '../session/place_filter.js';
import {refusalAfterWait} from '../session/session_access.js';
import {VM_STOPS} from '../session/session_refusals.js';
import type {RoutedStatement} from '../session/session_statement.js';
import type {GatewayMetrics} from '../telemetry/gateway_metrics.js';
import {
  callTimeoutMs,
  isForwardable,
  toExecuteRequest,
} from './forward_request.js';
import {ForwardedTransaction} from './forwarded_transaction.js';
import type {OwnerCalls} from './owner_calls.js';
import type {OwnerClient} from './owner_client.js';

/** A statement with less time left is not tried at another VM. */
const MIN_REMAINING_MS = 100;
/** Owners that take no more statements have served some within this time. */
const OWNERS_FULL_DELAY_MS = 100;

/** The services of the VM that the filter uses. */
export interface ForwardDependencies {
  /** This process, which names the transactions that owners hold for it. */
  readonly vm: string;
  readonly incarnation: string;
  /** Runs a statement on this VM's own connections. */
  readonly local: Filter<RoutedStatement, FirstAnswer, SessionRefusal>;
  /** Where to run a statement, in order; the last one is no owner. */
  readonly targets: (statement: RoutedStatement) => readonly OwnerTarget[];
  readonly calls: OwnerCalls;
  readonly client: OwnerClient;
  /** The configuration in force. */
  readonly configuration: () => RuntimeConfiguration | undefined;
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: GatewayMetrics;
  /** Spreads the delays of refusals. */
  readonly random?: Random | undefined;
}

type RunResult = Result<FirstAnswer, SessionRefusal>;

/** How an attempt at an owner ended, and whether another VM may run it. */
interface Attempt {
  readonly conclusion: 'retry' | 'final';
  readonly result: RunResult;
}

/**
 * Forwards a single statement, or the first one of a transaction, to an owner of
 * its group, or runs it on this VM's connections. It is tried at the next VM as
 * long as no earlier attempt can have had an effect.
 */
export class ForwardFilter extends Filter<
  RoutedStatement,
  FirstAnswer,
  SessionRefusal
> {
  override readonly name = 'forward';
  private transactionCount = 0;
  private phase: 'open' | 'closed' = 'open';

  constructor(private readonly deps: ForwardDependencies) {
    super();
  }

  /** The VM's statements end; none is sent to another VM any more. */
  close(): void {
    this.phase = 'closed';
  }

  override run(statement: RoutedStatement): Promise<RunResult> {
    // The commit of a transaction without statements reads and changes nothing.
    const targets =
      statement.access === 'commit' || !isForwardable(statement)
        ? []
        : this.deps.targets(statement);
    return this.runAt(statement, targets);
  }

  private async runAt(
    statement: RoutedStatement,
    [target, ...rest]: readonly OwnerTarget[],
    tried: readonly string[] = [],
  ): Promise<RunResult> {
    const {clock, configuration} = this.deps;
    if (this.phase === 'closed') return fail(VM_STOPS);
    if (target?.kind !== 'owner') {
      return this.runWithoutOwner(statement, target, tried);
    }
    const refusal = refusalAfterWait(configuration(), statement);
    if (refusal) return fail(refusal);
    const attempt = this.attempt(statement, target.vm);
    const isHedged =
      statement.access === 'read' && statement.begin === undefined;
    if (isHedged && (await this.isSilent(statement, target.vm, attempt))) {
      return firstSuccess(
        attempt.then(({result}) => result),
        this.runAt(statement, rest, [...tried, target.vm]),
      );
    }
    const {conclusion, result} = await attempt;
    const isLate = clock() >= statement.deadline - MIN_REMAINING_MS;
    if (conclusion === 'final' || isLate) return result;
    return this.runAt(statement, rest, [...tried, target.vm]);
  }

  /** Runs a statement that no owner took on this VM's connections, or refuses it. */
  private async runWithoutOwner(
    statement: RoutedStatement,
    target: OwnerTarget | undefined,
    tried: readonly string[],
  ): Promise<RunResult> {
    const {calls, clock, local, random, targets} = this.deps;
    let last = target;
    // The attempts have shown more of the owners than was known before.
    if (tried.length > 0) last = targets(statement).at(-1);
    if (tried.length > 0 && last?.kind === 'busy') {
      await calls.probed(tried);
      last = targets(statement).at(-1);
    }
    if (last?.kind !== 'busy') return local.run(statement, clock());
    const delayMs = withJitter(OWNERS_FULL_DELAY_MS, random);
    return fail(busyRefusal('the owners of the group are full', delayMs));
  }

  /**
   * Waits until an attempt ends, or until the owner answers nothing at all. The
   * owner itself hedges between members, so that one with a queue is not asked
   * twice.
   */
  private async isSilent(
    {route}: RoutedStatement,
    owner: string,
    attempt: Promise<Attempt>,
  ): Promise<boolean> {
    const {calls, clock} = this.deps;
    const hedgeMs = hedgeDelayMs(route.targetMs);
    let since = clock();
    while ((await Promise.race([attempt, sleep(hedgeMs)])) === undefined) {
      if (!(await calls.isAnswering(owner, since))) return true;
      since = clock();
    }
    return false;
  }

  /** Makes one attempt at an owner. */
  private async attempt(
    statement: RoutedStatement,
    owner: string,
  ): Promise<Attempt> {
    const {calls, client, clock, configuration, vm, incarnation} = this.deps;
    const {route, begin, workspace, id, deadline} = statement;
    const transaction =
      begin === undefined
        ? undefined
        : {id: `${incarnation}/${++this.transactionCount}`, vm, incarnation};
    const now = clock();
    const req = toExecuteRequest(
      statement,
      configuration()?.version,
      transaction,
      now,
    );
    const result = await calls.run(owner, to =>
      to.execute(owner, req, callTimeoutMs(deadline, now)),
    );
    if (result.kind === 'refused') {
      return {conclusion: 'final', result: fail(result.refusal)};
    }
    const forwarded =
      transaction &&
      new ForwardedTransaction(
        {
          owner,
          transaction: transaction.id,
          request: id,
          workspace,
          group: route.group,
          statementTimeoutMs: route.statementTimeoutMs,
        },
        {calls, client, clock},
      );
    if (result.kind === 'done') {
      const {answer} = result;
      const {group} = route;
      const value = {answer, group, transaction: forwarded};
      return {conclusion: 'final', result: ok(value)};
    }
    // The owner may hold a transaction although its answer was lost.
    if (result.failure === 'no-answer') forwarded?.abandon();
    return this.failed(statement, owner, result.failure, result.detail);
  }

  private failed(
    statement: RoutedStatement,
    owner: string,
    failure: ForwardFailure,
    detail: string,
  ): Attempt {
    const {conclusion, refusal} = concludeFault(effectOf(statement), 'first', {
      failure: attemptFailureOf(failure),
      detail,
    });
    this.deps.metrics.forwardFellBack(failure);
    this.deps.log.info(
      {
        event: 'statement.forward-failed',
        request: statement.id,
        group: statement.route.group,
        owner,
        failure,
        conclusion,
        detail,
        elapsedMs: Math.round(this.deps.clock() - statement.receivedAt),
      },
      'a forwarded statement got no result',
    );
    return {conclusion, result: fail(refusal)};
  }
}
