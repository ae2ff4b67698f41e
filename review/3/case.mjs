import {randomBytes} from 'node:crypto';
import {fileURLToPath} from 'node:url';
import {Session} from '../lib/client.mjs';
import {Deployment, KEY, runCase} from '../lib/deployment.mjs';
import {writeRecord} from '../lib/record.mjs';
import {sleep} from '../lib/util.mjs';

const isTroubled = process.env.TROUBLE !== '0';
const SESSIONS = 8;
const LAG_MS = 20;
const LAG_FACTOR = 110;
const LAG_FOR_MS = 6_000;
/** From a change of the configuration to the next statement. */
const CHANGE_PAUSE_MS = 350;
const READS = 12;

const options = {
  slots: 2,
  maxConns: 26,
  handshakeMs: 12,
  promoteMs: 300,
  lagMs: LAG_MS,
  readMs: 10,
  writeMs: 5,
};
const deployment = new Deployment({db1: {...options}, db2: {...options}});
const {clock} = deployment;
const db1 = deployment.group('db1');

const routes = service => [
  {
    service: 'db1',
    name: 'orders',
    host: 'orders',
    kind: 'primary',
    priority: 1,
    timeoutMs: 800,
    targetLatencyMs: 120,
  },
  {
    service,
    name: 'invoices',
    host: 'invoices',
    kind: 'read_your_writes',
    priority: 1,
    maxStalenessMs: 2_500,
    timeoutMs: 800,
    targetLatencyMs: 200,
  },
];

async function query(client, text) {
  const id = randomBytes(8).toString('hex');
  const sentAt = clock();
  const answer = await client.session.query(id, text, 2_000);
  const {address, name} = client;
  const answeredAt = clock();
  const request = {id, address, database: 'invoices', text, name};
  deployment.requests.push({...request, sentAt, answeredAt, answer});
}

/** Each session writes, while its route moves to another service and back. */
async function play(clients) {
  const each = task => Promise.all(clients.map(task));
  const move = service => {
    if (!isTroubled) return;
    deployment.note(`the route moves to ${service}`);
    deployment.configure({routes: routes(service)});
  };
  if (isTroubled) {
    db1.options.lagMs = LAG_MS * LAG_FACTOR;
    deployment.note(`the replicas of db1 are ${db1.options.lagMs} ms behind`);
  }
  const startedAt = clock();
  await sleep(2_700);
  await each((client, index) => query(client, `WRITE own-${index} first`));
  move('db2');
  await sleep(CHANGE_PAUSE_MS);
  await each((client, index) => query(client, `WRITE own-${index} second`));
  move('db1');
  await sleep(CHANGE_PAUSE_MS);
  for (let count = 0; count < READS; count++) {
    await each((client, index) => query(client, `READ own-${index}`));
    await sleep(50);
  }
  await sleep(startedAt + LAG_FOR_MS - clock());
  db1.options.lagMs = LAG_MS;
}

/** Successful reads whose log lacks an acknowledged commit of the session. */
function staleReads() {
  const byId = new Map(deployment.requests.map(item => [item.id, item]));
  const isSuccess = id => byId.get(id)?.answer.kind === 'success';
  return db1.reads.filter(({request, log}) => {
    const read = byId.get(request);
    if (!isSuccess(request) || read.database !== 'invoices') return false;
    return db1.commits.some(commit => {
      const write = byId.get(commit.request);
      return (
        isSuccess(commit.request) &&
        !commit.isRolledBack &&
        write.name === read.name &&
        write.answeredAt < read.sentAt &&
        !log.includes(commit)
      );
    });
  });
}

async function run() {
  try {
    await deployment.start({
      services: {
        db1: {a: 'zone-1', b: 'zone-2', c: 'zone-3'},
        db2: {d: 'zone-1', e: 'zone-2', f: 'zone-3'},
      },
      vms: {'vm-1': 'zone-2', 'vm-2': 'zone-3'},
      routes: routes('db1'),
    });
    let number = 0;
    const mixed = () => {
      number++;
      const verb = number % 3 === 0 ? 'WRITE' : 'READ';
      return `${verb} i${number % 20}${verb === 'WRITE' ? ` d${number}` : ''}`;
    };
    deployment.addClients(2, 'orders', mixed, () => 60);
    await sleep(3_000);
    const clients = [];
    for (let index = 0; index < SESSIONS; index++) {
      const {address} = deployment.gateways[index % 2];
      const session = await Session.open(address, 'invoices', KEY);
      if (!session) throw new Error('the session was refused');
      clients.push({session, address, name: `session-${index}`});
    }
    await play(clients);
    for (const {session} of clients) session.close();
  } finally {
    await deployment.stop();
  }
  const stale = staleReads();
  const verdict = [
    `STALE: ${stale.length} reads lacked an earlier commit of their session`,
  ];
  writeRecord(
    fileURLToPath(new URL('record.txt', import.meta.url)),
    deployment,
    verdict,
  );
  for (const line of verdict) console.log(line);
  return stale.length === 0;
}

process.exit(await runCase(run));
