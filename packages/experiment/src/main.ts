import {fileURLToPath} from 'node:url';
import meow from 'meow';
import {runCost} from './commands/run_cost.js';
import {runExperiment} from './commands/run_experiment.js';

const HELP = `
  Usage
    $ npm run experiment -- --profile authority --scenario primary-killed

  Options
    --profile      authority or leafmark (authority)
    --scenario     name of a scenario, or all (steady)
    --seed         seed of the arrivals and the clients (1)
    --duration-ms  duration of the load (20000)
    --out          folder for report.json and report.html
    --baseline     report.json of an earlier run; prints ratios
    --compare      also runs the baseline policies and prints ratios
    --quick        runs all scenarios briefly; the figures are imprecise
    --cost         measures the cost of the path through one VM and of decisions
    --cpu-prof     folder for CPU profiles of the VM; with --cost
`;

const cli = meow(HELP, {
  importMeta: import.meta,
  flags: {
    profile: {type: 'string', default: 'authority'},
    scenario: {type: 'string', default: 'steady'},
    seed: {type: 'number', default: 1},
    durationMs: {type: 'number'},
    out: {type: 'string'},
    baseline: {type: 'string'},
    compare: {type: 'boolean', default: false},
    quick: {type: 'boolean', default: false},
    cost: {type: 'boolean', default: false},
    cpuProf: {type: 'string'},
  },
});

const {flags} = cli;
const buildFolder = fileURLToPath(new URL('.', import.meta.url));

process.exitCode = flags.cost
  ? await runCost({out: flags.out, cpuProf: flags.cpuProf}, buildFolder)
  : await runExperiment(
      {
        profile: flags.profile,
        scenario: flags.scenario,
        seed: flags.seed,
        durationMs: flags.durationMs,
        out: flags.out,
        baseline: flags.baseline,
        compare: flags.compare,
        quick: flags.quick,
      },
      buildFolder,
    );
process.exit();
