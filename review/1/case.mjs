import {fileURLToPath} from 'node:url';
import {checkOne, checkStale} from '../lib/checks.mjs';
import {Deployment, runCase} from '../lib/deployment.mjs';
import {zoneCut} from '../lib/network.mjs';
import {writeRecord} from '../lib/record.mjs';
import {sleep} from '../lib/util.mjs';

const isTroubled = process.env.TROUBLE !== '0';
const ZONE_CUT_MS = 5_000;
const DARK_MS = 7_000;
/** The new primary goes dark this long before the zone is back. */
const DARK_BEFORE_HEAL_MS = 400;

const ROUTES = [
  {
    service: 'db1',
    name: 'orders',
    host: 'orders',
    kind: 'primary',
    timeoutMs: 800,
    targetLatencyMs: 120,
  },
  {
    service: 'db1',
    name: 'lookup',
    host: 'lookup',
    kind: 'read_your_writes',
    maxStalenessMs: 2_500,
    timeoutMs: 800,
    targetLatencyMs: 200,
  },
];

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
const {network, clock} = deployment;
const group = deployment.group('db1');

async function disturb() {
  const [first] = group.members;
  deployment.note('zone-1 is cut off');
  const cutAt = clock();
  const cut = zoneCut(network, 'zone-1');
  await deployment.until(
    'a first promotion',
    () => group.promotions.length > 0,
    4_000,
  );
  await sleep(cutAt + ZONE_CUT_MS - DARK_BEFORE_HEAL_MS - clock());
  const second = group.latestPrimary;
  deployment.note(`${second.id}, the primary, goes dark`);
  const darkAt = clock();
  second.fail('dark');
  await sleep(cutAt + ZONE_CUT_MS - clock());
  cut.repair();
  deployment.note(
    `zone-1 is back; ${first.id} is ${first.role} of term ${first.term}`,
  );
  await sleep(darkAt + DARK_MS - clock());
  second.recover();
  deployment.note(
    `${second.id} is back as ${second.role} of term ${second.term}`,
  );
}

async function run() {
  try {
    await deployment.start({
      services: {db1: {a: 'zone-1', b: 'zone-2', c: 'zone-3'}},
      vms: {'vm-1': 'zone-2', 'vm-2': 'zone-3', 'vm-3': 'zone-3'},
      routes: ROUTES,
    });
    let number = 0;
    const item = () => `i${number % 20}`;
    const mixed = () => {
      number++;
      return number % 3 === 0 ? `WRITE ${item()} d${number}` : `READ ${item()}`;
    };
    deployment.addClients(3, 'orders', mixed, () => 100 * Math.random());
    deployment.addClients(
      8,
      'lookup',
      () => `READ ${item()}`,
      () => 250 * Math.random(),
    );
    await sleep(3_000);
    if (isTroubled) await disturb();
    else await sleep(ZONE_CUT_MS + DARK_MS);
    await sleep(4_000);
  } finally {
    await deployment.stop();
  }
  const one = checkOne(deployment, group);
  const stale = checkStale(deployment, group, 'orders');
  const lost = group.commits.filter(
    commit =>
      !commit.isRolledBack &&
      !group.latestPrimary.log.includes(commit) &&
      deployment.requests.some(
        ({id, answer}) => id === commit.request && answer.kind === 'success',
      ),
  );
  const verdict = [
    `ONE: ${one.length} acknowledged writes were committed at an old primary`,
    `STALE: ${stale.length} reads lacked acknowledged commits`,
    `${lost.length} acknowledged commits are not in the log of the last primary`,
  ];
  writeRecord(
    fileURLToPath(new URL('record.txt', import.meta.url)),
    deployment,
    verdict,
  );
  for (const line of verdict) console.log(line);
  return one.length === 0 && stale.length === 0;
}

process.exit(await runCase(run));
