import {fileURLToPath} from 'node:url';
import meow from 'meow';
import {AUTHORITY_PROFILE, Fleet} from '@pistachiorill/launcher';
import {DemoContext} from './demo_context.js';
import type {DemoStep} from './demo_step.js';
import {DrainDataCentre} from './steps/drain_data_centre.js';
import {RefusedKey} from './steps/refused_key.js';
import {RepeatRequest} from './steps/repeat_request.js';
import {ReplacePrimary} from './steps/replace_primary.js';
import {StaleRead} from './steps/stale_read.js';
import {WriteAndRead} from './steps/write_and_read.js';

const STEPS: readonly DemoStep[] = [
  new WriteAndRead(),
  new RepeatRequest(),
  new StaleRead(),
  new RefusedKey(),
  new DrainDataCentre(),
  new ReplacePrimary(),
];

const cli = meow(
  `
  Usage
    $ npm run demo

  Options
    --keep    keep the system running and print how to connect

  Exit code 0 if every step had the expected result, 1 otherwise.
`,
  {
    importMeta: import.meta,
    flags: {keep: {type: 'boolean', default: false}},
  },
);

const fleet = new Fleet(
  {...AUTHORITY_PROFILE, vmCount: 3, databaseCount: 1},
  fileURLToPath(new URL('.', import.meta.url)),
);
const context = new DemoContext(fleet);

try {
  console.log('starting the platform, 3 backend servers and 3 VMs ...');
  await fleet.start();
  for (const step of STEPS) await runStep(step);
  if (cli.flags.keep) await keepRunning();
} catch (err) {
  console.error(`FAILED: ${(err as Error).message}`);
  process.exitCode = 1;
} finally {
  context.close();
  await fleet.stop();
}

async function runStep(step: DemoStep): Promise<void> {
  const start = Date.now();
  const result = await step.run(context);
  console.log(`ok  ${step.title} (${Date.now() - start} ms)\n      ${result}`);
}

async function keepRunning(): Promise<void> {
  const {workspace} = context;
  for (const vm of fleet.vms) {
    console.log(
      `${vm.name}: mysql -h 127.0.0.1 -P ${vm.clientPort} -u ${workspace.name} ` +
        `-p${workspace.key} ${fleet.profile.service}`,
    );
  }
  console.log('press Ctrl+C to stop');
  await new Promise<void>(resolve => process.once('SIGINT', resolve));
}
