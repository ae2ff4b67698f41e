import {sharedStatementName} from './prepared_statement.js';
import type {PreparedStatement} from './prepared_statement.js';

/** Values that a session has set, by name. */
export type SessionValues = ReadonlyMap<string, string>;

/** What a member connection holds of earlier statements. */
export interface ConnectionContents {
  readonly values: SessionValues;
  /** Shared names of the statements that are prepared on it. */
  readonly prepared: ReadonlySet<string>;
}

export const EMPTY_CONTENTS: ConnectionContents = {
  values: new Map(),
  prepared: new Set(),
};

/** One command that brings a connection closer to what a session needs. */
export type PreparationStep =
  /** Drops all values and prepared statements. */
  | {readonly kind: 'reset'}
  | {readonly kind: 'set'; readonly name: string; readonly value: string}
  | {
      readonly kind: 'prepare';
      readonly name: string;
      readonly statement: PreparedStatement;
    };

/**
 * Returns the commands after which the connection has exactly the session's
 * values and, if one is given, the prepared statement. A value cannot be unset
 * alone, so a left-over one takes a reset.
 */
export function planPreparation(
  contents: ConnectionContents,
  values: SessionValues,
  statement: PreparedStatement | undefined,
): readonly PreparationStep[] {
  const steps: PreparationStep[] = [];
  let held = contents;
  if ([...contents.values.keys()].some(name => !values.has(name))) {
    steps.push({kind: 'reset'});
    held = EMPTY_CONTENTS;
  }
  for (const [name, value] of values) {
    if (held.values.get(name) !== value) steps.push({kind: 'set', name, value});
  }
  if (statement) {
    const name = sharedStatementName(statement);
    if (!held.prepared.has(name)) {
      steps.push({kind: 'prepare', name, statement});
    }
  }
  return steps;
}

/** The connection's contents after a step succeeded. */
export function afterPreparation(
  contents: ConnectionContents,
  step: PreparationStep,
): ConnectionContents {
  switch (step.kind) {
    case 'reset':
      return EMPTY_CONTENTS;
    case 'set':
      return {
        ...contents,
        values: new Map(contents.values).set(step.name, step.value),
      };
    case 'prepare':
      return {
        ...contents,
        prepared: new Set(contents.prepared).add(step.name),
      };
  }
}

/** Whether two sets of session values are the same. */
export function sameValues(a: SessionValues, b: SessionValues): boolean {
  if (a.size !== b.size) return false;
  for (const [name, value] of a) if (b.get(name) !== value) return false;
  return true;
}
