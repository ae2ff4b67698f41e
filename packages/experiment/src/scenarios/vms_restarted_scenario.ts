import {SCENARIO_RAN, Scenario} from './scenario.js';
import type {ScenarioContext, ScenarioOutcome} from './scenario.js';

const FIRST_AT_SHARE = 0.2;
const LAST_AT_SHARE = 0.9;

/** Stops each VM in turn with SIGTERM and restarts it as a new process. */
export class VmsRestartedScenario extends Scenario {
  override readonly name = 'vms-restarted';

  override async inject(context: ScenarioContext): Promise<ScenarioOutcome> {
    const {fleet, until, mark} = context;
    const vms = [...fleet.vms];
    for (const [index, {name, child}] of vms.entries()) {
      await until(
        FIRST_AT_SHARE +
          ((LAST_AT_SHARE - FIRST_AT_SHARE) * index) / vms.length,
      );
      mark(`SIGTERM ${name}`);
      const exitCode = await child.stop();
      await fleet.restartVm(name);
      if (exitCode !== 0) mark(`${name} ended with exit code ${exitCode}`);
    }
    return SCENARIO_RAN;
  }
}
