import type {LogPosition, StatementResult} from '@pistachiorill/core';

/** Queries the role and term of a member and the end of its log. */
export const LOG_END_QUERY =
  'SELECT @@group_role, @@group_term, @@group_entry_term, @@group_position';

/**
 * Decodes the answer to `LOG_END_QUERY` after a write in `term`. Returns
 * undefined unless the member is still the primary of that term: a member that
 * was replaced may have dropped the write, and its log then ends at a position
 * that does not cover the write.
 */
export function decodeLogEnd(
  result: StatementResult,
  term: number,
): LogPosition | undefined {
  if (result.kind !== 'rows') return undefined;
  const [role, servingTerm, entryTerm, position] = (result.rows[0] ?? []).map(
    value => Buffer.from(value ?? []).toString(),
  );
  if (role !== 'primary' || Number(servingTerm) !== term) return undefined;
  return {term: Number(entryTerm), position: Number(position)};
}
