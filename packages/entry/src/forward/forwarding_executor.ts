import {fail, ok} from '@pistachiorill/core';
import type {
  Refusal,
  Result,
  RoutedStatement,
  StatementReply,
} from '@pistachiorill/core';
import type {PeerError} from '@pistachiorill/peers';
import {GroupExecutor} from '../group/group_executor.js';
import type {TransactionHandle} from '../group/group_executor.js';
import {ForwardedTransaction} from './forwarded_transaction.js';
import {ANSWER_GRACE_MS} from './forwarding_dependencies.js';
import type {ForwardingDependencies} from './forwarding_dependencies.js';
import type {OwnerTarget} from './owner_client.js';
import {decodeAnswer} from './wire_answer.js';
import {encodeStatement} from './wire_statement.js';

type OwnerAnswer<T> = Result<Result<T, Refusal>, PeerError>;

/** Forwards statements to the VMs that own the connections of a group. */
export class ForwardingExecutor extends GroupExecutor {
  /** `targets` returns the owners in the order in which they are tried. */
  constructor(
    private readonly database: string,
    private readonly targets: () => readonly OwnerTarget[],
    private readonly deps: ForwardingDependencies,
  ) {
    super();
  }

  override execute(
    statement: RoutedStatement,
  ): Promise<Result<StatementReply, Refusal>> {
    return this.tryOwners<StatementReply>(
      statement,
      repeatabilityOf(statement),
      async (owner, timeoutMs) => {
        const answer = await this.deps.ownerClient.forward(
          owner,
          encodeStatement(statement, this.deps.clock()),
          timeoutMs,
        );
        return answer.ok ? ok(decodeAnswer(answer.value)) : answer;
      },
    );
  }

  /**
   * Opens a transaction. If an owner does not answer, the next one is tried,
   * because a transaction without statements has no effect.
   */
  override begin(
    statement: RoutedStatement,
  ): Promise<Result<TransactionHandle, Refusal>> {
    return this.tryOwners<TransactionHandle>(
      statement,
      'repeatable',
      async (owner, timeoutMs) => {
        const answer = await this.deps.ownerClient.begin(
          owner,
          encodeStatement(statement, this.deps.clock()),
          timeoutMs,
        );
        if (!answer.ok) return answer;
        if (!answer.value.ok) return ok(fail(answer.value.err));
        return ok(
          ok(
            new ForwardedTransaction(
              answer.value.transaction,
              owner,
              this.deps,
            ),
          ),
        );
      },
    );
  }

  /**
   * Sends a statement to one owner after the other. After an owner did not
   * answer, the statement may have been executed: it is sent again only if it
   * is repeatable, and no later refusal may report it as not run.
   */
  private async tryOwners<T>(
    statement: RoutedStatement,
    repetition: 'repeatable' | 'once',
    send: (owner: OwnerTarget, timeoutMs: number) => Promise<OwnerAnswer<T>>,
  ): Promise<Result<T, Refusal>> {
    let refusal: Refusal = {
      kind: 'no-member',
      detail: `no owner of ${this.database} can be reached`,
    };
    let unanswered: string | undefined;
    const targets = this.targets();
    for (const [index, owner] of targets.entries()) {
      const remaining = statement.deadline - this.deps.clock();
      if (remaining <= 0) break;
      // Leaves time for the next owner if this one does not answer.
      const mayRetry =
        repetition === 'repeatable' && index < targets.length - 1;
      const attempt = await send(
        owner,
        mayRetry ? remaining / 2 : remaining + ANSWER_GRACE_MS,
      );
      if (attempt.ok) {
        if (attempt.value.ok) return attempt.value;
        refusal = attempt.value.err;
        if (!mayTryNextOwner(refusal)) break;
      } else if (attempt.err.kind === 'no-answer') {
        unanswered = `${owner.vm} did not answer: ${attempt.err.detail}`;
        if (repetition === 'once') break;
      }
    }
    return fail(
      unanswered === undefined || refusal.kind === 'backend-error'
        ? refusal
        : {kind: 'outcome-unknown', detail: unanswered},
    );
  }
}

/** Whether a statement may be sent again after it may have been executed. */
function repeatabilityOf(statement: RoutedStatement): 'repeatable' | 'once' {
  const {route, changesData} = statement;
  return route.repeatable || (route.access === 'read' && !changesData)
    ? 'repeatable'
    : 'once';
}

/** Whether another owner may execute a statement that this one refused. */
function mayTryNextOwner(refusal: Refusal): boolean {
  return refusal.kind === 'draining' || refusal.kind === 'no-member';
}
