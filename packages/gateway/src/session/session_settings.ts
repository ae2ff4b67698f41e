import type {PreparedStatement} from '@pistachiorill/core';
import type {CallerStatement, SessionReply} from '../ports/caller_link.js';

const LOCAL_REPLY: SessionReply = {kind: 'local'};

/** A statement that changes only the session itself. */
export type SettingStatement = Extract<
  CallerStatement,
  {kind: 'set' | 'prepare' | 'deallocate'}
>;

/** The values and prepared statements of a session. */
export class SessionSettings {
  readonly values = new Map<string, string>();
  private readonly statements = new Map<string, PreparedStatement>();

  /** Returns the statement that was prepared under a name. */
  prepared(name: string): PreparedStatement | undefined {
    return this.statements.get(name);
  }

  /** Applies a statement and returns the reply to it. */
  apply(statement: SettingStatement): SessionReply {
    const {name} = statement;
    switch (statement.kind) {
      case 'set':
        this.values.set(name, statement.value);
        return LOCAL_REPLY;
      case 'prepare':
        this.statements.set(name, statement.statement);
        return LOCAL_REPLY;
      case 'deallocate':
        if (this.statements.delete(name)) return LOCAL_REPLY;
        return {
          kind: 'refused',
          refusal: {kind: 'unknown-statement', detail: name},
        };
    }
  }
}
