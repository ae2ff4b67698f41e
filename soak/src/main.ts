import {copyFileSync, mkdirSync, rmSync} from 'node:fs';
import {totalmem} from 'node:os';
import {join} from 'node:path';
import meow from 'meow';
import {PLANS} from './faults/fault_plan.js';
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
    --plan     all: planned work and other faults, which overlap (default)
               faults: faults without the series of planned work
               planned: planned work only, around which no request may be lost
               restored: planned work, and a store that goes back to a copy
               expired: planned work, and outages in which entries expire, with
               a synchronous replica
    --size     usual: 4 VMs, 10 callers and 15 holders (default)
               large: 40 VMs, 60 callers and 60 holders
    --vms      gateway processes
    --callers  callers that leave their sessions after some operations
    --holders  callers that keep their sessions until the process is gone; some
               do not close when asked to, or open their sessions late
    --folder   folder for logs and a copy of the gateway (default build/soak)

  A run fails when its processes need more than half of the machine's memory.

  Exit codes
    0 no violation   1 violations found   2 invalid arguments
`;

const BYTES_PER_MB = 1_048_576;
const GATEWAY = 'target/pistachiorill.mjs';

/** The processes and callers of a run. */
const SIZES = {
  usual: {vms: 4, callers: 10, holders: 15},
  large: {vms: 40, callers: 60, holders: 60},
} as const;

function isSizeName(name: string): name is keyof typeof SIZES {
  return Object.hasOwn(SIZES, name);
}

async function main(): Promise<number> {
  const {flags} = meow(HELP, {
    importMeta: import.meta,
    description: false,
    flags: {
      seeds: {type: 'string', default: '1-3'},
      seconds: {type: 'number', default: 12},
      plan: {type: 'string', default: 'all'},
      size: {type: 'string', default: 'usual'},
      vms: {type: 'number'},
      callers: {type: 'number'},
      holders: {type: 'number'},
      folder: {type: 'string', default: 'build/soak'},
    },
  });
  const match = /^(\d+)(?:-(\d+))?$/.exec(flags.seeds);
  if (!match) {
    console.error('--seeds must be N or N-M; see --help');
    return 2;
  }
  const plan = PLANS.find(item => item === flags.plan);
  const size = isSizeName(flags.size) ? SIZES[flags.size] : undefined;
  if (!plan || !size) {
    console.error('unknown --plan or --size; see --help');
    return 2;
  }
  const first = Number(match[1]);
  const last = Number(match[2] ?? match[1]);
  // A build during the runs must not change the program of processes that restart.
  const program = join(flags.folder, `gateway-${process.pid}.mjs`);
  mkdirSync(flags.folder, {recursive: true});
  copyFileSync(GATEWAY, program);
  let violatedSeeds = 0;
  for (let seed = first; seed <= last; seed++) {
    const report = await runSoak({
      seed,
      lengthMs: flags.seconds * 1_000,
      plan,
      vms: flags.vms ?? size.vms,
      callers: flags.callers ?? size.callers,
      holders: flags.holders ?? size.holders,
      maxMemoryMb: totalmem() / 2 / BYTES_PER_MB,
      program,
      folder: flags.folder,
    });
    const {faults, violations, ...counts} = report;
    console.log(JSON.stringify({...counts, faults: faults.length}));
    for (const item of violations.slice(0, 10)) {
      console.log(`  ${item.promise}: ${item.detail}`);
    }
    if (violations.length > 0) violatedSeeds++;
  }
  rmSync(program);
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
