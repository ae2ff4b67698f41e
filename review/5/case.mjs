import {fileURLToPath} from 'node:url';
import {Deployment, runCase} from '../lib/deployment.mjs';
import {writeRecord} from '../lib/record.mjs';

/** The bound `graceS` of the settings. */
const GRACE_S = process.env.TROUBLE === '0' ? 6 : 6.5;

const deployment = new Deployment({
  db1: {
    slots: 2,
    maxConns: 26,
    handshakeMs: 12,
    promoteMs: 300,
    lagMs: 20,
    readMs: 16,
    writeMs: 5,
  },
});

/** Whether the VMs' processes start; false if they end by themselves. */
async function start() {
  try {
    await deployment.start({
      services: {db1: {a: 'zone-1', b: 'zone-2', c: 'zone-3'}},
      vms: {'vm-1': 'zone-1', 'vm-2': 'zone-2'},
      bounds: {graceS: GRACE_S},
      routes: [
        {
          service: 'db1',
          name: 'orders',
          host: 'orders',
          kind: 'primary',
          timeoutMs: 800,
          targetLatencyMs: 120,
        },
      ],
    });
    return true;
  } catch (err) {
    if (deployment.gateways.every(({exits}) => exits.length === 0)) throw err;
    return false;
  }
}

async function run() {
  let isStarted = false;
  const output = [];
  try {
    isStarted = await start();
    for (const gateway of deployment.gateways) {
      output.push(...new Set(gateway.log.split('\n').slice(-3)));
    }
  } finally {
    await deployment.stop();
  }
  const ends = deployment.gateways.map(({name, exits}) => {
    for (const {at, reason} of exits) {
      deployment.events.push({at, text: `${name} ended by itself: ${reason}`});
    }
    return exits.length;
  });
  const verdict = [
    `Fault: with graceS ${GRACE_S} the VMs ${isStarted ? 'start' : 'do not start'}; their processes ended by themselves ${ends.join(', ')} times`,
  ];
  writeRecord(
    fileURLToPath(new URL('record.txt', import.meta.url)),
    deployment,
    [...verdict, ...(isStarted ? [] : output.filter(Boolean))],
  );
  for (const line of verdict) console.log(line);
  return isStarted;
}

process.exit(await runCase(run));
