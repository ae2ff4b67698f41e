import {randomUUID} from 'node:crypto';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {documentHashOf} from '@pistachiorill/core';
import type {MemberState} from '@pistachiorill/core';
import {SqlGroupControl} from '@pistachiorill/mysql';
import {
  HttpObjectStore,
  HttpTableService,
  NoVmReports,
  promoteDocument,
} from '@pistachiorill/store';
import {ProgramProcess} from './program_process.js';
import {findFreePorts} from './free_ports.js';
import type {Profile} from './profile.js';
import {databaseNames, memberName, renderDocument} from './render_document.js';
import type {DocumentChanges} from './render_document.js';

const PLATFORM_TIMEOUT_MS = 2_000;
const PROMOTION_TIMEOUT_MS = 10_000;
const CONTROL_TIMEOUT_MS = 2_000;
const READY_TIMEOUT_MS = 10_000;
const PRIMARY_TIMEOUT_MS = 15_000;

/** One running entry VM. */
export interface RunningVm {
  readonly name: string;
  readonly dataCentre: string;
  /** Port of the MySQL protocol. */
  readonly clientPort: number;
  /** Port of readiness, status and metrics. */
  readonly httpPort: number;
  /** Port of the connections between VMs. */
  readonly peerPort: number;
  readonly child: ProgramProcess;
}

/** The processes of one profile: the platform, the groups and the entry VMs. */
export class Fleet {
  /** Member processes, by name. */
  readonly members = new Map<string, ProgramProcess>();
  /** Addresses of members, or of the links in front of them, by member. */
  readonly addresses = new Map<string, string>();
  /** The running VMs, sorted by name after `start`. */
  readonly vms: RunningVm[] = [];
  private readonly linkProcesses: ProgramProcess[] = [];
  private readonly linkFaultPorts = new Map<string, number>();
  private readonly memberArgs = new Map<string, readonly string[]>();
  private readonly folder = mkdtempSync(join(tmpdir(), 'pistachiorill-'));
  private platform: ProgramProcess | undefined;
  platformUrl = '';
  /** The platform's address in the VMs' settings, if it is not `platformUrl`. */
  vmPlatformUrl: string | undefined;

  /**
   * `buildFolder` contains the bundled programs. With `links` set to `members`,
   * the VMs and the members connect to each member through a relay that can cut
   * the connections.
   */
  constructor(
    readonly profile: Profile,
    private readonly buildFolder: string,
    private readonly routing: 'direct' | 'owners' = 'owners',
    private readonly links: 'none' | 'members' = 'none',
  ) {}

  /** Starts all processes and waits for ready VMs and a primary in each group. */
  async start(): Promise<void> {
    const [platformPort] = await findFreePorts(1);
    this.platformUrl = `http://127.0.0.1:${platformPort}`;
    this.platform = await this.startStandin('platform', [
      'platform',
      '--port',
      String(platformPort),
    ]);
    await this.startMembers();
    await this.promote();
    await this.startVms();
    if (this.vms.length > 0) await this.waitForPrimaries();
  }

  /** Renders the operators' document of this fleet with the given changes. */
  document(changes: DocumentChanges = {}): string {
    return renderDocument(this.profile, this.addresses, changes);
  }

  /**
   * Promotes a document with the given changes to production and returns its
   * version. Does not wait until the VMs apply it.
   */
  async promote(changes: DocumentChanges = {}): Promise<number> {
    const body = this.document(changes);
    const endpoint = {
      baseUrl: this.platformUrl,
      timeoutMs: PLATFORM_TIMEOUT_MS,
    };
    const now = performance.now();
    const outcome = await promoteDocument(
      body,
      {
        environment: 'production',
        hash: documentHashOf(body),
        operationId: randomUUID(),
        actor: 'launcher',
        basedOn: 'current',
        trialCheck: 'skipped',
        writeUntil: now + PROMOTION_TIMEOUT_MS,
        waitUntil: now,
      },
      {
        table: new HttpTableService(endpoint),
        objects: new HttpObjectStore(endpoint),
        vms: new NoVmReports(),
        clock: () => performance.now(),
        delay,
      },
    );
    if (outcome.kind !== 'promoted' && outcome.kind !== 'already-in-force') {
      throw new Error(`promotion of the document failed: ${outcome.kind}`);
    }
    return outcome.version;
  }

