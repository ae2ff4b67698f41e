import {PrimarySignalScenario} from './primary_signal_scenario.js';
import type {ScenarioContext} from './scenario.js';

const RESUME_AT_SHARE = 0.85;

/** The primary is paused during writes and resumes towards the end of the load. */
export class PrimaryFrozenScenario extends PrimarySignalScenario {
  override readonly name = 'primary-frozen';
  protected override readonly signal = 'SIGSTOP';

  protected override async recover(
    {fleet, until, mark}: ScenarioContext,
    member: string,
  ): Promise<void> {
    await until(RESUME_AT_SHARE);
    mark(`SIGCONT ${member}`);
    fleet.members.get(member)?.signal('SIGCONT');
  }
}
