import {spawn} from 'node:child_process';
import {closeSync, openSync, readFileSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {join} from 'node:path';

export const HOST = '127.0.0.1';

/** The ports that the system gives to outgoing connections are above these. */
const FIRST_PORT = 20_000;
const PORTS = 10_000;
const reserved = new Set();

function isFree(port) {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, HOST, () => server.close(() => resolve(true)));
  });
}

/** Finds a free loopback port. */
export async function freePort() {
  for (;;) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORTS);
    if (reserved.has(port) || !(await isFree(port))) continue;
    reserved.add(port);
    return port;
  }
}

/** Listens on a free loopback port and returns `host:port`. */
export function listen(server) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, HOST, () => resolve(`${HOST}:${server.address().port}`));
  });
}

/** The command that starts a VM, from the deploy file. */
export function deployedCommand(repository) {
  const text = readFileSync(join(repository, 'deploy/system.toml'), 'utf8');
  const run = /^run = "(.*)"$/m.exec(text)?.[1];
  const template = /^template = "(.*)"$/m.exec(text)?.[1];
  if (!run || !template) throw new Error('deploy/system.toml not understood');
  return {words: run.split(' '), template: join(repository, template)};
}

function lookUp(fields, path) {
  return path
    .split('.')
    .reduce((value, name) => (value == null ? value : value[name]), fields);
}

/** Fills in the template of the settings as DEPLOY.md tells. */
export function render(text, fields) {
  const sections = text.replace(
    /\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g,
    (whole, name, body) => {
      const value = lookUp(fields, name);
      if (value === undefined || value === false) return '';
      return Object.entries(value)
        .map(([key, item]) =>
          body.replaceAll('{{@}}', key).replaceAll('{{.}}', String(item)),
        )
        .join('');
    },
  );
  return sections.replace(/\{\{([\w.]+)\}\}/g, (whole, path) => {
    const value = lookUp(fields, path);
    return value == null ? '' : String(value);
  });
}

/** One gateway process, started with the command of the deploy file. */
export class Vm {
  constructor(name, zone, folder, repository) {
    this.name = name;
    this.zone = zone;
    this.folder = folder;
    this.repository = repository;
    this.logPath = join(folder, `${name}.log`);
    /** How processes ended that nobody had ended, with the time. */
    this.ownEnds = [];
    this.restarts = true;
    this.starts = 0;
  }

  async prepare({zones, storeAddress, cloudAddress, bounds, limits}) {
    this.callers = await freePort();
    this.ready = await freePort();
    this.peers = await freePort();
    this.metrics = await freePort();
    this.address = `${HOST}:${this.callers}`;
    const {words, template} = deployedCommand(this.repository);
    this.words = words;
    this.settings = join(this.folder, `${this.name}.ini`);
    writeFileSync(
      this.settings,
      render(readFileSync(template, 'utf8'), {
        nodeName: this.name,
        zone: this.zone,
        region: Object.values(zones)[0],
        zones,
        ip: HOST,
        limits,
        listen: {
          front: this.address,
          ready: `${HOST}:${this.ready}`,
        },
        internalPorts: [this.peers, this.metrics],
        platform: {address: storeAddress},
        cloud: {address: cloudAddress},
        bounds,
      }),
    );
  }

  get isRunning() {
    const {child} = this;
    return child && child.exitCode === null && child.signalCode === null;
  }

  start() {
    this.starts++;
    const log = openSync(this.logPath, 'a');
    const [program, ...rest] = this.words;
    const child = spawn(program === 'node' ? process.execPath : program, rest, {
      cwd: this.repository,
      stdio: ['ignore', log, log],
      env: {PATH: process.env.PATH, PISTACHIORILL_BOOT: this.settings},
    });
    closeSync(log);
    this.child = child;
    this.expectsEnd = false;
    child.once('exit', (code, signal) => {
      if (child !== this.child || this.expectsEnd) return;
      this.ownEnds.push({code, signal, at: Date.now()});
      // The platform starts it again after a short delay.
      if (this.restarts) setTimeout(() => this.restarts && this.start(), 500);
    });
  }

  signal(name) {
    if (this.isRunning) this.child.kill(name);
  }

  /** Ends the process and waits for its exit. */
  async end(name = 'SIGKILL') {
    const {child} = this;
    if (!this.isRunning) return;
    this.expectsEnd = true;
    const exited = new Promise(resolve => child.once('exit', resolve));
    child.kill(name);
    if (name === 'SIGKILL') child.kill('SIGCONT');
    await exited;
  }

  /** Whether the readiness probe answers 200. */
  async isReady() {
    try {
      const url = `http://${HOST}:${this.ready}/api/ready`;
      const res = await fetch(url, {signal: AbortSignal.timeout(500)});
      return res.status === 200;
    } catch {
      return false;
    }
  }

  async untilReady(ms) {
    const until = Date.now() + ms;
    while (Date.now() < until) {
      if (await this.isReady()) return true;
      await new Promise(resolve => setTimeout(resolve, 50));
    }
    return false;
  }
}
