import {Filter, ok} from '@pistachiorill/core';
import type {Refusal, Result, RoutedStatement} from '@pistachiorill/core';
import {ask} from '@pistachiorill/tasks';
import type {ChosenStatement} from './statement_stages.js';
import type {ChosenMember} from './group_message.js';
import type {GroupTask} from './group_task.js';

/** How long a read waits for a suitable replica before it uses the primary. */
const REPLICA_WAIT_MS = 50;

/** Waits until the read policy chooses a member for the statement. */
export class ChooseMemberFilter extends Filter<
  RoutedStatement,
  ChosenStatement,
  Refusal
> {
  override readonly name = 'choose-member';

  constructor(private readonly group: GroupTask) {
    super();
  }

  override async run(
    statement: RoutedStatement,
  ): Promise<Result<ChosenStatement, Refusal>> {
    const member = await ask<Result<ChosenMember, Refusal>>(reply =>
      this.group.tell({
        kind: 'choose',
        request: {
          access: statement.changesData ? 'write' : statement.route.access,
          maxAgeMs: statement.maxAgeMs,
          requirement: statement.requirement,
          replicaWaitUntil: statement.receivedAt + REPLICA_WAIT_MS,
        },
        until: statement.deadline,
        reply,
      }),
    );
    return member.ok ? ok({statement, member: member.value}) : member;
  }
}
