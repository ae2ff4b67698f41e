import {randomBytes} from 'node:crypto';
import {fileURLToPath} from 'node:url';
import {Session} from '../lib/client.mjs';
import {Deployment, runCase} from '../lib/deployment.mjs';
import {writeRecord} from '../lib/record.mjs';
import {sleep} from '../lib/util.mjs';

const isTroubled = process.env.TROUBLE !== '0';
const SESSIONS = 8;
const PAUSE_MS = 900;
/** The bound `configApplyMs`. */
const APPLY_MS = 3_000;
const STATEMENTS = 9;
const KEY = 'key-9';

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
const group = deployment.group('db1');
const tenants = holder =>
  ['crates', 'trucks'].map(name => ({
    name,
    apiKeys: [`${name}-key`, ...(name === holder ? [KEY] : [])],
    ratePerS: 200,
    burst: 200,
  }));

/** Runs one transaction with pauses; each statement is recorded. */
async function transact(address, number) {
  const session = await Session.open(address, 'orders', KEY);
  if (!session) throw new Error('the session was refused');
  const run = async text => {
    const id = randomBytes(8).toString('hex');
    const sentAt = deployment.clock();
    const answer = await session.query(id, text, 2_000);
    deployment.requests.push({
      id,
      address,
      database: 'orders',
      text,
      sentAt,
      answeredAt: deployment.clock(),
      answer,
    });
    return answer.kind === 'success';
  };
  let isOpen = await run('BEGIN');
  for (let count = 0; isOpen && count < STATEMENTS; count++) {
    isOpen = await run(`WRITE i${number} d${number}-${count}`);
    await sleep(PAUSE_MS);
  }
  if (isOpen) await run('COMMIT');
  session.close();
}

async function run() {
  let changedAt = Infinity;
  try {
    await deployment.start({
      services: {db1: {a: 'zone-1', b: 'zone-2', c: 'zone-3'}},
      vms: {'vm-1': 'zone-1', 'vm-2': 'zone-2'},
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
    deployment.configure({tenants: tenants('crates')});
    await sleep(APPLY_MS);
    const {gateways} = deployment;
    const sessions = Array.from({length: SESSIONS}, (unused, number) =>
      transact(gateways[number % gateways.length].address, number),
    );
    await sleep(1_500);
    if (isTroubled) {
      changedAt = deployment.configure({tenants: tenants('trucks')});
      deployment.note(`${KEY} moves from crates to trucks`);
    }
    await Promise.all(sessions);
  } finally {
    await deployment.stop();
  }
  const byId = new Map(deployment.requests.map(item => [item.id, item]));
  const wrong = group.runs.filter(({request, tenant}) => {
    const {sentAt} = byId.get(request);
    return sentAt > changedAt + APPLY_MS
      ? tenant !== 'trucks'
      : tenant !== 'crates' && tenant !== 'trucks';
  });
  const verdict = [
    `UNASKED: ${wrong.length} statements ran for a tenant that does not hold the key`,
  ];
  writeRecord(
    fileURLToPath(new URL('record.txt', import.meta.url)),
    deployment,
    verdict,
  );
  for (const line of verdict) console.log(line);
  return wrong.length === 0;
}

process.exit(await runCase(run));
