import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {ok} from '@pistachiorill/core';
import {sleep} from '@pistachiorill/tasks';
import {GatewayDaemon} from '../daemon/gateway_daemon.js';
import {checkGatewaySettings} from '../daemon/gateway_settings.js';
import type {GatewaySettings} from '../daemon/gateway_settings.js';
import {CallerServer} from '../ports/caller_link.js';
import {ConfigurationSource} from '../ports/configuration_source.js';
import type {OperatorState} from '../ports/configuration_source.js';
import type {ListedMember} from '../ports/member_directory.js';
import {PrimaryPromoter} from '../ports/primary_promoter.js';
import type {PromotionRequest} from '../ports/primary_promoter.js';
import {ReadinessEndpoint} from '../ports/readiness_endpoint.js';
import {UsageReporter} from '../ports/usage_reporter.js';
import {FakeDirectory} from './fake_directory.js';
import {silentLogger} from './fake_group.js';
import {FakeLinkFactory} from './fake_member.js';
import {FakeStore} from './fake_store.js';

const ANY_PORT = '127.0.0.1:0';
/** Newer than the registration of the VM in the fake store. */
const STATE_REVISION = 1_000;

class NoCallers extends CallerServer {
  override async listen() {}
  override async close() {}
}

class NoReadiness extends ReadinessEndpoint {
  override listen(): void {}
  override close(): void {}
}

class NoUsageReports extends UsageReporter {
  override async send() {
    return ok(undefined);
  }
}

/** Always has the same state. */
class FakeSource extends ConfigurationSource {
  constructor(private readonly state: OperatorState) {
    super();
  }

  override async read() {
    return ok(this.state);
  }

  override async next(waitMs: number) {
    await sleep(waitMs);
    return ok(this.state);
  }

  override decode(): OperatorState {
    return this.state;
  }
}

/** Promotes fake members to the next term, and records the orders. */
class FakeOrders extends PrimaryPromoter {
  readonly received: string[] = [];

  constructor(private readonly links: FakeLinkFactory) {
    super();
  }

  override async promote({member}: PromotionRequest) {
    this.received.push(member);
    const {members} = this.links;
    const term = Math.max(...[...members.values()].map(item => item.term)) + 1;
    const promoted = members.get(member);
    if (promoted) Object.assign(promoted, {role: 'primary', term});
    return ok(undefined);
  }
}

/** VMs are registered by the address of their peers' server, so it is known. */
async function findFreeAddress(): Promise<string> {
  const server = createServer();
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  await new Promise(resolve => {
    server.close(resolve);
  });
  return `127.0.0.1:${port}`;
}

/** Returns the settings of `vm-a`, which listens for its peers at an address. */
export function settingsOf(peers: string): GatewaySettings {
  const settings = checkGatewaySettings({
    vm: {name: 'vm-a', data_centre: 'macon'},
    listen: {callers: ANY_PORT, readiness: ANY_PORT, peers, metrics: ANY_PORT},
    store: {address: 'store:1'},
  });
  if (!settings.ok) throw new Error(settings.err.join());
  return settings.value;
}

/** Returns the state of operators who configured the group `wash`. */
export function operatorStateOf(synchronousReplicas: number): OperatorState {
  const group = {
    name: 'wash',
    connectionLimit: 8,
    synchronousReplicas,
    warmupPerSecond: 0,
  };
  return {
    configuration: {
      version: 1,
      routes: new Map(),
      groups: new Map([[group.name, group]]),
      workspaces: new Map(),
      keys: new Map(),
      transactionIdleMs: 3_000,
    },
    dataCentresOut: new Set(),
    encoded: '{}',
    revision: STATE_REVISION,
  };
}

/**
 * Creates the daemon of `vm-a` without starting it. The store records `a` as the
 * primary of the group `wash`; its members are `a`, `b` and `c`, of which those in
 * `listed` have an entry in the directory.
 */
export async function newFakeDaemon(
  listed: readonly ListedMember[],
  synchronousReplicas = 0,
) {
  const links = new FakeLinkFactory();
  for (const name of ['a', 'b', 'c']) links.add(name);
  Object.assign(links.members.get('a') ?? {}, {role: 'primary'});
  const store = new FakeStore(() => performance.now());
  store.put('leadership/wash', {phase: 'settled', primary: 'a', term: 1});
  const directory = new FakeDirectory(listed);
  const orders = new FakeOrders(links);
  const settings = settingsOf(await findFreeAddress());
  const ports = {
    callers: new NoCallers(),
    links,
    source: new FakeSource(operatorStateOf(synchronousReplicas)),
    directory,
    orders,
    store,
    usageReporter: new NoUsageReports(),
    readiness: new NoReadiness(),
  };
  const daemon = new GatewayDaemon(settings, () => ports, silentLogger());
  const record = (): unknown =>
    JSON.parse(store.rows.get('leadership/wash')?.value ?? '{}');
  return {daemon, store, directory, links, orders: orders.received, record};
}
