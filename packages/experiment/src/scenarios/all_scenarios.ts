import {DataCentreOutScenario} from './data_centre_out_scenario.js';
import {NoisyWorkspaceScenario} from './noisy_workspace_scenario.js';
import {PlatformDownScenario} from './platform_down_scenario.js';
import {PrimaryFrozenScenario} from './primary_frozen_scenario.js';
import {PrimaryIsolatedScenario} from './primary_isolated_scenario.js';
import {PrimaryKilledScenario} from './primary_killed_scenario.js';
import {ReplicasBehindScenario} from './replicas_behind_scenario.js';
import type {Scenario} from './scenario.js';
import {SteadyScenario} from './steady_scenario.js';
import {VmsRestartedScenario} from './vms_restarted_scenario.js';

/** All scenarios, in the order of the reports. */
export const ALL_SCENARIOS: readonly Scenario[] = [
  new SteadyScenario(),
  new NoisyWorkspaceScenario(),
  new PrimaryKilledScenario(),
  new PrimaryFrozenScenario(),
  new ReplicasBehindScenario(),
  new PlatformDownScenario(),
  new DataCentreOutScenario(),
  new VmsRestartedScenario(),
  new PrimaryIsolatedScenario(),
];
