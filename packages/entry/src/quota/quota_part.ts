import {Random} from '@pistachiorill/core';
import type {
  AuthorityEvent,
  Configuration,
  Lifecycle,
  LoanGrant,
  LoanRequest,
  PeerRecord,
} from '@pistachiorill/core';
import type {LedgerAnswer, LedgerRequest} from '@pistachiorill/peers';
import type {Row, TableService} from '@pistachiorill/store';
import {ask} from '@pistachiorill/tasks';
import type {Clock} from '@pistachiorill/tasks';
import type {Logger} from '@pistachiorill/telemetry';
import type {MembershipView} from '../membership/membership_view.js';
import {PeerClients} from '../peers/peer_clients.js';
import {AdmitFilter} from './admit_filter.js';
import {LedgerTask} from './ledger_task.js';
import type {RecordLedgerChange} from './ledger_task.js';
import {MemberLedgerPeers} from './member_ledger_peers.js';
import {QuotaTask} from './quota_task.js';

/** A lender that takes longer is as good as unreachable. */
const LOAN_TIMEOUT_MS = 100;

/** What the part needs of the daemon. */
export interface QuotaPartTools {
  readonly self: PeerRecord;
  /** The key of the ledger's row. */
  readonly ledgerKey: string;
  readonly table: TableService;
  readonly learn: (event: AuthorityEvent) => void;
  /** Whether work is under way that needs the share. */
  readonly activity: () => 'idle' | 'busy';
  readonly record: RecordLedgerChange;
  readonly clock: Clock;
  readonly log: Logger;
}

/** Wires the tasks that count the rates of the workspaces. */
export class QuotaPart {
  readonly filter: AdmitFilter;
  private readonly quota: QuotaTask;
  private readonly ledger: LedgerTask;
  private readonly ledgerPeers: MemberLedgerPeers;
  private readonly clients = new PeerClients();
  private addresses: ReadonlyMap<string, string> = new Map();
  private knownLedger = 0;
  /** The row of the applied ledger, for peers that cannot read the store. */
  private row: Row | undefined;
  private serveUnconfirmed = false;

  constructor(private readonly tools: QuotaPartTools) {
    const {self, table, clock, log, learn} = tools;
    this.quota = new QuotaTask({
      self: self.instance,
      sendLoanRequest: (instance, req) => this.send(instance, req),
      random: new Random(Date.now() | 0),
      clock,
      onFault: err => log.error({event: 'quota.failed', err}, 'quota failed'),
    });
    this.ledgerPeers = new MemberLedgerPeers(
      tools.ledgerKey,
      new Random(Date.now() | 0),
    );
    this.ledger = new LedgerTask({
      self,
      key: tools.ledgerKey,
      table,
      quota: this.quota,
      peers: this.ledgerPeers,
      activity: tools.activity,
      record: tools.record,
      onApplied: (members, row) => {
        this.row = row;
        learn({kind: 'applied', versions: {ledger: members.version}});
        learn({kind: 'ledger-members', members});
      },
      random: new Random(Date.now() | 0),
      clock,
      log,
    });
    this.filter = new AdmitFilter(this.quota);
  }

  /** Whether this VM has a share, or peers from which it can borrow. */
  get state(): 'able' | 'unable' {
    const joined = this.ledger.state === 'joined';
    return joined || this.addresses.size > 0 ? 'able' : 'unable';
  }

  start(): void {
    this.ledger.tell({kind: 'poll'});
  }

  /** Answers a peer's request for a loan. */
  lend(request: LoanRequest): Promise<LoanGrant> {
    return ask(reply =>
      this.quota.tell({kind: 'loan-requested', request, reply}),
    );
  }

  /** Answers a peer that cannot read the ledger. */
  async ledgerRow({key, version}: LedgerRequest): Promise<LedgerAnswer> {
    const {row} = this;
    if (row?.key !== key || row.version < version) return {kind: 'missing'};
    return {kind: 'found', version: row.version, value: row.value};
  }

  configure({workspaces, whenUnconfirmed}: Configuration): void {
    const limits = new Map(
      workspaces.map(({name, rate, burst}) => [name, {rate, burst}]),
    );
    this.quota.tell({kind: 'limits', limits});
    // A VM that serves while it is unconfirmed keeps using its share, so the
    // share is not taken from it.
    const mode = whenUnconfirmed === 'refuse' ? 'allowed' : 'forbidden';
    this.ledger.tell({kind: 'reclaim-mode', mode});
    this.serveUnconfirmed = whenUnconfirmed === 'serve';
  }

  viewChanged(view: MembershipView): void {
    const alive = view.peers.filter(entry => entry.state === 'alive');
    this.addresses = new Map(
      alive.map(({peer}) => [peer.instance, peer.address]),
    );
    this.clients.retain(new Set(this.addresses.values()));
    this.ledgerPeers.viewChanged(view);
    this.quota.tell({kind: 'peers', peers: [...this.addresses.keys()]});
    this.quota.tell({
      kind: 'confirmed',
      until: this.serveUnconfirmed ? Infinity : view.confirmedUntil,
    });
    const gone = view.peers.filter(
      ({state}) => state === 'down' || state === 'left',
    );
    this.ledger.tell({
      kind: 'peers',
      down: gone.map(({peer}) => peer.instance),
      appliedLedgers: new Map(view.appliedLedgers).set(
        this.tools.self.instance,
        view.applied.ledger,
      ),
    });
    if (view.known.ledger > Math.max(this.knownLedger, view.applied.ledger)) {
      this.ledger.tell({kind: 'heard', version: view.known.ledger});
    }
    this.knownLedger = view.known.ledger;
    // No change of the ledger takes anything from a VM without a share, so a
    // version that it cannot read is in force here once it is known.
    if (
      this.ledger.state === 'not-joined' &&
      view.known.ledger > view.applied.ledger
    ) {
      const versions = {ledger: view.known.ledger};
      this.tools.learn({kind: 'applied', versions});
    }
  }

  /** While this VM drains, its share is returned once its work has ended. */
  lifecycleChanged(lifecycle: Lifecycle): void {
    this.ledger.tell({kind: 'lifecycle', lifecycle});
  }

  /** Returns the share, when no more work needs it. */
  leave(): Promise<void> {
    return ask(reply => this.ledger.tell({kind: 'leave', reply}));
  }

  async stop(): Promise<void> {
    await this.ledger.stop();
    await this.quota.stop();
    this.clients.close();
    this.ledgerPeers.close();
  }

  private async send(
    instance: string,
    request: LoanRequest,
  ): Promise<LoanGrant | undefined> {
    const address = this.addresses.get(instance);
    if (address === undefined) return undefined;
    const res = await this.clients
      .to(address)
      .loan(request, {timeoutMs: LOAN_TIMEOUT_MS});
    return res.ok ? res.value : undefined;
  }
}