  /** Kills all processes and removes their data. */
  async stop(): Promise<void> {
    const children = [
      ...this.vms.map(vm => vm.child),
      ...this.members.values(),
      ...this.linkProcesses,
      ...(this.platform ? [this.platform] : []),
    ];
    await Promise.all(children.map(child => child.kill()));
    rmSync(this.folder, {recursive: true, force: true});
  }

  private async startMembers(): Promise<void> {
    const {profile} = this;
    const names = databaseNames(profile).flatMap(database =>
      profile.dataCentres.map(dataCentre => memberName(database, dataCentre)),
    );
    const ports = await findFreePorts(names.length);
    await Promise.all(
      names.map(async (name, index) => {
        const port = String(ports[index]);
        this.addresses.set(name, `127.0.0.1:${port}`);
        const args = [
          'member',
          '--name',
          name,
          '--port',
          port,
          '--connection-limit',
          String(profile.connectionLimit),
          '--slots',
          String(profile.slots),
          '--connect-delay-ms',
          String(profile.connectDelayMs),
          '--statement-ms',
          String(profile.statementMs ?? 1),
          '--apply-lag-ms',
          String(profile.applyLagMs ?? 0),
          '--data-folder',
          join(this.folder, name),
        ];
        this.memberArgs.set(name, args);
        this.members.set(name, await this.startStandin(name, args));
        if (this.links === 'members') await this.startLink(name);
      }),
    );
  }

  /**
   * Cuts the connections between a member and the given VMs, and restores those
   * of all other VMs. Requires `links`.
   */
  async cutConnections(member: string, vms: readonly string[]): Promise<void> {
    const port = this.linkFaultPorts.get(member) ?? 0;
    await fetch(`http://127.0.0.1:${port}/faults`, {
      method: 'PUT',
      body: JSON.stringify({
        cutSources: vms.map(name => this.localAddressOf(name)),
      }),
    });
  }

  /**
   * The address from which a VM connects to members. It contains the number of
   * the VM, so that a link can tell the VMs apart.
   */
  private localAddressOf(vm: string): string {
    return `127.0.1.${vm.split('-').at(-1)}`;
  }

  private async startLink(member: string): Promise<void> {
    const [port = 0, faultPort = 0] = await findFreePorts(2);
    const child = await this.startStandin(`link-${member}`, [
      'link',
      '--port',
      String(port),
      '--target',
      this.addresses.get(member) ?? '',
      '--fault-port',
      String(faultPort),
    ]);
    this.linkProcesses.push(child);
    this.linkFaultPorts.set(member, faultPort);
    this.addresses.set(member, `127.0.0.1:${port}`);
  }

  /** Restarts a killed member with its stored data. */
  async restartMember(name: string): Promise<void> {
    const args = this.memberArgs.get(name) ?? [];
    this.members.set(name, await this.startStandin(name, args));
  }

  /** Restarts a stopped VM with the same ports. */
  async restartVm(name: string): Promise<void> {
    const index = this.vms.findIndex(vm => vm.name === name);
    const [vm] = this.vms.splice(index, 1);
    if (vm) await this.startVm(vm);
  }

  /** Sets the fault mode of the platform, such as `outage`; `none` ends it. */
  async setPlatformFault(mode: string): Promise<void> {
    const body = JSON.stringify({mode});
    await fetch(`${this.platformUrl}/faults`, {method: 'POST', body});
  }

  /** Waits until each group has a primary whose term all members have. */
  async waitForPrimaries(): Promise<void> {
    const until = Date.now() + PRIMARY_TIMEOUT_MS;
    for (const database of databaseNames(this.profile)) {
      while ((await this.primaryOf(database)) === undefined) {
        if (Date.now() > until) throw new Error(`${database} has no primary`);
        await new Promise(resolve => setTimeout(resolve, 50));
      }
    }
  }

  /** Returns the primary of a group if all members have the same term. */
  async primaryOf(database: string): Promise<string | undefined> {
    const names = this.profile.dataCentres.map(dataCentre =>
      memberName(database, dataCentre),
    );
    const states = await Promise.all(names.map(name => this.stateOf(name)));
    const terms = new Set(states.map(state => state?.term));
    const index = states.findIndex(state => state?.role === 'primary');
    return terms.size === 1 ? names[index] : undefined;
  }

