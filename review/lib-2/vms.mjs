// Starts the gateway as the deploy file says: the command of the role, and the
// template of its settings filled in with the settings of a small deployment.
import {spawn} from 'node:child_process';
import {
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {get} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {sleep} from './store.mjs';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const READY_TIMEOUT_MS = 25_000;

/** The bounds and limits of the site crsa-depot. */
export const BOUNDS = {
  contactMs: 4000,
  ackMs: 5000,
  drainMs: 7000,
  graceS: 6,
  lossSlackMs: 200,
  configApplyMs: 3000,
  downgradeSlackMs: 250,
  maxStretchMs: 12000,
  quotaWindowS: 5,
  quotaOverage: 0.1,
  quotaSlack: 20,
  evacuateMs: 5000,
  enforceFencing: false,
  thawSlackMs: 300,
};
const LIMITS = {cpuShare: 0.675, cores: 1, memoryMb: 350, maxFds: 4200};

/** The processes of one case; they end with `stop`. */
export class Vms {
  constructor(record) {
    this.record = record;
    this.folder = mkdtempSync(join(tmpdir(), 'review-2-'));
    this.all = [];
  }

  /** Starts a VM in each of the zones; waits until all are ready. */
  async start(zones, {store, cloud, region = 'ga-central'}) {
    const names = [...new Set(zones)].map(zone => [zone, region]);
    for (const [index, zone] of zones.entries()) {
      const ip = `127.0.1.${index + 1}`;
      const [front, ready, peers, metrics] = await freePorts(ip, 4);
      const vm = {
        name: `front-${zone}-${index + 1}`,
        front: `${ip}:${front}`,
        ready: `${ip}:${ready}`,
      };
      const settings = render(readFile('deploy/gateway.ini'), {
        nodeName: vm.name,
        ip,
        zone,
        region,
        zones: Object.fromEntries(names),
        listen: {front: vm.front, ready: vm.ready},
        internalPorts: [peers, metrics],
        limits: LIMITS,
        bounds: BOUNDS,
        platform: {address: store},
        cloud: {address: cloud},
      });
      vm.settings = join(this.folder, `${vm.name}.ini`);
      vm.log = join(this.folder, `${vm.name}.log`);
      writeFileSync(vm.settings, settings);
      this.all.push(vm);
      this.spawn(vm);
    }
    const until = Date.now() + READY_TIMEOUT_MS;
    for (const vm of this.all) {
      while (!(await isReady(vm))) {
        if (Date.now() > until) throw new Error(`${vm.name} is not ready`);
        await sleep(50);
      }
    }
  }

  spawn(vm) {
    const run = /^run = "(.*)"$/m.exec(readFile('deploy/system.toml'))[1];
    const [program, ...words] = run.split(' ');
    const log = openSync(vm.log, 'a');
    const {PATH, HOME, LANG} = process.env;
    vm.process = spawn(program === 'node' ? process.execPath : program, words, {
      cwd: ROOT,
      env: {PATH, HOME, LANG, PISTACHIORILL_BOOT: vm.settings},
      stdio: ['ignore', log, log],
    });
    vm.exited = new Promise(resolve => vm.process.once('exit', resolve));
    vm.process.once('exit', (code, signal) => {
      this.record(`${vm.name} ended: ${signal ?? code}`);
    });
  }

  /** Ends all processes and removes their files. */
  async stop({keep = false} = {}) {
    for (const {process: child} of this.all) child.kill('SIGKILL');
    await Promise.all(this.all.map(vm => vm.exited));
    if (!keep) rmSync(this.folder, {recursive: true, force: true});
  }
}

function readFile(path) {
  return readFileSync(join(ROOT, path), 'utf8');
}

/** Fills in a template as DEPLOY.md tells, as far as the settings need it. */
function render(template, fields) {
  const find = path =>
    path.split('.').reduce((value, name) => value?.[name], fields);
  return template
    .replace(/\{\{#(\w+)\}\}(.*?)\{\{\/\1\}\}/gs, (unused, name, body) =>
      Object.entries(fields[name] ?? {})
        .map(([key, value]) =>
          body.replaceAll('{{@}}', key).replaceAll('{{.}}', value),
        )
        .join(''),
    )
    .replace(/\{\{([\w.]+)\}\}/g, (unused, path) => `${find(path) ?? ''}`);
}

async function freePorts(host, count) {
  const servers = [];
  for (let i = 0; i < count; i++) {
    const server = createServer();
    await new Promise(resolve => server.listen(0, host, resolve));
    servers.push(server);
  }
  const ports = servers.map(server => server.address().port);
  await Promise.all(
    servers.map(server => new Promise(resolve => server.close(resolve))),
  );
  return ports;
}

/** Whether the ready address answers 200. */
export function isReady({ready}) {
  return new Promise(resolve => {
    const req = get(`http://${ready}/api/ready`, {agent: false}, res => {
      res.resume();
      resolve(res.statusCode === 200);
    });
    req.setTimeout(500, () => req.destroy());
    req.on('error', () => resolve(false));
  });
}
