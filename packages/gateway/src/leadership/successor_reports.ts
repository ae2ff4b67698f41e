import type {SuccessorReport} from '@pistachiorill/core';
import {ask} from '@pistachiorill/tasks';
import type {StatusResult} from '../database/database_message.js';
import type {DatabaseTask} from '../database/database_task.js';
import type {ListedMember} from '../ports/member_directory.js';
import type {PrimaryChangeDependencies} from './primary_change_dependencies.js';

/** Collaborators for collecting the members' reports. */
type ReportDependencies = Pick<
  PrimaryChangeDependencies,
  'database' | 'isEligible' | 'isNear'
>;

/** Returns the reports of the members that answer. */
export async function collectReports(
  members: readonly ListedMember[],
  deps: ReportDependencies,
): Promise<readonly SuccessorReport[]> {
  const reports = await Promise.all(
    members.map(async listed => {
      const status = await statusOf(deps.database, listed.member);
      if (!status.ok) return undefined;
      const {role, term, received} = status.value;
      const report: SuccessorReport = {
        member: listed.member,
        role,
        term,
        received,
        eligibility: deps.isEligible(listed) ? 'eligible' : 'leaving',
        proximity: deps.isNear(listed) ? 'near' : 'far',
      };
      return report;
    }),
  );
  return reports.filter(item => item !== undefined);
}

/** Queries the status of one member. */
export function statusOf(
  database: DatabaseTask,
  member: string,
): Promise<StatusResult> {
  return ask(reply => database.tell({kind: 'status', member, reply}));
}