  /** Queries the state of a member; undefined if the member does not respond. */
  async stateOf(member: string): Promise<MemberState | undefined> {
    const openControl = this.control(member);
    const state = await openControl.state();
    openControl.close();
    return state.ok ? state.value : undefined;
  }

  private control(member: string): SqlGroupControl {
    return new SqlGroupControl(
      this.addresses.get(member) ?? '',
      {user: 'control', password: 'control-password'},
      CONTROL_TIMEOUT_MS,
    );
  }

  private async startVms(): Promise<void> {
    const {profile} = this;
    const ports = await findFreePorts(profile.vmCount * 3);
    const vms = Array.from({length: profile.vmCount}, (unused, index) => {
      const dataCentre = profile.dataCentres[
        index % profile.dataCentres.length
      ] as string;
      const [clientPort = 0, httpPort = 0, peerPort = 0] = ports.slice(
        index * 3,
        index * 3 + 3,
      );
      return {
        name: `${dataCentre}-${index + 1}`,
        dataCentre,
        clientPort,
        httpPort,
        peerPort,
      };
    });
    await this.publishVmList(vms);
    await Promise.all(vms.map(vm => this.startVm(vm)));
    this.vms.sort((a, b) => (a.name < b.name ? -1 : 1));
  }

  /** Replaces the platform's VM list; VMs in `leaving` are listed as such. */
  async publishVmList(
    vms: ReadonlyArray<Omit<RunningVm, 'child'>> = this.vms,
    leaving: readonly string[] = [],
  ): Promise<void> {
    const body = vms.map(vm => ({
      vm: vm.name,
      dataCentre: vm.dataCentre,
      address: `127.0.0.1:${vm.peerPort}`,
      http: `127.0.0.1:${vm.httpPort}`,
      state: leaving.includes(vm.name) ? 'leaving' : 'live',
    }));
    await fetch(`${this.platformUrl}/vms`, {
      method: 'PUT',
      body: JSON.stringify(body),
    });
  }

  private async startVm(vm: Omit<RunningVm, 'child'>): Promise<void> {
    const settings = join(this.folder, `${vm.name}.ini`);
    writeFileSync(settings, this.renderSettings(vm));
    const [program = '', ...args] = [
      ...(this.profile.vmNodeOptions ?? []),
      join(this.buildFolder, 'pistachiorill.mjs'),
      'entry',
      '--settings',
      settings,
    ];
    const child = await ProgramProcess.start(
      vm.name,
      program,
      args,
      'entry started',
    );
    this.vms.push({...vm, child});
    await waitUntilReady(vm.httpPort);
  }

  private renderSettings(vm: Omit<RunningVm, 'child'>): string {
    return [
      '[vm]',
      `name = ${vm.name}`,
      `data_centre = ${vm.dataCentre}`,
      'environment = production',
      '[listen]',
      `clients = 127.0.0.1:${vm.clientPort}`,
      `peers = 127.0.0.1:${vm.peerPort}`,
      `http = 127.0.0.1:${vm.httpPort}`,
      '[platform]',
      `url = ${this.vmPlatformUrl ?? this.platformUrl}`,
      '[routing]',
      `mode = ${this.routing}`,
      '[backend]',
      'user = proxy',
      'password = proxy-password',
      'control_user = control',
      'control_password = control-password',
      ...(this.links === 'members'
        ? [`local_address = ${this.localAddressOf(vm.name)}`]
        : []),
      '[limits]',
      ...renderEntries(this.profile.limits),
      '[policy]',
      ...renderEntries(this.profile.policy),
    ].join('\n');
  }

  private startStandin(
    name: string,
    args: readonly string[],
  ): Promise<ProgramProcess> {
    const program = join(this.buildFolder, 'standins.mjs');
    return ProgramProcess.start(name, program, args, 'listens on');
  }
}

function renderEntries(entries: Readonly<Record<string, string>> = {}) {
  return Object.entries(entries).map(([key, value]) => `${key} = ${value}`);
}

async function waitUntilReady(httpPort: number): Promise<void> {
  const until = Date.now() + READY_TIMEOUT_MS;
  for (;;) {
    const res = await fetch(`http://127.0.0.1:${httpPort}/readyz`);
    if (res.status === 200) return;
    if (Date.now() > until) throw new Error('a VM did not become ready');
    await new Promise(resolve => setTimeout(resolve, 20));
  }
}
