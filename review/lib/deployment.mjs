import {createServer} from 'node:http';
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {performance} from 'node:perf_hooks';
import {Client} from './client.mjs';
import {Gateway} from './gateways.mjs';
import {Group, Member} from './members.mjs';
import {Network} from './network.mjs';
import {Store} from './store.mjs';
import {listen, sleep} from './util.mjs';

const HEARTBEAT_MS = 1_200;
const MAX_MISSED_HEARTBEATS = 3;
const TIME_LIMIT_MS = 110_000;
export const KEY = 'key-1';
export const TENANT = 'tenant-1';

/** A small deployment: stand-ins in this process, and gateway processes. */
export class Deployment {
  gateways = [];
  clients = [];
  requests = [];
  events = [];
  #startedAt = performance.now();
  #timers = [];
  #configuration = {};
  #version = 4;

  /** Creates the services, given the options of each by its name. */
  constructor(services) {
    this.clock = () => performance.now() - this.#startedAt;
    this.network = new Network(this.clock);
    this.store = new Store(this.network, this.clock);
    this.groups = Object.entries(services).map(
      ([name, options]) => new Group(name, this.network, this.clock, options),
    );
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
  }

  get members() {
    return this.groups.flatMap(group => group.members);
  }

  group(name) {
    return this.groups.find(group => group.name === name);
  }

  /**
   * Starts members and gateways, given the zone of each by its name. The first
   * member of each service is its primary.
   */
  async start({services, vms, routes, bounds}) {
    const zones = [...new Set(Object.values(vms))];
    for (const group of this.groups) {
      for (const [id, zone] of Object.entries(services[group.name])) {
        new Member(group, id, zone, this.store);
        if (!zones.includes(zone)) zones.push(zone);
      }
      group.members[0].role = 'primary';
    }
    const orders = await listen(
      createServer((req, res) => this.#order(req, res)),
    );
    this.configure({
      routes: routes.map(route => ({priority: 1, ...route})),
      tenants: [{name: TENANT, apiKeys: [KEY], ratePerS: 2_000, burst: 2_000}],
    });
    this.#startHeartbeats();
    for (const [name, zone] of Object.entries(vms)) {
      this.network.addMachine(name, zone);
      const addresses = new Map();
      for (const member of this.members) {
        addresses.set(member.id, await member.serve(name));
      }
      const addressOf = ({table, key, value}) =>
        table === 'servers'
          ? JSON.stringify({...JSON.parse(value), address: addresses.get(key)})
          : value;
      const gateway = new Gateway({
        name,
        zone,
        zones,
        folder: this.folder,
        store: await this.store.serve(name, addressOf),
        orders,
        ports: await Gateway.freePorts(),
        clock: this.clock,
        bounds,
      });
      this.gateways.push(gateway);
      gateway.start();
    }
    for (const gateway of this.gateways) await gateway.waitUntilReady();
  }

  /** Starts a client of each VM with statements that `next` returns. */
  addClients(count, database, next, pauseMs) {
    for (const {address} of this.gateways) {
      for (let number = 0; number < count; number++) {
        const client = new Client({
          address,
          database,
          key: KEY,
          next,
          pauseMs,
          deadlineMs: 2_000,
          record: this.requests,
          clock: this.clock,
        });
        this.clients.push(client);
        void client.run();
      }
    }
  }

  /** Puts a changed configuration in force; returns when it was accepted. */
  configure(changes) {
    this.#configuration = {...this.#configuration, ...changes};
    this.#version += 3;
    const services = this.groups.map(({name, options}) => ({
      name,
      maxConns: options.maxConns,
      syncReplicas: 0,
    }));
    const configuration = {
      version: this.#version,
      services,
      limits: {txIdleMs: 3_000},
      ...this.#configuration,
    };
    this.store.write('op', 'config', JSON.stringify(configuration));
    return this.clock();
  }

  get configuration() {
    return this.#configuration;
  }

  note(text) {
    this.events.push({at: this.clock(), text});
  }

  /** Waits until a condition holds; throws after the time limit. */
  async until(what, condition, timeoutMs) {
    const end = this.clock() + timeoutMs;
    while (!condition()) {
      if (this.clock() > end) throw new Error(`not seen in time: ${what}`);
      await sleep(5);
    }
  }

  async stop() {
    for (const client of this.clients) client.stop();
    for (const timer of this.#timers) clearInterval(timer);
    await Promise.all(this.gateways.map(gateway => gateway.end()));
    if (!process.env.KEEP) rmSync(this.folder, {recursive: true, force: true});
  }

  #startHeartbeats() {
    const beat = () => {
      for (const member of this.members) {
        member.report();
        const silentMs = this.clock() - member.reportedAt;
        if (silentMs < MAX_MISSED_HEARTBEATS * HEARTBEAT_MS) continue;
        if (member.isListed) this.store.write('servers', member.id, undefined);
        member.isListed = false;
      }
    };
    beat();
    this.#timers.push(setInterval(beat, HEARTBEAT_MS));
    // A member that reaches the store again reports at once.
    this.network.onChange(() => {
      for (const member of this.members) {
        if (!member.isListed) member.report();
      }
    });
  }

  async #order(req, res) {
    const chunks = [];
    for await (const chunk of req) chunks.push(chunk);
    const {service, id} = JSON.parse(Buffer.concat(chunks).toString());
    const holder = req.headers['lease-holder'];
    const fence = Number(req.headers['fencing-token']);
    const status = this.group(service)?.promote(id, {holder, fence}) ?? 404;
    this.note(`${holder} orders ${id} with fence ${fence}: ${status}`);
    this.onOrder?.({holder, service, id, fence, status});
    res.writeHead(status, {'content-type': 'application/json'});
    res.end('{}');
  }
}

/** Runs a case within the time limit; returns the exit status. */
export async function runCase(run) {
  const giveUp = () => {
    Gateway.killAll();
    process.exit(2);
  };
  setTimeout(giveUp, TIME_LIMIT_MS).unref();
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) {
    process.on(signal, giveUp);
  }
  try {
    return (await run()) ? 0 : 1;
  } catch (err) {
    console.error(err);
    return 2;
  }
}
