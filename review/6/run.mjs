// Case 6: the store does not answer the write that returns a group to its
// primary and does it later; the coordinator promotes another member meanwhile.
import {performance} from 'node:perf_hooks';
import {Session, newId} from '../lib-2/client.mjs';
import {hasTrouble, record, runCase, sinceStart} from '../lib-2/case.mjs';
import {Group} from '../lib-2/group.mjs';
import {Store, sleep, valueOf} from '../lib-2/store.mjs';
import {BOUNDS, Vms} from '../lib-2/vms.mjs';

const HOST = '127.0.0.1';
const SERVICE = 'wash1';
const DATABASE = 'ledger1';
const KEY = 'key-grower-1';
const ZONES = ['macon-a', 'perry-b', 'warner-c'];
const VM_ZONES = ['macon-a', 'macon-a', 'perry-b', 'warner-c', 'warner-c'];
const PROMOTE_MS = 1_000;
/** The primary is back this long after the change of it was announced. */
const BACK_AFTER_MS = 600;
/** The pages have a primary that is dark for 7 s. */
const MAX_DARK_MS = 7_000;
/** How much later the store does an unanswered write; the pages have 1 to 6 s. */
const LATE_MS = 1_700;
const CLIENTS = 20;
const PAUSE_MS = 60;
/** How long the run goes on after the primary is back. */
const REST_MS = 9_000;
/** The requests of this time around the disruption are recorded. */
const RECORDED_BEFORE_MS = 200;
const RECORDED_MS = 6_500;

const store = new Store(record);
const group = new Group(SERVICE, store, record, {
  promoteMs: PROMOTE_MS,
  zones: ZONES,
});
const vms = new Vms(record);
const requests = [];
let isRunning = true;
let onAnnouncement = () => undefined;

/** Writes the operator's configuration. */
function configure() {
  const database = {
    name: DATABASE,
    host: DATABASE,
    service: SERVICE,
    kind: 'primary',
    timeoutMs: 800,
    targetLatencyMs: 120,
    priority: 1,
  };
  store.put('op', 'config', {
    version: 3,
    routes: [database],
    services: [
      {name: SERVICE, maxConns: 16 * VM_ZONES.length, syncReplicas: 0},
    ],
    tenants: [{name: 'grower', apiKeys: [KEY], ratePerS: 2000, burst: 2000}],
    limits: {txIdleMs: 3000},
  });
}

/** One client: a session with single writes, and a new one after a close. */
async function writeAll(number) {
  const {front, name} = vms.all[number % vms.all.length];
  while (isRunning) {
    const session = await Session.open(front, DATABASE, KEY);
    while (session?.isOpen && isRunning) {
      const id = newId();
      const sentAt = performance.now();
      const answer = await session.query(id, `WRITE item${number} data-${id}`);
      requests.push({id, vm: name, sentAt, answer});
      await sleep(PAUSE_MS);
    }
    await sleep(PAUSE_MS);
  }
}

/**
 * From the darkness of the primary on, the store loses the answers of two
 * writes: of the first that announces the change, and of the one that records
 * the former primary again. Like all that it does late, each is done only if its
 * condition still holds.
 */
function loseAnswers() {
  const lost = {announcement: 0, 'return to the primary': 0};
  let isChanging = false;
  store.fault = tx => {
    const change = valueOf(tx, `leadership/${SERVICE}`);
    if (!change) return undefined;
    record(`store: gets ${JSON.stringify(change)}`);
    let name;
    const [former] = group.members;
    if (change.phase === 'moving' && !isChanging) {
      name = 'announcement';
      isChanging = true;
      onAnnouncement();
    } else if (change.primary === former.id) name = 'return to the primary';
    if (!name || lost[name] > 0) return undefined;
    lost[name]++;
    return {name: `the ${name}`, lateMs: LATE_MS};
  };
}

function acknowledged() {
  return requests.filter(({answer}) => answer.kind === 'done');
}

/** Records what was sent, run and answered around the change. */
function recordRequests(from, to) {
  const commits = new Map(group.commits.map(commit => [commit.id, commit]));
  for (const {id, vm, sentAt, answer} of requests) {
    if (sentAt < from || sentAt > to) continue;
    const commit = commits.get(id);
    const run = commit
      ? `committed at ${commit.member} as ${commit.term}.${commit.number} ` +
        `at ${sinceStart(commit.at)}`
      : 'not committed';
    record(
      `${id} sent to ${vm} at ${sinceStart(sentAt)}, ${run}, ` +
        `answered ${answer.kind} ${answer.signature ?? answer.code ?? ''} ` +
        `at ${sinceStart(answer.at)}`,
    );
  }
}

/** ONE: a commit at the old primary after a promote, acknowledged. */
function violations() {
  const answers = new Map(acknowledged().map(item => [item.id, item]));
  return group.promotions.flatMap(promotion =>
    group.commits
      .filter(
        commit => commit.at > promotion.at && commit.term < promotion.term,
      )
      .flatMap(({id, member, at}) => {
        const answer = answers.get(id);
        if (!answer) return [];
        return [
          `ONE: write ${id} committed at ${member} at ${sinceStart(at)} ms and ` +
            `acknowledged by ${answer.vm} at ${sinceStart(answer.answer.at)} ms; ` +
            `${promotion.member} leads since ${sinceStart(promotion.at)} ms`,
        ];
      }),
  );
}

async function play() {
  await store.listen(HOST);
  await group.listen(HOST);
  configure();
  await vms.start(VM_ZONES, {store: store.address, cloud: group.cloudAddress});
  record(`${VM_ZONES.length} VMs are ready; primary ${group.primary.id}`);
  const clients = Array.from({length: CLIENTS}, (unused, i) => writeAll(i));
  // All machines are in touch, and the store is stable, for `contactMs`.
  await sleep(BOUNDS.contactMs + 1_000);
  const [former] = group.members;
  record(`${acknowledged().length} writes acknowledged so far`);
  if (acknowledged().length === 0) throw new Error('no write was served');
  const troubleAt = performance.now();
  if (hasTrouble) {
    loseAnswers();
    record(`${former.id} goes dark; ${store.writeCalls} writing calls so far`);
    const announced = new Promise(resolve => {
      onAnnouncement = resolve;
    });
    former.goDark();
    await Promise.race([
      announced.then(() => sleep(BACK_AFTER_MS)),
      sleep(MAX_DARK_MS),
    ]);
    former.comeBack();
    record(`${former.id} is back`);
  }
  await sleep(REST_MS);
  isRunning = false;
  await Promise.all(clients);
  const lost = acknowledged().filter(
    ({id}) => !group.primary.log.some(entry => entry.id === id),
  );
  record(`${acknowledged().length} writes acknowledged in all`);
  record(`${lost.length} of these are not in the log of ${group.primary.id}`);
  for (const {member, term, at} of group.promotions) {
    record(`promotion: ${member} term ${term} at ${sinceStart(at)} ms`);
  }
  recordRequests(troubleAt - RECORDED_BEFORE_MS, troubleAt + RECORDED_MS);
  return violations();
}

async function end() {
  await vms.stop({keep: process.env.KEEP === '1'});
  if (process.env.KEEP === '1') console.log(vms.folder);
  group.close();
  store.close();
}

await runCase(new URL('./', import.meta.url), play, end);
