import {
  PROBE_INTERVAL_MS,
  confirmationAt,
  confirmedUntil,
  decideAuthority,
  decideMembership,
  initialAuthority,
  initialMembership,
  proofProbeTargets,
  runningPeers,
  selectChanges,
  versionReport,
} from '@pistachiorill/core';
import type {
  AuthorityEvent,
  AuthorityState,
  MembershipAction,
  MembershipEvent,
  MembershipState,
  PeerRecord,
} from '@pistachiorill/core';
import type {
  Gossip,
  ProbeIndirectResponse,
  StatusResponse,
} from '@pistachiorill/peers';
import type {ListedVm} from '@pistachiorill/store';
import {Task} from '@pistachiorill/tasks';
import type {Reply} from '@pistachiorill/tasks';
import {PeerClientCache} from '../peers/peer_client_cache.js';
import type {MembershipMessage} from './membership_message.js';
import type {MembershipDependencies} from './membership_dependencies.js';

const PROBE_TIMEOUT_MS = 300;
/** Includes the time for the probe that the helping VM sends. */
const INDIRECT_TIMEOUT_MS = PROBE_TIMEOUT_MS + 200;
/** A timeout that fires this late shows that this VM itself has stalled. */
const STALL_THRESHOLD_MS = 100;
const LIST_INTERVAL_MS = 5_000;
/** How often the clients of evicted VMs are closed. */
const RETAIN_INTERVAL_MS = 60_000;

type AnsweredMessage = Extract<MembershipMessage, {kind: 'answered'}>;

/**
 * Owns this VM's view of the fleet and of the versions known and applied there.
 * Probes peers at intervals, exchanges gossip with them, and publishes the view
 * when it changes.
 */
export class MembershipTask extends Task<MembershipMessage> {
  private membership: MembershipState;
  private authority: AuthorityState;
  private discovery: 'pending' | 'done' = 'pending';
  /** The parts of the view as last published, to detect changes. */
  private published: readonly unknown[] = [];
  private readonly clients = new PeerClientCache();
  private readonly timers: NodeJS.Timeout[] = [];

  constructor(private readonly deps: MembershipDependencies) {
    super();
    this.membership = initialMembership(deps.self, deps.incarnation);
    this.authority = initialAuthority(deps.self.instance);
  }

  override async stop(): Promise<void> {
    for (const timer of this.timers) clearInterval(timer);
    await super.stop();
    this.clients.close();
  }

  protected override handle(message: MembershipMessage): void {
    switch (message.kind) {
      case 'start':
        this.start();
        break;
      case 'tick':
        this.tick();
        break;
      case 'read-list':
        this.runInBackground(() => this.readList());
        break;
      case 'retain-clients':
        this.retainClients();
        break;
      case 'listed':
        this.applyList(message.vms);
        break;
      case 'probed':
        message.reply.answer(this.answerProbe(message.gossip));
        break;
      case 'answered':
        this.answered(message);
        break;
      case 'probe-failed':
      case 'indirect-finished':
        this.decide(message.event);
        break;
      case 'probe-indirect':
        this.runInBackground(() =>
          this.probeOnBehalf(message.target, message.reply),
        );
        break;
      case 'authority':
        this.updateAuthority(message.event);
        break;
      case 'status':
        message.reply.answer(this.status());
        break;
      case 'leave':
        this.runInBackground(() => this.leave(message.reply));
        break;
      case 'return':
        this.decide(message);
        break;
    }
    this.publish();
  }

  protected override onFailure(err: unknown): void {
    this.deps.onFault(err);
  }

  private start(): void {
    this.sendEvery(PROBE_INTERVAL_MS, {kind: 'tick'});
    this.sendEvery(LIST_INTERVAL_MS, {kind: 'read-list'});
    this.sendEvery(RETAIN_INTERVAL_MS, {kind: 'retain-clients'});
    this.tell({kind: 'read-list'});
  }

  private sendEvery(intervalMs: number, message: MembershipMessage): void {
    this.timers.push(setInterval(() => this.tell(message), intervalMs));
  }

