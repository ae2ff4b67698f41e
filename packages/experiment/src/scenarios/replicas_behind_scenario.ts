import type {Profile} from '@pistachiorill/launcher';
import {SCENARIO_RAN, Scenario} from './scenario.js';
import type {ScenarioOutcome} from './scenario.js';

/** Longer than the maximum age of every read in the load. */
const APPLY_LAG_MS = 3_000;

/** All replicas apply entries three seconds after they receive them. */
export class ReplicasBehindScenario extends Scenario {
  override readonly name = 'replicas-behind';

  override profile(profile: Profile): Profile {
    return {...profile, applyLagMs: APPLY_LAG_MS};
  }

  override async inject(): Promise<ScenarioOutcome> {
    return SCENARIO_RAN;
  }
}
