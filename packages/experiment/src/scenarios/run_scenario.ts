import {createConnection} from 'mysql2/promise';
import {Fleet, databaseNames} from '@pistachiorill/launcher';
import type {Profile} from '@pistachiorill/launcher';
import {checkHistory} from '../history/check_history.js';
import {LoadGenerator} from '../load/load_generator.js';
import {computeMeasures} from '../measures/compute_measures.js';
import {ReadSampler} from '../measures/read_sampler.js';
import {readContents} from './read_contents.js';
import type {Scenario} from './scenario.js';
import type {TimelineMark, ScenarioRun} from './scenario_run.js';

/** The load of each workspace as a share of its rate. */
const LOAD_SHARE = 0.5;
/** The first part of a run, which the measures exclude. */
const WARM_UP_MS = 1_000;
/** Time for members to finish statements whose caller is gone. */
const SETTLE_MS = 300;

const TABLES = [
  'CREATE TABLE load_write (write_id VARCHAR(64))',
  'CREATE INDEX load_write_id ON load_write (write_id)',
  'CREATE TABLE load_note (note_id VARCHAR(64) PRIMARY KEY)',
];

/** The fleet, the policy and the load of one run. */
export interface RunOptions {
  readonly profile: Profile;
  /** `default`, or the name of the baseline in `profile.policy`. */
  readonly policy: string;
  readonly seed: number;
  readonly durationMs: number;
  readonly buildFolder: string;
}

/**
 * Starts a fleet, runs the load while the scenario injects its faults, and
 * computes the measures. Checks the history against the final contents.
 */
export async function runScenario(
  scenario: Scenario,
  options: RunOptions,
): Promise<ScenarioRun> {
  const profile = scenario.profile(options.profile);
  const fleet = new Fleet(profile, options.buildFolder);
  try {
    await fleet.start();
    await createTables(fleet);
    return await measure(scenario, fleet, options);
  } finally {
    await fleet.stop();
  }
}

async function measure(
  scenario: Scenario,
  fleet: Fleet,
  options: RunOptions,
): Promise<ScenarioRun> {
  const {seed, durationMs, policy} = options;
  const {profile} = fleet;
  const plan = {
    durationMs,
    load: LOAD_SHARE,
    factors: scenario.loadFactors(profile),
  };
  const generator = new LoadGenerator(profile, plan, () => fleet.vms, seed);
  const clock = () => generator.clock();
  const sampler = new ReadSampler(() => fleet.vms, clock);
  const marks: TimelineMark[] = [];
  const loadRun = generator.run();
  await sampler.start();
  const outcome = await scenario.inject({
    fleet,
    clock,
    until: share => sleep(share * durationMs - clock()),
    mark: label => marks.push({at: Math.round(clock()), label}),
  });
  const load = await loadRun;
  await sampler.stop();
  await Promise.all(fleet.vms.map(vm => vm.child.kill()));
  await sleep(SETTLE_MS);
  const {contents, notes} = await readContents(fleet);
  const result = {
    scenario: scenario.name,
    policy,
    profile: profile.name,
    seed,
    durationMs,
    outcome,
    reads: sampler.samples,
    marks,
    notes: [...notes, ...scenario.notesOn(load.requests)],
    generatorDelayMs: load.generatorDelayMs,
  };
  if (outcome.kind === 'not-available') return result;
  const window = {fromMs: WARM_UP_MS, toMs: durationMs};
  return {
    ...result,
    measures: computeMeasures(load.requests, sampler.samples, window),
    check: checkHistory(load.history, contents),
  };
}

async function createTables(fleet: Fleet): Promise<void> {
  const [workspace] = fleet.profile.workspaces;
  for (const database of databaseNames(fleet.profile)) {
    const connection = await createConnection({
      host: '127.0.0.1',
      port: fleet.vms[0]?.clientPort ?? 0,
      user: workspace?.name ?? '',
      password: workspace?.key ?? '',
      database,
    });
    for (const sql of TABLES) await connection.query(sql);
    connection.destroy();
  }
}

function sleep(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, Math.max(0, durationMs)));
}