  private tick(): void {
    this.decide({kind: 'tick'});
    const running = new Map(
      runningPeers(this.membership).map(entry => [
        entry.peer.instance,
        entry.peer,
      ]),
    );
    const proofTargets = proofProbeTargets(
      this.authority,
      [...running.keys()],
      this.deps.clock(),
    );
    for (const instance of proofTargets) {
      const target = running.get(instance);
      if (target) this.runInBackground(() => this.probe(target));
    }
  }

  private decide(event: MembershipEvent): void {
    const {random, clock} = this.deps;
    const decision = decideMembership(this.membership, event, random, clock());
    this.membership = decision.state;
    for (const action of decision.actions) this.perform(action);
  }

  private perform(action: MembershipAction): void {
    this.runInBackground(() =>
      action.kind === 'probe'
        ? this.probe(action.target)
        : this.probeIndirectly(action.target, action.via),
    );
  }

  private async probe(target: PeerRecord): Promise<void> {
    const sentAt = this.deps.clock();
    const result = await this.clients
      .clientFor(target.address)
      .probe(this.gossipFor(target.vm, 'known'), {
        timeoutMs: PROBE_TIMEOUT_MS,
      });
    if (result.ok) {
      this.tell({kind: 'answered', target, gossip: result.value, sentAt});
    }
    if (!result.ok && this.hasStalled(sentAt, PROBE_TIMEOUT_MS)) return;
    if (!result.ok || result.value.from.vm !== target.vm) {
      this.tell({
        kind: 'probe-failed',
        event: {kind: 'probe-failed', vm: target.vm},
      });
    }
  }

  /**
   * Whether this VM was paused or overloaded during the wait. Answers that came
   * in time may then be lost, so a timeout shows nothing about the peer.
   */
  private hasStalled(sentAt: number, timeoutMs: number): boolean {
    return this.deps.clock() - sentAt > timeoutMs + STALL_THRESHOLD_MS;
  }

  private async probeIndirectly(
    target: PeerRecord,
    via: readonly PeerRecord[],
  ): Promise<void> {
    const sentAt = this.deps.clock();
    const answers = await Promise.all(
      via.map(helper =>
        this.clients
          .clientFor(helper.address)
          .probeIndirect({target}, {timeoutMs: INDIRECT_TIMEOUT_MS}),
      ),
    );
    const isReached = answers.some(
      answer => answer.ok && answer.value === 'reached',
    );
    if (!isReached && this.hasStalled(sentAt, INDIRECT_TIMEOUT_MS)) return;
    this.tell({
      kind: 'indirect-finished',
      event: {
        kind: 'indirect-finished',
        vm: target.vm,
        outcome: isReached ? 'reached' : 'not-reached',
      },
    });
  }

  /** Probes a VM on behalf of a peer that cannot reach it. */
  private async probeOnBehalf(
    target: PeerRecord,
    reply: Reply<ProbeIndirectResponse>,
  ): Promise<void> {
    const sentAt = this.deps.clock();
    const result = await this.clients
      .clientFor(target.address)
      .probe(this.gossipFor(target.vm, 'known'), {
        timeoutMs: PROBE_TIMEOUT_MS,
      });
    const isReached = result.ok && result.value.from.vm === target.vm;
    if (result.ok) {
      this.tell({kind: 'answered', target, gossip: result.value, sentAt});
    }
    reply.answer(isReached ? 'reached' : 'not-reached');
  }

  private answerProbe(gossip: Gossip): Gossip {
    const known = this.membership.peers.get(gossip.from.vm);
    const isNew =
      known?.peer.instance !== gossip.from.instance || known.state === 'down';
    this.receiveGossip(gossip);
    this.updateAuthority({
      kind: 'probed',
      instance: gossip.from.instance,
      report: gossip.versions,
    });
    return this.gossipFor(gossip.from.vm, isNew ? 'new' : 'known');
  }

