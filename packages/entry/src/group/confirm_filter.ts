import {Filter, fail, ok} from '@pistachiorill/core';
import type {
  AcknowledgementPolicy,
  Refusal,
  Result,
  StatementReply,
} from '@pistachiorill/core';
import {ask} from '@pistachiorill/tasks';
import type {Clock} from '@pistachiorill/tasks';
import type {ExecutedStatement} from './statement_stages.js';
import type {ProofOutcome, QuorumProof} from './group_message.js';
import type {GroupTask} from './group_task.js';

/**
 * Delays the reply until the statement has the quorum proof that it needs: a
 * write must be acknowledged as its route requires, and a read on the primary
 * must come from a primary that was not replaced.
 */
export class ConfirmFilter extends Filter<
  ExecutedStatement,
  StatementReply,
  Refusal
> {
  override readonly name = 'confirm';

  constructor(
    private readonly group: GroupTask,
    private readonly clock: Clock,
    private readonly acknowledgement: AcknowledgementPolicy,
  ) {
    super();
  }

  override async run(
    executed: ExecutedStatement,
  ): Promise<Result<StatementReply, Refusal>> {
    const proof = this.proofFor(executed);
    if (proof) {
      const until = executed.statement.deadline;
      const outcome = await ask<ProofOutcome>(reply =>
        this.group.tell({kind: 'prove', proof, until, reply}),
      );
      if (outcome === 'expired') return fail(unprovenRefusal(executed));
    }
    const {statement, member, result, entry} = executed;
    return ok({
      result,
      seen: entry,
      database: statement.database,
      backendServer: member.backendServer,
      servedBy: member.servedBy,
    });
  }

  private proofFor(executed: ExecutedStatement): QuorumProof | undefined {
    const {statement, member, entry} = executed;
    if (entry) {
      const required = this.acknowledgement.proofFor(statement.route);
      if (required === 'nothing') return undefined;
      return required === 'majority'
        ? {kind: 'held', entry}
        : {kind: 'unfenced', term: entry.term, since: this.clock()};
    }
    if (member.servedBy === 'replica') return undefined;
    return {
      kind: 'unfenced',
      term: member.term,
      since: statement.receivedAt - statement.maxAgeMs,
    };
  }
}

function unprovenRefusal(executed: ExecutedStatement): Refusal {
  return executed.entry
    ? {
        kind: 'outcome-unknown',
        detail: 'no majority of the group confirmed the write in time',
      }
    : {
        kind: 'no-member',
        detail: 'the primary could not be confirmed in time',
      };
}
