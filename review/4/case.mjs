import {fileURLToPath} from 'node:url';
import {checkOne, checkStale} from '../lib/checks.mjs';
import {Deployment, runCase} from '../lib/deployment.mjs';
import {bridgeCut, storeCut} from '../lib/network.mjs';
import {writeRecord} from '../lib/record.mjs';
import {sleep} from '../lib/util.mjs';

const isTroubled = process.env.TROUBLE !== '0';
const MAX_STORE_CUT_MS = 7_000;
const BRIDGE_CUT_MS = 5_500;
/** The second cut begins this long after the order. */
const BRIDGE_CUT_AFTER_MS = 4_000;
/** The first cut ends this long after another coordinator's order. */
const REPAIR_AFTER_ORDER_MS = 100;

const deployment = new Deployment({
  db1: {
    slots: 2,
    maxConns: 16,
    handshakeMs: 12,
    promoteMs: 1_000,
    lagMs: 60,
    readMs: 10,
    writeMs: 5,
  },
});
const {network, clock} = deployment;
const group = deployment.group('db1');

const orders = [];

/** Cuts the coordinator off from the store right after its order. */
async function cutStore() {
  const [{holder}] = orders;
  const cutAt = clock();
  const cut = storeCut(network, holder);
  deployment.note(`${holder} is cut off from the store`);
  while (orders.length < 2 && clock() - cutAt < MAX_STORE_CUT_MS) {
    await sleep(5);
  }
  await sleep(
    Math.min(REPAIR_AFTER_ORDER_MS, cutAt + MAX_STORE_CUT_MS - clock()),
  );
  cut.repair();
  deployment.note(`${holder} reaches the store again`);
}

async function cutBridge() {
  await sleep(BRIDGE_CUT_AFTER_MS);
  const cut = bridgeCut(network, 'zone-1', 'zone-2');
  deployment.note('zone-1 and zone-2 are cut off from each other');
  await sleep(BRIDGE_CUT_MS);
  cut.repair();
  deployment.note('zone-1 and zone-2 reach each other again');
}

async function run() {
  let disturbance;
  deployment.onOrder = order => {
    orders.push(order);
    if (isTroubled) disturbance ??= Promise.all([cutStore(), cutBridge()]);
  };
  try {
    await deployment.start({
      services: {db1: {a: 'zone-3', b: 'zone-1', c: 'zone-2'}},
      vms: {'vm-1': 'zone-2', 'vm-2': 'zone-3', 'vm-3': 'zone-2'},
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
    let number = 0;
    const mixed = () => {
      number++;
      const verb = number % 2 === 0 ? 'WRITE' : 'READ';
      return `${verb} i${number % 20}${verb === 'WRITE' ? ` d${number}` : ''}`;
    };
    deployment.addClients(3, 'orders', mixed, () => 100 * Math.random());
    await sleep(3_000);
    deployment.note('zone-3, the zone of the primary, is evacuated');
    deployment.store.write('op', 'evacuate/zone-3', '{}');
    await deployment.until(
      'a promotion',
      () => group.promotions.length > 0,
      5_000,
    );
    await disturbance;
    await sleep(isTroubled ? 4_000 : 11_500);
  } finally {
    await deployment.stop();
  }
  const one = checkOne(deployment, group);
  const stale = checkStale(deployment, group, 'orders');
  const verdict = [
    `ONE: ${one.length} acknowledged writes were committed at an old primary`,
    `STALE: ${stale.length} reads lacked acknowledged commits`,
  ];
  writeRecord(
    fileURLToPath(new URL('record.txt', import.meta.url)),
    deployment,
    verdict,
  );
  for (const line of verdict) console.log(line);
  return one.length === 0;
}

process.exit(await runCase(run));
