import type {PreparedStatement} from '@pistachiorill/core';
import type {CallerStatement, SessionReply} from '../ports/caller_link.js';

/** The reply to a statement that changes only the session. */
export const LOCAL_REPLY: SessionReply = {kind: 'local'};

/** A statement that changes only the session itself. */
export type SettingStatement = Extract<
  CallerStatement,
  {kind: 'set' | 'prepare' | 'deallocate'}
>;

/** What a value or prepared statement uses beside its text. */
const ENTRY_OVERHEAD_BYTES = 128;

const TOO_MUCH: SessionReply = {
  kind: 'refused',
  refusal: {
    kind: 'too-large',
    detail: 'the session holds too many values and prepared statements',
  },
};

/** The values and prepared statements of a session. */
export class SessionSettings {
  readonly values = new Map<string, string>();
  private readonly statements = new Map<string, PreparedStatement>();
  private held = 0;

  constructor(private readonly maxBytes: number) {}

  /** The bytes of all values and prepared statements. */
  get heldBytes(): number {
    return this.held;
  }

  /** Returns the statement that was prepared under a name. */
  prepared(name: string): PreparedStatement | undefined {
    return this.statements.get(name);
  }

  /** Applies a statement and returns the reply to it. */
  apply(statement: SettingStatement): SessionReply {
    const {name} = statement;
    switch (statement.kind) {
      case 'set': {
        const before = sizeOfEntry(name, this.values.get(name));
        if (!this.grow(before, sizeOfEntry(name, statement.value))) {
          return TOO_MUCH;
        }
        this.values.set(name, statement.value);
        return LOCAL_REPLY;
      }
      case 'prepare': {
        const {shape} = statement.statement;
        const before = sizeOfEntry(name, this.statements.get(name)?.shape);
        if (!this.grow(before, sizeOfEntry(name, shape))) return TOO_MUCH;
        this.statements.set(name, statement.statement);
        return LOCAL_REPLY;
      }
      case 'deallocate': {
        const before = sizeOfEntry(name, this.statements.get(name)?.shape);
        if (this.statements.delete(name)) {
          this.held -= before;
          return LOCAL_REPLY;
        }
        return {
          kind: 'refused',
          refusal: {kind: 'unknown-statement', detail: name},
        };
      }
    }
  }

  /** Counts an entry that replaces another one, if there is room for it. */
  private grow(before: number, after: number): boolean {
    const held = this.held - before + after;
    if (after > before && held > this.maxBytes) return false;
    this.held = held;
    return true;
  }
}

function sizeOfEntry(name: string, text: string | undefined): number {
  return text === undefined
    ? 0
    : name.length + text.length + ENTRY_OVERHEAD_BYTES;
}
