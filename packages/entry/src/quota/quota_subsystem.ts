import {Random} from '@pistachiorill/core';
import type {
  AuthorityEvent,
  Configuration,
  Lifecycle,
  LoanGrant,
  LoanRequest,
  PeerRecord,
} from '@pistachiorill/core';
import type {LedgerResponse, LedgerRequest} from '@pistachiorill/peers';
import type {Row, TableService} from '@pistachiorill/store';
import {ask} from '@pistachiorill/tasks';
import type {Clock} from '@pistachiorill/tasks';
import type {Logger} from '@pistachiorill/telemetry';
import type {MembershipView} from '../membership/membership_view.js';
import {PeerClientCache} from '../peers/peer_client_cache.js';
import {AdmitFilter} from './admit_filter.js';
import {LedgerTask} from './ledger_task.js';
import type {AuditLedgerChange} from './ledger_task.js';
import {FleetLedgerPeers} from './fleet_ledger_peers.js';
import {QuotaTask} from './quota_task.js';

/** A lender that does not answer in this time counts as unreachable. */
const LOAN_TIMEOUT_MS = 100;

/** The collaborators of the quota subsystem. */
export interface QuotaSubsystemDependencies {
  readonly self: PeerRecord;
  /** The key of the ledger row. */
  readonly ledgerKey: string;
  readonly table: TableService;
  /** Passes an authority event to the membership task. */
  readonly updateAuthority: (event: AuthorityEvent) => void;
  /** Whether this VM has running work that needs the share. */
  readonly activity: () => 'idle' | 'busy';
  readonly record: AuditLedgerChange;
  readonly clock: Clock;
  readonly log: Logger;
}

/** Wires the tasks that enforce the rate limits of the workspaces. */
export class QuotaSubsystem {
  /** The rate limit filter for the statement pipeline. */
  readonly filter: AdmitFilter;
  private readonly quota: QuotaTask;
  private readonly ledger: LedgerTask;
  private readonly ledgerPeers: FleetLedgerPeers;
  private readonly clients = new PeerClientCache();
  /** The peer addresses of the VMs that are alive, by instance. */
  private addresses: ReadonlyMap<string, string> = new Map();
  private reportedLedgerVersion = 0;
  /** The applied ledger row, served to peers that cannot read the store. */
  private row: Row | undefined;
  private serveUnconfirmed = false;

  constructor(private readonly deps: QuotaSubsystemDependencies) {
    const {self, table, clock, log, updateAuthority} = deps;
    this.quota = new QuotaTask({
      self: self.instance,
      sendLoanRequest: (instance, req) => this.sendLoanRequest(instance, req),
      random: new Random(Date.now() | 0),
      clock,
      onFault: err =>
        log.error({event: 'quota.failed', err}, 'quota task failed'),
    });
    this.ledgerPeers = new FleetLedgerPeers(
      deps.ledgerKey,
      new Random(Date.now() | 0),
    );
    this.ledger = new LedgerTask({
      self,
      key: deps.ledgerKey,
      table,
      quota: this.quota,
      peers: this.ledgerPeers,
      activity: deps.activity,
      record: deps.record,
      onApplied: (members, row) => {
        this.row = row;
        updateAuthority({kind: 'applied', versions: {ledger: members.version}});
        updateAuthority({kind: 'ledger-members', members});
      },
      random: new Random(Date.now() | 0),
      clock,
      log,
    });
    this.filter = new AdmitFilter(this.quota);
  }

  /** Whether this VM has a share or a peer to borrow from. */
  get state(): 'able' | 'unable' {
    const joined = this.ledger.state === 'joined';
    return joined || this.addresses.size > 0 ? 'able' : 'unable';
  }

  /** Starts polling the ledger. */
  start(): void {
    this.ledger.tell({kind: 'poll'});
  }

  /** Answers a peer's request for a loan. */
  handleLoanRequest(request: LoanRequest): Promise<LoanGrant> {
    return ask(reply =>
      this.quota.tell({kind: 'loan-requested', request, reply}),
    );
  }

  /** Returns the applied ledger row to a peer that cannot read the store. */
  async ledgerRow({key, version}: LedgerRequest): Promise<LedgerResponse> {
    const {row} = this;
    if (row?.key !== key || row.version < version) return {kind: 'missing'};
    return {kind: 'found', version: row.version, value: row.value};
  }

  /** Applies the rate limits and the `whenUnconfirmed` setting. */
  configure({workspaces, whenUnconfirmed}: Configuration): void {
    const limits = new Map(
      workspaces.map(({name, rate, burst}) => [name, {rate, burst}]),
    );
    this.quota.tell({kind: 'limits', limits});
    // A VM that serves while unconfirmed keeps using its share, so the share
    // must not be reclaimed.
    const mode = whenUnconfirmed === 'refuse' ? 'allowed' : 'forbidden';
    this.ledger.tell({kind: 'reclaim-mode', mode});
    this.serveUnconfirmed = whenUnconfirmed === 'serve';
  }

  /** Passes changes of the membership view to the quota and ledger tasks. */
  applyMembership(view: MembershipView): void {
    const alive = view.peers.filter(entry => entry.state === 'alive');
    this.addresses = new Map(
      alive.map(({peer}) => [peer.instance, peer.address]),
    );
    this.clients.retainOnly(new Set(this.addresses.values()));
    this.ledgerPeers.applyMembership(view);
    this.quota.tell({kind: 'peers', peers: [...this.addresses.keys()]});
    this.quota.tell({
      kind: 'confirmed',
      until: this.serveUnconfirmed ? Infinity : view.confirmedUntil,
    });
    const downOrLeft = view.peers.filter(
      ({state}) => state === 'down' || state === 'left',
    );
    this.ledger.tell({
      kind: 'peers',
      down: downOrLeft.map(({peer}) => peer.instance),
      appliedLedgers: new Map(view.appliedLedgers).set(
        this.deps.self.instance,
        view.applied.ledger,
      ),
    });
    if (
      view.known.ledger >
      Math.max(this.reportedLedgerVersion, view.applied.ledger)
    ) {
      this.ledger.tell({kind: 'version-reported', version: view.known.ledger});
    }
    this.reportedLedgerVersion = view.known.ledger;
    // No ledger change can lower the share of a VM that has none, so such a VM
    // may report a known version as applied without reading it.
    if (
      this.ledger.state === 'not-joined' &&
      view.known.ledger > view.applied.ledger
    ) {
      const versions = {ledger: view.known.ledger};
      this.deps.updateAuthority({kind: 'applied', versions});
    }
  }

  /** Applies the lifecycle. A draining VM returns its share once it is idle. */
  applyLifecycle(lifecycle: Lifecycle): void {
    this.ledger.tell({kind: 'lifecycle', lifecycle});
  }

  /** Returns the share before the VM stops; call it when no work needs it. */
  returnShare(): Promise<void> {
    return ask(reply => this.ledger.tell({kind: 'leave', reply}));
  }

  /** Stops the tasks and closes the connections to peers. */
  async stop(): Promise<void> {
    await this.ledger.stop();
    await this.quota.stop();
    this.clients.close();
    this.ledgerPeers.close();
  }

  private async sendLoanRequest(
    instance: string,
    request: LoanRequest,
  ): Promise<LoanGrant | undefined> {
    const address = this.addresses.get(instance);
    if (address === undefined) return undefined;
    const res = await this.clients
      .clientFor(address)
      .loan(request, {timeoutMs: LOAN_TIMEOUT_MS});
    return res.ok ? res.value : undefined;
  }
}
