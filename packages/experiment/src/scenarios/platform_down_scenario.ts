import {SCENARIO_RAN, Scenario} from './scenario.js';
import type {ScenarioContext, ScenarioOutcome} from './scenario.js';

const DOWN_AT_SHARE = 0.25;
const BACK_AT_SHARE = 0.8;

/** The platform refuses all requests for a part of the load. */
export class PlatformDownScenario extends Scenario {
  override readonly name = 'platform-down';

  override async inject(context: ScenarioContext): Promise<ScenarioOutcome> {
    const {fleet, until, mark} = context;
    await until(DOWN_AT_SHARE);
    mark('platform down');
    await fleet.setPlatformFault('outage');
    await until(BACK_AT_SHARE);
    mark('platform back');
    await fleet.setPlatformFault('none');
    return SCENARIO_RAN;
  }
}
