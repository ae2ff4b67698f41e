import {fail, ok} from '@pistachiorill/core';
import type {
  PreparedStatement,
  Result,
  StatementAccess,
} from '@pistachiorill/core';
import type {CallerStatement, SessionRefusal} from '../ports/caller_link.js';
import type {MemberCommand} from '../ports/member_link.js';
import type {SessionSettings} from './session_settings.js';

/** A caller's statement that a member runs. */
export type MemberStatement = Extract<
  CallerStatement,
  {readonly kind: 'commit' | 'statement' | 'execute'}
>;

/** What a member is to run for a statement. */
export interface MemberWork {
  readonly command: MemberCommand;
  readonly access: StatementAccess | 'commit';
  readonly prepared?: PreparedStatement | undefined;
}

/** Returns what a member is to run, given the session's prepared statements. */
export function memberWorkOf(
  statement: MemberStatement,
  settings: SessionSettings,
): Result<MemberWork, SessionRefusal> {
  switch (statement.kind) {
    case 'commit':
      return ok({command: {kind: 'commit'}, access: 'commit'});
    case 'statement': {
      const {access, text} = statement;
      return ok({command: {kind: 'statement', text}, access});
    }
    case 'execute': {
      const {name, parameters} = statement;
      const prepared = settings.prepared(name);
      if (!prepared) return fail({kind: 'unknown-statement', detail: name});
      const command: MemberCommand = {kind: 'execute', name, parameters};
      return ok({command, access: prepared.access, prepared});
    }
  }
}
