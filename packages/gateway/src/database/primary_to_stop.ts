import type {LeadershipRecord} from '@pistachiorill/core';
import type {StopMode} from './database_message.js';

/** Returns the primary to stop using as a leadership record replaces another. */
export function primaryToStop(
  before: LeadershipRecord | undefined,
  record: LeadershipRecord,
): {readonly member: string; readonly mode: StopMode} | undefined {
  if (record.phase === 'moving') {
    const mode = record.reason === 'leaving' ? 'finish' : 'abandon';
    return {member: record.from, mode};
  }
  const former = before?.phase === 'settled' ? before.primary : undefined;
  return former === undefined || former === record.primary
    ? undefined
    : {member: former, mode: 'abandon'};
}

/** Returns the member that a leadership record makes primary, if it does. */
export function promotedMember(
  before: LeadershipRecord | undefined,
  record: LeadershipRecord,
): string | undefined {
  if (!before || record.phase !== 'settled') return undefined;
  const former = before.phase === 'settled' ? before.primary : before.from;
  return former === record.primary ? undefined : record.primary;
}