  private answered({gossip, sentAt}: AnsweredMessage): void {
    this.receiveGossip(gossip);
    this.updateAuthority({
      kind: 'answered',
      instance: gossip.from.instance,
      report: gossip.versions,
      sentAt,
    });
  }

  private receiveGossip(gossip: Gossip): void {
    const {payloads} = this.deps;
    const {vm, dataCentre} = gossip.from;
    this.discovery = 'done';
    this.decide({
      kind: 'contact',
      from: gossip.from,
      incarnation: gossip.incarnation,
      changes: gossip.changes,
    });
    if (gossip.suspicions !== undefined) {
      payloads.onSuspicions(vm, dataCentre, gossip.suspicions);
    }
    if (gossip.spareQuota !== undefined) {
      payloads.onSpareQuota(vm, dataCentre, gossip.spareQuota);
    }
  }

  private updateAuthority(event: AuthorityEvent): void {
    this.authority = decideAuthority(this.authority, event, this.deps.clock());
  }

  private gossipFor(
    recipient: string,
    recipientState: 'known' | 'new',
  ): Gossip {
    const {random, clock, payloads} = this.deps;
    const selection = selectChanges(
      this.membership,
      recipient,
      recipientState,
      random,
    );
    this.membership = selection.state;
    return {
      from: this.membership.self,
      incarnation: this.membership.incarnation,
      changes: [...selection.changes],
      versions: versionReport(this.authority, clock()),
      suspicions: payloads.suspicions(),
      spareQuota: payloads.spareQuota(),
    };
  }

  private async readList(): Promise<void> {
    const vms = await this.deps.list.read();
    if (vms.ok) this.tell({kind: 'listed', vms: vms.value});
  }

  private applyList(vms: readonly ListedVm[]): void {
    const isFirst = this.discovery === 'pending';
    this.discovery = 'done';
    this.decide({
      kind: 'listed',
      peers: vms.map(({vm, dataCentre, address}) => ({
        vm,
        dataCentre,
        address,
        instance: '',
      })),
    });
    // A VM that has just started cannot forward statements until it has contact
    // with others, so it probes without waiting for the next tick.
    if (isFirst) this.tick();
    this.deps.onListed(vms);
  }

  private async leave(reply: Reply<void>): Promise<void> {
    const {random, clock} = this.deps;
    const decision = decideMembership(
      this.membership,
      {kind: 'leave'},
      random,
      clock(),
    );
    this.membership = decision.state;
    await Promise.all(decision.actions.map(({target}) => this.probe(target)));
    reply.answer(undefined);
  }

  private retainClients(): void {
    const {peers, candidates} = this.membership;
    this.clients.retainOnly(
      new Set(
        [...peers.values(), ...candidates.values()].map(
          item => item.peer.address,
        ),
      ),
    );
  }

  private status(): StatusResponse {
    const now = this.deps.clock();
    return {
      peer: this.membership.self,
      versions: versionReport(this.authority, now),
      confirmation: confirmationAt(this.authority, now),
      peers: [...this.membership.peers.values()].map(({peer, state}) => ({
        vm: peer.vm,
        dataCentre: peer.dataCentre,
        state,
      })),
    };
  }

  /** Publishes the view if a part of it has changed. */
  private publish(): void {
    const {membership, authority, discovery} = this;
    const parts = [
      membership.peers,
      membership.candidates.size,
      discovery,
      authority.known.configuration,
      authority.known.ledger,
      authority.applied.configuration,
      authority.applied.ledger,
      authority.ledger,
      confirmedUntil(authority),
    ];
    if (parts.every((part, index) => part === this.published[index])) return;
    this.published = parts;
    this.deps.onView({
      self: membership.self,
      peers: [...membership.peers.values()],
      candidates: [...membership.candidates.values()].map(item => item.peer),
      discovery,
      known: authority.known,
      applied: authority.applied,
      ledger: authority.ledger,
      appliedLedgers: new Map(
        [...authority.reports].map(([instance, report]) => [
          instance,
          report.applied.ledger,
        ]),
      ),
      confirmedUntil: confirmedUntil(authority),
    });
  }
}
