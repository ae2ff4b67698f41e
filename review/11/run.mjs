/**
 * The platform's store is down for some seconds, in which a replica receives
 * nothing and a machine is stopped and started again. The members' entries expire
 * and are back 1.2 s after the store. With TROUBLE=0 only the machine is stopped
 * and started again.
 */
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {Client} from '../lib-3/client.mjs';
import {Platform} from '../lib-3/platform.mjs';
import {runCase, sleep} from '../lib-3/record.mjs';

const KEY = 'key-1';
const SESSIONS = 4;
/** The store is down for this long. */
const STORE_DOWN_MS = 4_500;
/** When a machine is stopped, after the store went down. */
const STOP_AT_MS = 1_000;
/** When a replica begins to receive nothing, and for how long. */
const DEAF_AT_MS = 2_800;
const DEAF_MS = 6_500;
/** Most entries are back this long after the store; about 2 s are allowed. */
const BACK_MS = 1_200;

await runCase(dirname(fileURLToPath(import.meta.url)), async context => {
  const {record, trouble, use} = context;
  const platform = use(
    new Platform({
      zones: {shilin: 'tw-north', wanhua: 'tw-north', neihu: 'tw-north'},
    }),
  );
  await platform.start();
  const group = await platform.addGroup('labeldb', {syncReplicas: 1});
  platform.config.routes.push({
    name: 'booking',
    host: 'booking-db',
    service: 'labeldb',
    kind: 'primary',
    timeoutMs: 800,
    targetLatencyMs: 120,
    priority: 1,
  });
  platform.config.tenants.push({
    name: 'stalls',
    apiKeys: [KEY],
    ratePerS: 400,
    burst: 400,
  });
  platform.configure();
  const vms = [];
  for (const zone of Object.keys(platform.zones)) {
    vms.push(await platform.addVm(`front-${zone}-1`, zone));
  }
  for (const vm of vms) vm.start();
  for (const vm of vms) {
    if (!(await vm.untilReady(20_000))) {
      record.note(`${vm.name} does not get ready`);
      return 2;
    }
  }

  // Sessions that write all the time.
  let phase = 'writing';
  let number = 0;
  const writes = [];
  const write = async index => {
    for (let i = index; phase === 'writing'; i++) {
      const vm = vms[i % vms.length];
      const client = await Client.open(vm.address, 'booking-db', KEY);
      if (!client) {
        await sleep(50);
        continue;
      }
      for (let j = 0; j < 20 && !client.closed && phase === 'writing'; j++) {
        const id = (++number).toString(16).padStart(16, '0');
        const answer = await client.query(id, `WRITE i${number} d${id}`);
        const at = platform.clock();
        writes.push({id, answer, at, vm: vm.name});
        await sleep(30);
      }
      client.close();
    }
  };
  const sessions = Array.from({length: SESSIONS}, (_, index) => write(index));
  await sleep(3_000);

  const primary = group.leader;
  const [holder, deaf] = group.members.filter(item => item !== primary);
  const startedAt = Date.now();
  const until = ms => sleep(Math.max(0, startedAt + ms - Date.now()));
  const storeDown = async () => {
    platform.setStore('down');
    record.note('the store is down');
    await until(STORE_DOWN_MS);
    platform.setStore('up', {[primary.id]: BACK_MS, [holder.id]: BACK_MS});
    record.note(`the store is back; the entry of ${deaf.id} at once`);
    await until(STORE_DOWN_MS + BACK_MS);
    record.note(`the entries of ${primary.id} and ${holder.id} are back`);
  };
  const receiveNothing = async () => {
    await until(DEAF_AT_MS);
    deaf.hears = false;
    record.note(`${deaf.id} receives nothing`);
    await until(DEAF_AT_MS + DEAF_MS);
    deaf.hears = true;
    group.replicate();
    record.note(`${deaf.id} receives again`);
  };
  const restart = async () => {
    await until(STOP_AT_MS);
    await vms[0].end('SIGTERM');
    vms[0].start();
    record.note(`${vms[0].name} was stopped and starts again`);
  };
  await Promise.all([
    restart(),
    until(16_000),
    ...(trouble ? [storeDown(), receiveNothing()] : []),
  ]);
  phase = 'ended';
  await Promise.all(sessions);

  // What was acknowledged before a promotion and isn't in its log.
  const entries = new Map(group.commits.map(entry => [entry.id, entry]));
  const done = writes.filter(({answer}) => answer.kind === 'done');
  let lost = 0;
  for (const {id, answer, at, vm} of writes) {
    const entry = entries.get(id);
    const promotion = group.promotions.find(
      item => at < item.at && !item.log.has(entry),
    );
    const isLost = answer.kind === 'done' && promotion !== undefined;
    if (isLost) lost++;
    const position = entry ? `${entry.term}.${entry.number}` : 'no commit';
    const text = isLost ? `, not in the log of ${promotion.member}` : '';
    const outcome = answer.kind === 'error' ? answer.code : answer.kind;
    record.note(`${id} WRITE through ${vm}: ${outcome}, ${position}${text}`);
  }
  for (const {member, term, log} of group.promotions) {
    record.note(`${member} led term ${term} with ${log.size} commits`);
  }
  for (const {id, log} of group.members) {
    record.note(`${id}: ${log.length} commits in its log`);
  }
  for (const vm of vms) {
    record.note(`${vm.name}: ${vm.starts} starts, ${vm.ownEnds.length} ends`);
  }
  record.note(
    `${writes.length} writes, ${done.length} acknowledged, ` +
      `${group.promotions.length} promotions, ${lost} acknowledged and lost`,
  );
  if (done.length === 0) return 2;
  return lost > 0 ? 1 : 0;
});
