import {busiestDatabase, waitForPrimary} from './find_primary.js';
import {Scenario} from './scenario.js';
import type {ScenarioContext, ScenarioOutcome} from './scenario.js';

const INJECT_AT_SHARE = 0.25;

/** Sends a signal to the primary of the busiest database. */
export abstract class PrimarySignalScenario extends Scenario {
  protected abstract readonly signal: 'SIGKILL' | 'SIGSTOP';

  override async inject(context: ScenarioContext): Promise<ScenarioOutcome> {
    const {fleet, until, mark} = context;
    await until(INJECT_AT_SHARE);
    const database = busiestDatabase(fleet.profile);
    const primary = await waitForPrimary(fleet, database);
    const child = primary && fleet.members.get(primary.name);
    if (!child) {
      const reason = `${database} has no primary to send a signal to`;
      return {kind: 'not-available', reason};
    }
    mark(`${this.signal} ${primary.name}`);
    child.signal(this.signal);
    await this.recover(context, primary.name);
    return {kind: 'run'};
  }

  /** Reverts the fault where the scenario does so before the load ends. */
  protected abstract recover(
    context: ScenarioContext,
    member: string,
  ): Promise<void>;
}
