import {sharedStatementName} from './prepared_statement.js';
import type {PreparedStatement} from './prepared_statement.js';

/** The values that a session has set, by name. */
export type SessionValues = ReadonlyMap<string, string>;

/** The session state on a member connection, left by earlier statements. */
export interface ConnectionSessionState {
  readonly values: SessionValues;
  /** The shared names of the statements that are prepared on it. */
  readonly preparedNames: ReadonlySet<string>;
}

/** The session state on a new connection, or after a reset. */
export const EMPTY_SESSION_STATE: ConnectionSessionState = {
  values: new Map(),
  preparedNames: new Set(),
};

/** A command that prepares a connection for a statement of a session. */
export type PreparationStep =
  /** Discards all values and prepared statements. */
  | {readonly kind: 'reset'}
  | {readonly kind: 'set'; readonly name: string; readonly value: string}
  | {
      readonly kind: 'prepare';
      readonly name: string;
      readonly statement: PreparedStatement;
    };

/**
 * Returns the commands that give a connection exactly the values of the session
 * and, if one is given, the prepared statement. A single value cannot be unset,
 * so a value that the session does not have requires a reset.
 */
export function planPreparation(
  state: ConnectionSessionState,
  values: SessionValues,
  statement: PreparedStatement | undefined,
): readonly PreparationStep[] {
  const steps: PreparationStep[] = [];
  let base = state;
  if ([...state.values.keys()].some(name => !values.has(name))) {
    steps.push({kind: 'reset'});
    base = EMPTY_SESSION_STATE;
  }
  for (const [name, value] of values) {
    if (base.values.get(name) !== value) steps.push({kind: 'set', name, value});
  }
  if (statement) {
    const name = sharedStatementName(statement);
    if (!base.preparedNames.has(name)) {
      steps.push({kind: 'prepare', name, statement});
    }
  }
  return steps;
}

/** Returns the session state on the connection after a step has succeeded. */
export function applyPreparationStep(
  state: ConnectionSessionState,
  step: PreparationStep,
): ConnectionSessionState {
  switch (step.kind) {
    case 'reset':
      return EMPTY_SESSION_STATE;
    case 'set':
      return {
        ...state,
        values: new Map(state.values).set(step.name, step.value),
      };
    case 'prepare':
      return {
        ...state,
        preparedNames: new Set(state.preparedNames).add(step.name),
      };
  }
}

/** Returns whether two sessions have set the same values. */
export function haveSameValues(a: SessionValues, b: SessionValues): boolean {
  if (a.size !== b.size) return false;
  for (const [name, value] of a) if (b.get(name) !== value) return false;
  return true;
}
