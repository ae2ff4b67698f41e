import {decideOperatorState, eraOf} from '@pistachiorill/core';
import type {ComparedState, EarlierState} from '@pistachiorill/core';
import type {OperatorState} from '../ports/configuration_source.js';

/**
 * The newest state of the operators and, for a time after the store went back to
 * an earlier copy, the state that was in force before. Decides what of the two is
 * in force.
 */
export class OperatorStates {
  private newestState: OperatorState | undefined;
  private earlier: {state: OperatorState; eraSeenAt: number} | undefined;
  private appliedState: OperatorState | undefined;
  private decisionDueAt: number | undefined;

  /** The state with the highest revision. */
  get newest(): OperatorState | undefined {
    return this.newestState;
  }

  /** The state in force. */
  get applied(): OperatorState | undefined {
    return this.appliedState;
  }

  /**
   * When the state in force has to be decided again, although no state arrives
   * until then.
   */
  get decideAgainAt(): number | undefined {
    return this.decisionDueAt;
  }

  /**
   * The encoded state that the newest one is compared with, for a VM whose state
   * has the given revision: it may lack the configuration in force.
   */
  encodedEarlierFor(revision: number): string | undefined {
    const newest = this.newestState?.revision ?? 0;
    if (eraOf(revision) === eraOf(newest) && revision > 0) return undefined;
    return this.earlier?.state.encoded;
  }

  /** Takes a state; returns whether it is newer than all before. */
  receive(state: OperatorState, now: number): 'newer' | 'known' {
    const before = this.newestState;
    if (before && state.revision <= before.revision) return 'known';
    const isOfNewEra = before && eraOf(state.revision) > eraOf(before.revision);
    if (isOfNewEra && this.appliedState) {
      this.earlier = {state: this.appliedState, eraSeenAt: now};
    }
    this.newestState = state;
    this.decide(now);
    return 'newer';
  }

  /** Decides again which state is in force. */
  decide(now: number): void {
    const newest = this.newestState;
    if (!newest) return;
    if (!this.earlier) {
      this.appliedState = newest;
      return;
    }
    const {state, eraSeenAt} = this.earlier;
    const earlier: EarlierState = {...compared(state), eraSeenAt};
    const decision = decideOperatorState(compared(newest), earlier, now);
    const configured = decision.configuration === 'newest' ? newest : state;
    const {dataCentresOut} = decision;
    this.appliedState = {...configured, dataCentresOut};
    this.decisionDueAt = decision.decideAgainAt;
    if (decision.earlier === 'superseded') this.earlier = undefined;
  }
}

function compared({
  configuration,
  dataCentresOut,
}: OperatorState): ComparedState {
  return {configurationVersion: configuration?.version, dataCentresOut};
}
