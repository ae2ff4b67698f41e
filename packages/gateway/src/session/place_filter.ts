import {Filter, fail, ok, withJitter} from '@pistachiorill/core';
import type {
  Random,
  Result,
  RuntimeConfiguration,
  StatementEffect,
} from '@pistachiorill/core';
import {ask, sleep, waitAtMost} from '@pistachiorill/tasks';
import type {Clock} from '@pistachiorill/tasks';
import type {Logger} from '@pistachiorill/telemetry';
import type {CheckoutValidity} from '../database/database_message.js';
import type {DatabaseTask} from '../database/database_task.js';
import type {
  Checkout,
  CheckoutRequirement,
  CheckoutRefusal,
} from '../database/checkout.js';
import type {JobFault, JobResult} from '../database/member_connection.js';
import type {SessionRefusal} from '../ports/caller_link.js';
import type {GatewayMetrics} from '../telemetry/gateway_metrics.js';
import type {MemberAnswer} from '../ports/member_link.js';
import {busyRefusal, concludeFault} from './conclude_fault.js';
import {OverloadRetries, causeOf, isOverload} from './overload_retries.js';
import type {FailureCause, RetryPlan} from './overload_retries.js';
import {hasPriorities} from './route_priorities.js';
import {firstSuccess} from './first_success.js';
import {refusalAfterWait} from './session_access.js';
import type {RoutedStatement} from './session_statement.js';

/** The maximum number of members on which one statement is tried. */
const MAX_ATTEMPTS = 4;
/**
 * A read without a result after this time is also sent to a second member: a
 * share of the latency target, but at least `HEDGE_MIN_MS`.
 */
const HEDGE_MIN_MS = 70;
const HEDGE_TARGET_SHARE = 0.45;
/** The queue of a member that refuses statements is served within this time. */
const OVERLOAD_DELAY_MS = 100;

/** Returns after which time a read without a result is sent once more. */
export function hedgeDelayMs(targetMs: number): number {
  return Math.max(HEDGE_MIN_MS, targetMs * HEDGE_TARGET_SHARE);
}

/** The share of the latency target that a statement may wait to check out. */
const CHECKOUT_WAIT_SHARE = 0.9;
/** How long a statement may wait for a new primary. */
const PRIMARY_CHANGE_WAIT_MS = 600;
/** Waits and retries end this long before the statement's deadline. */
const EXECUTION_RESERVE_MS = 100;

/** A member's answer and the checkout, which a new transaction keeps. */
export interface PlacedAnswer {
  readonly answer: MemberAnswer;
  readonly checkout: Checkout;
}

/** The services of the VM that the filter uses. */
export interface PlaceDependencies {
  readonly database: (group: string) => DatabaseTask | undefined;
  /** The configuration in force. */
  readonly configuration: () => RuntimeConfiguration | undefined;
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics?: GatewayMetrics;
  /** Spreads retries and the delays of refusals. */
  readonly random?: Random;
}

/** An attempt without a result. */
interface FailedAttempt {
  readonly conclusion: 'retry' | 'final';
  readonly refusal: SessionRefusal;
  readonly member?: string | undefined;
  readonly cause?: FailureCause;
}

type AttemptResult = Result<PlacedAnswer, FailedAttempt>;

/**
 * Runs a statement, or the first statement of a transaction, on a member. Tries
 * further members as long as no earlier attempt can have had an effect.
 */
export class PlaceFilter extends Filter<
  RoutedStatement,
  PlacedAnswer,
  SessionRefusal
