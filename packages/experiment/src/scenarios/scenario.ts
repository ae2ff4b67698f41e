import type {Fleet, Profile} from '@pistachiorill/launcher';
import type {RequestRecord} from '../load/request_record.js';

/** The names of scenarios on the command line and in reports. */
export type ScenarioName =
  | 'steady'
  | 'noisy-workspace'
  | 'primary-killed'
  | 'primary-frozen'
  | 'replicas-behind'
  | 'platform-down'
  | 'data-centre-out'
  | 'vms-restarted'
  | 'primary-isolated';

/** Whether the fault of a scenario was injected. */
export type ScenarioOutcome =
  | {readonly kind: 'run'}
  /** The fault could not be injected, so there are no meaningful figures. */
  | {readonly kind: 'not-available'; readonly reason: string};

/** The collaborators of a scenario while the load runs. */
export interface ScenarioContext {
  readonly fleet: Fleet;
  /** Waits until a share (0 to 1) of the load's duration has passed. */
  readonly until: (share: number) => Promise<void>;
  /** Milliseconds since the start of the load. */
  readonly clock: () => number;
  /** Adds an event at the current time to the report. */
  readonly mark: (label: string) => void;
}

/** A situation, usually a fault, in which a fleet is measured. */
export abstract class Scenario {
  abstract readonly name: ScenarioName;

  /** Returns the given profile with the changes that the scenario requires. */
  profile(profile: Profile): Profile {
    return profile;
  }

  /** Returns factors of the usual load, by workspace; the default is 1. */
  loadFactors(unusedProfile: Profile): ReadonlyMap<string, number> {
    return new Map();
  }

  /** Returns notes on the requests that are specific to the scenario. */
  notesOn(unusedRequests: readonly RequestRecord[]): string[] {
    return [];
  }

  /** Injects the faults, and reverts them before the load ends. */
  abstract inject(context: ScenarioContext): Promise<ScenarioOutcome>;
}

/** The outcome of a scenario that has run with its fault, if it has one. */
export const SCENARIO_RAN: ScenarioOutcome = {kind: 'run'};
