import meow from 'meow';
import {runSoak} from './run_soak.js';

const HELP = `
  Usage
    $ npm run soak -- --seeds 1-50
    $ npm run soak -- --seeds 17 --seconds 30

  Runs gateway processes against stand-ins for the platform, injects faults
  that follow from the seed, and checks the recorded operations of callers and
  members for consistency violations.

  Options
    --seeds    one seed or a range (default 1-3)
    --seconds  length of a run without its recovery (default 12)
    --vms      gateway processes (default 4)
    --callers  concurrent callers (default 10)
    --folder   folder for logs (default build/soak)

  Exit codes
    0 no violation   1 violations found   2 invalid arguments
`;

async function main(): Promise<number> {
  const {flags} = meow(HELP, {
    importMeta: import.meta,
    description: false,
    flags: {
      seeds: {type: 'string', default: '1-3'},
      seconds: {type: 'number', default: 12},
      vms: {type: 'number', default: 4},
      callers: {type: 'number', default: 10},
      folder: {type: 'string', default: 'build/soak'},
    },
  });
  const match = /^(\d+)(?:-(\d+))?$/.exec(flags.seeds);
  if (!match) {
    console.error('--seeds must be N or N-M; see --help');
    return 2;
  }
  const first = Number(match[1]);
  const last = Number(match[2] ?? match[1]);
  let violatedSeeds = 0;
  for (let seed = first; seed <= last; seed++) {
    const report = await runSoak({
      seed,
      lengthMs: flags.seconds * 1_000,
      vms: flags.vms,
      callers: flags.callers,
      program: 'target/pistachiorill.mjs',
      folder: flags.folder,
    });
    const {faults, violations, ...counts} = report;
    console.log(JSON.stringify({...counts, faults: faults.length}));
    for (const item of violations.slice(0, 10)) {
      console.log(`  ${item.promise}: ${item.detail}`);
    }
    if (violations.length > 0) violatedSeeds++;
  }
  console.log(`${last - first + 1} seeds, ${violatedSeeds} with violations`);
  return violatedSeeds > 0 ? 1 : 0;
}

main().then(
  code => process.exit(code),
  (err: unknown) => {
    console.error(err);
    process.exit(7);
  },
);
