import {Scenario} from './scenario.js';
import type {ScenarioOutcome} from './scenario.js';

/** A partition separates the primary from all but some of the clients. */
export class PrimaryIsolatedScenario extends Scenario {
  override readonly name = 'primary-isolated';

  override async inject(): Promise<ScenarioOutcome> {
    const reason = 'members cannot be partitioned from each other';
    return {kind: 'not-available', reason};
  }
}
