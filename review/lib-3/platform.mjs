import {mkdtempSync, rmSync} from 'node:fs';
import {createServer} from 'node:http';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {Group} from './group.mjs';
import {Rows, StoreFront} from './store.mjs';
import {Vm, listen} from './vm.mjs';

const HEARTBEAT_MS = 1_200;
const REPOSITORY = join(dirname(fileURLToPath(import.meta.url)), '../..');

/** The bounds of a small site. */
const BOUNDS = {graceS: 6, configApplyMs: 3_000};
const LIMITS = {cpuShare: 0.675, cores: 1, memoryMb: 350, maxFds: 4_300};

/** The platform of a small deployment, and its VMs. */
export class Platform {
  constructor({zones}) {
    this.zones = zones;
    this.clock = () => performance.now();
    this.rows = new Rows();
    this.groups = [];
    this.vms = [];
    this.orders = [];
    /** Whether the store is up; members then keep their entries. */
    this.store = 'up';
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    this.version = 7;
    this.config = {
      routes: [],
      services: [],
      tenants: [],
      limits: {txIdleMs: 3_000},
    };
  }

  async start() {
    this.cloud = createServer((req, res) => this.order(req, res));
    this.cloudAddress = await listen(this.cloud);
  }

  async order(req, res) {
    const chunks = [];
    for await (const chunk of req) chunks.push(chunk);
    const {service, id} = JSON.parse(Buffer.concat(chunks).toString());
    const order = {
      at: this.clock(),
      service,
      id,
      holder: req.headers['lease-holder'],
      token: Number(req.headers['fencing-token']),
    };
    this.orders.push(order);
    const group = this.groups.find(item => item.name === service);
    order.status = group ? group.order(id) : 409;
    res.writeHead(order.status).end();
  }

  async addGroup(name, options, zones = Object.keys(this.zones)) {
    const group = new Group(name, {clock: this.clock, ...options});
    this.groups.push(group);
    for (const [index, zone] of zones.entries()) {
      const member = await group.add(`i-${name}-${index}`, zone);
      this.beat(member);
    }
    this.config.services.push({
      name,
      maxConns: group.maxConns,
      syncReplicas: group.syncReplicas,
    });
    return group;
  }

  /** Writes a member's entry now and at each heartbeat while it runs. */
  beat(member) {
    let role = member.role;
    let wrote = -Infinity;
    const step = () => {
      const now = performance.now();
      const isDue = now - wrote >= HEARTBEAT_MS || role !== member.role;
      const reaches = this.store === 'up' && now >= (member.backAt ?? 0);
      if (member.power === 'on' && reaches && isDue) {
        role = member.role;
        wrote = now;
        this.rows.put('servers', member.id, member.entry());
      } else if (now - wrote > 3 * HEARTBEAT_MS) {
        // Its entry expires, also while the store is down.
        if (this.rows.get('servers', member.id)) {
          this.rows.remove('servers', member.id);
        }
      }
    };
    step();
    this.timers ??= [];
    this.timers.push(setInterval(step, 20));
  }

  /**
   * Takes the store down for all, or brings it back. Members write their entries
   * again some time after it is back, given by id.
   */
  setStore(state, backMs = {}) {
    this.store = state;
    const now = performance.now();
    for (const {members} of this.groups) {
      for (const item of members) item.backAt = now + (backMs[item.id] ?? 0);
    }
    for (const vm of this.vms) vm.store.mode = state === 'up' ? 'ok' : 'reset';
  }

  /** Writes the configuration as the next version. */
  configure() {
    this.version += 4;
    this.rows.put('op', 'config', {version: this.version, ...this.config});
  }

  async addVm(name, zone) {
    const vm = new Vm(name, zone, this.folder, REPOSITORY);
    vm.store = new StoreFront(this.rows, row => this.viewFor(vm, row));
    vm.paths = new Map();
    const storeAddress = await listen(vm.store.server);
    await vm.prepare({
      zones: this.zones,
      storeAddress,
      cloudAddress: this.cloudAddress,
      bounds: BOUNDS,
      limits: LIMITS,
    });
    this.vms.push(vm);
    return vm;
  }

  /** A machine may reach members by paths of its own. */
  viewFor(vm, row) {
    if (row.table !== 'servers' || row.removed) return row;
    const path = vm.paths.get(row.key);
    if (!path) return row;
    const entry = JSON.parse(Buffer.from(row.value, 'base64').toString());
    const value = Buffer.from(JSON.stringify({...entry, address: path}));
    return {...row, value: value.toString('base64')};
  }

  async end() {
    for (const vm of this.vms) vm.restarts = false;
    await Promise.all(this.vms.map(vm => vm.end()));
    for (const timer of this.timers ?? []) clearInterval(timer);
    rmSync(this.folder, {recursive: true, force: true});
  }
}