> {
  override readonly name = 'place';

  private readonly retries: OverloadRetries;

  constructor(private readonly deps: PlaceDependencies) {
    super();
    this.retries = new OverloadRetries(deps.random, deps.metrics);
  }

  override async run(
    statement: RoutedStatement,
  ): Promise<Result<PlacedAnswer, SessionRefusal>> {
    const avoid: string[] = [];
    let failure: FailedAttempt | undefined;
    let refusals = 0;
    const {priority} = statement.route;
    const hasOthers = requirementOf(statement).kind === 'recent';
    const until = statement.deadline - EXECUTION_RESERVE_MS;
    this.retries.started(priority);
    for (let attempt = 1; attempt - refusals <= MAX_ATTEMPTS; attempt++) {
      const placed = await this.attempt(statement, avoid);
      if (placed.ok) return placed;
      failure = placed.err;
      if (isOverload(failure.cause)) refusals++;
      const retry = this.retries.plan(
        {...failure, priority, hasOthers, refusals, until},
        this.deps.clock(),
      );
      this.logFailure(statement, failure, attempt, retry);
      if (retry.kind === 'give-up' || failure.member === undefined) break;
      if (retry.delayMs > 0) await sleep(retry.delayMs);
      if (retry.next === 'other-member') avoid.push(failure.member);
    }
    return fail(
      failure?.refusal ?? {
        kind: 'busy',
        detail: 'no attempt',
        retryAfterMs: 50,
      },
    );
  }

  /** Makes one attempt; hedges a slow read with a second one in parallel. */
  private async attempt(
    statement: RoutedStatement,
    avoid: readonly string[],
  ): Promise<AttemptResult> {
    const first = this.runOnce(statement, avoid);
    if (statement.access !== 'read' || statement.begin !== undefined) {
      return first.done;
    }
    const hedgeMs = hedgeDelayMs(statement.route.targetMs);
    const winner = await waitAtMost(first.done, hedgeMs);
    if (winner !== undefined) return winner;
    const member = first.member();
    if (member === undefined) return first.done;
    const second = this.runOnce(statement, [...avoid, member]);
    return firstSuccess(first.done, second.done);
  }

  /**
   * Checks out a connection and runs the statement. `member` returns the chosen
   * member as soon as the checkout succeeds.
   */
  private runOnce(
    statement: RoutedStatement,
    avoid: readonly string[],
  ): {done: Promise<AttemptResult>; member: () => string | undefined} {
    let member: string | undefined;
    const run = async (): Promise<AttemptResult> => {
      const database = this.deps.database(statement.route.group);
      if (!database) {
        return fail({
          conclusion: 'final',
          refusal: busyRefusal('the group is not known', 100),
        });
      }
      const checkedOut = await this.checkOut(database, statement, avoid);
      if (!checkedOut.ok) {
        return fail({
          conclusion: 'final',
          refusal: busyRefusal(
            checkedOut.err.detail,
            checkedOut.err.retryAfterMs,
          ),
        });
      }
      // The key may have moved while the statement waited for a token or a
      // connection.
      const refusal = refusalAfterWait(this.deps.configuration(), statement);
      if (refusal) {
        database.tell({kind: 'return', checkout: checkedOut.value});
        return fail({conclusion: 'final', refusal});
      }
      member = checkedOut.value.member;
      this.logPlacement(statement, checkedOut.value);
      return this.execute(database, checkedOut.value, statement);
    };
    return {done: run(), member: () => member};
  }

  private checkOut(
    database: DatabaseTask,
    statement: RoutedStatement,
    avoid: readonly string[],
  ): Promise<Result<Checkout, CheckoutRefusal>> {
    const {route, workspace, values, regions, deadline} = statement;
    const requirement = requirementOf(statement);
    const now = this.deps.clock();
    const waitMs = Math.max(
      route.targetMs * CHECKOUT_WAIT_SHARE,
      requirement.kind === 'primary' ? PRIMARY_CHANGE_WAIT_MS : 0,
    );
    const until = Math.min(now + waitMs, deadline - EXECUTION_RESERVE_MS);
    const isUrgentFirst = hasPriorities(this.deps.configuration());
    return ask(reply =>
      database.tell({
        kind: 'check-out',
        request: {
          workspace,
          priority: route.priority,
          values,
          use: statement.begin === undefined ? 'statement' : 'transaction',
          requirement,
          // There is only one primary, so it gets a second attempt.
          excluded:
            requirement.kind === 'primary' && avoid.length <= 1 ? [] : avoid,
          regions,
          until,
          dueAt: isUrgentFirst ? now + route.targetMs : undefined,
        },
        reply,
      }),
    );
  }

  /**
   * Runs the statement on a checked-out connection. A result counts only if the
   * member still has the role of the checkout afterwards.
   */
  private async execute(
    database: DatabaseTask,
    checkout: Checkout,
    statement: RoutedStatement,
  ): Promise<AttemptResult> {
    const {id, command, prepared, begin, values, deadline} = statement;
    const ran = await ask<JobResult>(reply =>
      checkout.connection.tell({
        kind: 'run',
        job: {
          values,
          prepared,
          begin,
          after: checkout.after,
          request: {id, command},
          deadline,
        },
        reply,
      }),
    );
    const validity = await ask<CheckoutValidity>(reply =>
      database.tell({kind: 'confirm', checkout, reply}),
    );
    const pin = begin !== undefined && ran.ok;
    if (!pin || validity === 'expired') this.checkIn(database, checkout, begin);
    if (!ran.ok) return this.failed(database, checkout, statement, ran.err);
    if (validity === 'expired') {
      const detail = 'the member may have been replaced meanwhile';
      return this.failed(database, checkout, statement, {
        failure: 'no-answer',
        detail,
      });
    }
    return ok({answer: ran.value.answer, checkout});
  }

  /** Returns a connection; one with an open transaction is closed first. */
  private checkIn(
    database: DatabaseTask,
    checkout: Checkout,
    begin: RoutedStatement['begin'],
  ): void {
    if (begin !== undefined) checkout.connection.tell({kind: 'close'});
    database.tell({kind: 'return', checkout});
  }

  /** Reports a fault to the group's task and decides on a retry. */
  private failed(
    database: DatabaseTask,
    checkout: Checkout,
    statement: RoutedStatement,
    fault: JobFault,
  ): AttemptResult {
    const {member} = checkout;
    if (fault.failure === 'behind') {
      database.tell({kind: 'behind', member, applied: fault.applied});
    }
    if (fault.failure === 'not-primary' && checkout.role === 'primary') {
      database.tell({kind: 'not-primary', member});
    }
    const {conclusion, refusal} = concludeFault(
      effectOf(statement),
      'first',
      fault,
    );
    const cause = causeOf(fault);
    const isRefused = refusal.kind === 'busy' && cause !== 'other';
    const retryAfterMs = withJitter(OVERLOAD_DELAY_MS, this.deps.random);
    return fail({
      conclusion,
      refusal: isRefused ? {...refusal, retryAfterMs} : refusal,
      member,
      cause,
    });
  }

  /** Tells why a read could be older than a commit of its session. */
  private logPlacement(statement: RoutedStatement, checkout: Checkout): void {
    if (statement.placementLog === 'off') return;
    const {id, access, route, positions} = statement;
    const {member, role, after} = checkout;
    this.deps.log.info(
      {
        event: 'statement.placed',
        request: id,
        access,
        group: route.group,
        member,
        role,
        after,
        own: positions.of(route.group),
        configuration: this.deps.configuration()?.version,
      },
      'chose the member that runs a statement',
    );
  }

  private logFailure(
    statement: RoutedStatement,
    {conclusion, refusal, member}: FailedAttempt,
    attempt: number,
    retry: RetryPlan,
  ): void {
    this.deps.log.info(
      {
        event: 'statement.attempt-failed',
        request: statement.id,
        group: statement.route.group,
        member,
        attempt,
        conclusion,
        refusal,
        priority: statement.route.priority,
        retry: retry.kind === 'retry' ? 'retry' : retry.reason,
        elapsedMs: Math.round(this.deps.clock() - statement.receivedAt),
      },
      'attempt to run a statement failed',
    );
  }
}

/** Returns how a statement affects data. */
export function effectOf({access, begin}: RoutedStatement): StatementEffect {
  if (access === 'commit') return 'commit';
  if (access === 'read') return 'read';
  return begin === undefined ? 'write' : 'write-in-transaction';
}

/** Returns which members may run a statement. */
export function requirementOf({
  route,
  access,
  begin,
  positions,
}: RoutedStatement): CheckoutRequirement {
  const isRead = begin === undefined ? access === 'read' : begin === 'read';
  if (!isRead || route.consistency === 'strict') return {kind: 'primary'};
  const {maxAgeMs} = route;
  if (route.consistency === 'bounded-age') {
    return {kind: 'recent', maxAgeMs, seen: undefined};
  }
  const own = positions.of(route.group);
  if (own.kind === 'unknown') return {kind: 'primary'};
  const seen = own.kind === 'at-least' ? own.position : undefined;
  return {kind: 'recent', maxAgeMs, seen};
}
