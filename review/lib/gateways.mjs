import {spawn} from 'node:child_process';
import {closeSync, openSync, readFileSync, writeFileSync} from 'node:fs';
import {get} from 'node:http';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {HOST, freePorts, sleep} from './util.mjs';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));
const READY_WAIT_MS = 25_000;
const RESTART_MS = 300;

/** All processes that were started. */
const children = new Set();

/** A gateway process, started with the command of the deploy file. */
export class Gateway {
  #child;
  #state = 'stopped';

  constructor({
    name,
    zone,
    zones,
    folder,
    store,
    orders,
    ports,
    clock,
    bounds,
  }) {
    this.name = name;
    this.zone = zone;
    this.ports = ports;
    this.clock = clock;
    /** When and how the process ended without a signal from here. */
    this.exits = [];
    this.logPath = join(folder, `${name}.log`);
    this.settingsPath = join(folder, `${name}.ini`);
    const template = readFileSync(join(ROOT, 'deploy/gateway.ini'), 'utf8');
    const fields = {
      nodeName: name,
      zone,
      region: 'region',
      zones: Object.fromEntries(zones.map(item => [item, 'region'])),
      ip: HOST,
      listen: {
        front: `${HOST}:${ports.front}`,
        ready: `${HOST}:${ports.ready}`,
      },
      internalPorts: [ports.peers, ports.metrics],
      platform: {address: store},
      cloud: {address: orders},
      bounds: {graceS: 6, configApplyMs: 3_000, ...bounds},
    };
    writeFileSync(this.settingsPath, render(template, fields));
  }

  /** Ends all processes at once. */
  static killAll() {
    for (const child of children) child.kill('SIGKILL');
  }

  static async freePorts() {
    const [front, ready, peers, metrics] = await freePorts(4);
    return {front, ready, peers, metrics};
  }

  get address() {
    return `${HOST}:${this.ports.front}`;
  }

  get log() {
    return readFileSync(this.logPath, 'utf8');
  }

  start() {
    this.#state = 'running';
    const [program, ...args] = deployCommand();
    const log = openSync(this.logPath, 'a');
    const {PATH, HOME, LANG} = process.env;
    this.#child = spawn(program === 'node' ? process.execPath : program, args, {
      cwd: ROOT,
      stdio: ['ignore', log, log],
      env: {PATH, HOME, LANG, PISTACHIORILL_BOOT: this.settingsPath},
    });
    closeSync(log);
    children.add(this.#child);
    this.#child.once('exit', (code, signal) => {
      if (this.#state !== 'running') return;
      this.exits.push({at: this.clock(), reason: `${signal ?? code}`});
      setTimeout(() => {
        if (this.#state === 'running') this.start();
      }, RESTART_MS);
    });
  }

  signal(name) {
    this.#child?.kill(name);
  }

  async end() {
    const child = this.#child;
    this.#state = 'stopped';
    if (!child || child.exitCode !== null || child.signalCode !== null) return;
    const exited = new Promise(resolve => child.once('exit', resolve));
    child.kill('SIGCONT');
    child.kill('SIGKILL');
    await exited;
  }

  async waitUntilReady() {
    const until = Date.now() + READY_WAIT_MS;
    while (!(await this.#isReady())) {
      if (Date.now() > until) throw new Error(`${this.name} is not ready`);
      await sleep(50);
    }
  }

  #isReady() {
    const {ready: port} = this.ports;
    return new Promise(resolve => {
      const req = get({host: HOST, port, path: '/api/ready'}, res => {
        res.resume();
        resolve(res.statusCode === 200);
      });
      req.on('error', () => resolve(false));
    });
  }
}

/** The words of the first `run` line of the deploy file. */
function deployCommand() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const run = /^run = "(.*)"$/m.exec(text);
  return run[1].split(' ');
}

/** Fills in the placeholders and sections that the template uses. */
function render(template, fields) {
  const valueOf = (path, scope) =>
    path.split('.').reduce((value, key) => value?.[key], scope) ?? '';
  return template
    .replace(/\{\{#(\w+)\}\}([\s\S]*?)\{\{\/\1\}\}/g, (all, name, body) =>
      Object.entries(fields[name])
        .map(([key, value]) =>
          body.replace('{{@}}', key).replace('{{.}}', value),
        )
        .join(''),
    )
    .replace(/\{\{([\w.]+)\}\}/g, (all, path) => valueOf(path, fields));
}
