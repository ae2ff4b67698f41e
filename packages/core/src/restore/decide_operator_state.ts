/**
 * How long the operators may need to write again what the store lost when it
 * went back to a copy. It is longer than the two seconds within which entries
 * are back after an outage of the store, and bounds how long a data centre that
 * was put back into service in the lost seconds stays out.
 */
export const OPERATOR_REWRITE_MS = 5_000;

/** What a decision between two states of the operators depends on. */
export interface ComparedState {
  /** The version that the operators gave the configuration, if there is one. */
  readonly configurationVersion: number | undefined;
  readonly dataCentresOut: ReadonlySet<string>;
}

/** The state that was in force when a newer era of the store was first seen. */
export interface EarlierState extends ComparedState {
  readonly eraSeenAt: number;
}

/** Which parts of the operators' states are in force. */
export interface OperatorStateDecision {
  readonly configuration: 'newest' | 'earlier';
  readonly dataCentresOut: ReadonlySet<string>;
  /** When to decide again, if the newest state is not in force as a whole. */
  readonly decideAgainAt: number | undefined;
  /** Whether the earlier state is no longer needed. */
  readonly earlier: 'needed' | 'superseded';
}

/**
 * Decides which configuration and which evacuations are in force after the store
 * went back to an earlier copy. The newest state may lack what the operators
 * wrote since the copy, until they have written it again: an older configuration
 * is not applied, and data centres stay out of service.
 */
export function decideOperatorState(
  newest: ComparedState,
  earlier: EarlierState,
  now: number,
): OperatorStateDecision {
  const isBehind = versionOf(newest) < versionOf(earlier);
  const rewrittenAt = earlier.eraSeenAt + OPERATOR_REWRITE_MS;
  const isRewriting = now < rewrittenAt;
  if (!isBehind && !isRewriting) {
    return {
      configuration: 'newest',
      dataCentresOut: newest.dataCentresOut,
      decideAgainAt: undefined,
      earlier: 'superseded',
    };
  }
  return {
    configuration: isBehind ? 'earlier' : 'newest',
    dataCentresOut: new Set([
      ...newest.dataCentresOut,
      ...earlier.dataCentresOut,
    ]),
    decideAgainAt: isRewriting ? rewrittenAt : undefined,
    earlier: 'needed',
  };
}

function versionOf({configurationVersion}: ComparedState): number {
  return configurationVersion ?? -Infinity;
}
