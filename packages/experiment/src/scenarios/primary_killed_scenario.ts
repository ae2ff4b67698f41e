import {PrimarySignalScenario} from './primary_signal_scenario.js';

/** The primary's process is killed and not restarted. */
export class PrimaryKilledScenario extends PrimarySignalScenario {
  override readonly name = 'primary-killed';
  protected override readonly signal = 'SIGKILL';

  protected override async recover(): Promise<void> {}
}
