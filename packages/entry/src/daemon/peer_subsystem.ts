import {randomUUID} from 'node:crypto';
import {Random} from '@pistachiorill/core';
import type {
  AuthorityEvent,
  Confirmation,
  FailoverReport,
  PeerRecord,
  StatementContext,
} from '@pistachiorill/core';
import type {ProcessSettings} from '@pistachiorill/document';
import {PeerServer, servedPeerRouter} from '@pistachiorill/peers';
import type {PeerServerLimits} from '@pistachiorill/peers';
import type {ListedVm, VmList} from '@pistachiorill/store';
import {ask} from '@pistachiorill/tasks';
import type {Clock} from '@pistachiorill/tasks';
import type {Logger} from '@pistachiorill/telemetry';
import type {VersionRead} from '../configuration/configuration_task.js';
import type {ForwardingDependencies} from '../forward/forwarding_dependencies.js';
import {KeepAliveTask} from '../forward/keep_alive_task.js';
import {OwnerTask} from '../forward/owner_task.js';
import {TrpcOwnerClient} from '../forward/owner_client.js';
import type {OwnerTarget} from '../forward/owner_client.js';
import type {GroupExecutor} from '../group/group_executor.js';
import type {GossipPayloads} from '../membership/gossip_payloads.js';
import {MembershipTask} from '../membership/membership_task.js';
import type {MembershipView} from '../membership/membership_view.js';
import {EntryPeerHandlers} from '../peers/entry_peer_handlers.js';
import type {PeerRequestHandlers} from '../peers/entry_peer_handlers.js';

/** The collaborators of the peer subsystem. */
export interface PeerSubsystemDependencies {
  readonly settings: ProcessSettings;
  readonly limits: PeerServerLimits;
  readonly list: VmList;
  readonly clock: Clock;
  readonly log: Logger;
  readonly payloads: GossipPayloads;
  readonly services: PeerRequestHandlers;
  readonly onView: (view: MembershipView) => void;
  readonly onListed: (vms: readonly ListedVm[]) => void;
  /** Returns the executor of a database whose group this VM owns. */
  readonly local: (database: string) => GroupExecutor | undefined;
  /** Returns the context for statements that peers forward to this VM. */
  readonly context: () => StatementContext | undefined;
}

/**
 * Wires the tasks that talk to other VMs: membership, forwarding to the owner
 * of a group, and the server for requests of peers.
 */
export class PeerSubsystem {
  readonly self: PeerRecord;
  /** What is needed to forward statements to the owners of a group. */
  readonly forward: ForwardingDependencies;
  private readonly ownerClient = new TrpcOwnerClient();
  private readonly keepAlive: KeepAliveTask;
  private readonly membership: MembershipTask;
  private readonly owner: OwnerTask;
  private readonly server: PeerServer;
  private confirmedUntil = Number.NEGATIVE_INFINITY;

  constructor(private readonly deps: PeerSubsystemDependencies) {
    const {settings, clock, log} = deps;
    const onFault = (err: unknown): void => {
      log.error({event: 'peers.failed', err}, 'peer task or server failed');
    };
    this.self = {
      vm: settings.vm.name,
      dataCentre: settings.vm.data_centre,
      address: settings.listen.peers,
      instance: randomUUID(),
    };
    this.keepAlive = new KeepAliveTask(this.ownerClient, onFault);
    this.forward = {
      ownerClient: this.ownerClient,
      keepAlive: this.keepAlive,
      clock,
    };
    this.membership = new MembershipTask({
      self: this.self,
      incarnation: Date.now(),
      list: deps.list,
      random: new Random(Date.now() | 0),
      clock,
      payloads: deps.payloads,
      onView: view => {
        this.confirmedUntil = view.confirmedUntil;
        deps.onView(view);
      },
      onListed: deps.onListed,
      onFault,
    });
    this.owner = new OwnerTask({
      local: deps.local,
      context: deps.context,
      clock,
      onFault,
    });
    this.server = new PeerServer(
      servedPeerRouter(
        new EntryPeerHandlers(this.membership, this.owner, deps.services),
      ),
      onFault,
      deps.limits,
    );
  }

  /** Listens for peers and starts probing. */
  async start(): Promise<void> {
    await this.server.listen(this.deps.settings.listen.peers);
    this.membership.tell({kind: 'start'});
  }

  /** Whether this VM's versions are proven to be the current ones. */
  get confirmation(): Confirmation {
    return this.deps.clock() < this.confirmedUntil
      ? 'confirmed'
      : 'unconfirmed';
  }

  /** Whether this VM has running work of other VMs. */
  get activity(): 'idle' | 'busy' {
    return this.owner.activity;
  }

  /** Passes the row versions of a poll of the store to the membership task. */
  recordVersionRead(read: VersionRead): void {
    for (const row of ['configuration', 'ledger'] as const) {
      const {startedAt} = read;
      this.updateAuthority({
        kind: 'row-read',
        row,
        version: read[row],
        startedAt,
      });
    }
  }

  /** Passes on other authority events, such as a version coming into force. */
  updateAuthority(event: AuthorityEvent): void {
    this.membership.tell({kind: 'authority', event});
  }

  /** Announces that this VM leaves, so that peers forward to other VMs. */
  leave(): Promise<void> {
    return ask(reply => this.membership.tell({kind: 'leave', reply}));
  }

  /** Announces that this VM accepts work again after it left. */
  rejoin(): void {
    this.membership.tell({kind: 'return'});
  }

  /** Sends a failover report to the other VMs that poll the same group. */
  sendReport(report: FailoverReport, owners: readonly OwnerTarget[]): void {
    for (const owner of owners) void this.ownerClient.report(owner, report);
  }

  /** Stops the tasks and closes the server and the clients. */
  async stop(): Promise<void> {
    await this.membership.stop();
    await this.keepAlive.stop();
    await this.owner.stop();
    this.server.close();
    this.ownerClient.close();
  }
}
