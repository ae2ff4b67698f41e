import {
  DeficitRoundRobinPolicy,
  FifoPolicy,
  HEALTHY_MEMBER,
  SWITCHOVER_SETTLE_MS,
  INITIAL_RETRY_BUDGET,
  updateMemberHealth,
  currentPrimary,
  decideRetry,
  depositRetry,
  ejectedMembers,
  fail,
  proveSamples,
  recordPrimarySample,
} from '@pistachiorill/core';
import type {
  BackendServer,
  FailedAttempt,
  FreshnessLog,
  GroupView,
  MemberHealth,
  RetryDecision,
} from '@pistachiorill/core';
import {SqlGroupControl} from '@pistachiorill/mysql';
import {Task} from '@pistachiorill/tasks';
import {BackendTask} from '../backend/backend_task.js';
import {MemberChoiceQueue} from './member_choice_queue.js';
import type {ChoiceContext, PendingChoice} from './member_choice_queue.js';
import {ConnectionPool} from './connection_pool.js';
import type {GroupMessage, GroupObservation, Reuse} from './group_message.js';
import type {GroupDependencies} from './group_dependencies.js';
import {MemberControlTask} from './member_control_task.js';
import type {PollPace, PollReply} from './member_control_task.js';
import {unpolledMemberView, withPollReply} from './member_view_update.js';
import {ProofQueue} from './proof_queue.js';

/** Time limit for one call on the control connection of a member. */
const CONTROL_TIMEOUT_MS = 500;
/** Delay until the next check for expired deadlines while statements wait. */
const TICK_DELAY_MS = 20;
/** Limits the statements of one workspace that wait for one member. */
const MAX_WAITING_PER_WORKSPACE = 200;

/** Owns this VM's view of a group, its connections and waiting statements. */
export class GroupTask extends Task<GroupMessage> {
  private view: GroupView;
  /** Recent polls of the primary, which show how old a replica's data is. */
  private freshness: FreshnessLog = [];
  /** The primary as of the last poll that showed one; empty before that. */
  private lastPrimary = '';
  private readonly pools = new Map<string, ConnectionPool>();
  private readonly addresses = new Map<string, string>();
  private readonly controlTasks = new Map<string, MemberControlTask>();
  private readonly health = new Map<string, MemberHealth>();
  /** Time at which each leaving member was first configured as leaving. */
  private readonly leavingSince = new Map<string, number>();
  private retryBudget = INITIAL_RETRY_BUDGET;
  private readonly choiceQueue: MemberChoiceQueue;
  private readonly proofQueue = new ProofQueue();
  private tickTimer: NodeJS.Timeout | undefined;
  private pollPace: PollPace = 'idle';

  constructor(
    database: string,
    private readonly deps: GroupDependencies,
  ) {
    super();
    this.view = {database, members: []};
    this.choiceQueue = new MemberChoiceQueue(deps.policy, deps.random);
  }

  protected override handle(message: GroupMessage): void {
    this.dispatch(message);
    this.scheduleTick();
  }

  private dispatch(message: GroupMessage): void {
    switch (message.kind) {
      case 'configure':
        this.configure(message.servers);
        return;
      case 'polled':
        this.applyPoll(message.poll);
        return;
      case 'choose':
        this.choose(message);
        return;
      case 'acquire':
        this.acquire(message);
        return;
      case 'release':
        this.release(message.backend, message.reuse);
        return;
      case 'request-started':
        this.retryBudget = depositRetry(this.retryBudget);
        return;
      case 'attempt-failed':
        message.reply.answer(this.decideRetry(message.attempt));
        return;
      case 'prove':
        this.proofQueue.add({...message, since: this.deps.clock()});
        this.answerProofs();
        this.updatePollPace();
        return;
      case 'view':
        message.reply.answer(this.view);
        return;
      case 'observe':
        message.reply.answer(this.observe());
        return;
      case 'control':
        this.callMember(message);
        return;
      case 'tick':
        this.tick();
        return;
      case 'close':
        this.close();
        return;
    }
  }

  protected override onFailure(err: unknown): void {
    this.deps.onFault(err);
  }

  private configure(servers: readonly BackendServer[]): void {
    const previous = new Map(this.view.members.map(m => [m.backendServer, m]));
    this.view = {
      ...this.view,
      members: servers.map(server => ({
        ...(previous.get(server.name) ?? unpolledMemberView(server)),
        accepting: true,
      })),
    };
    const now = this.deps.clock();
    const earlier = new Map(this.leavingSince);
    this.leavingSince.clear();
    for (const {name, state} of servers) {
      if (state === 'leaving') {
        this.leavingSince.set(name, earlier.get(name) ?? now);
      }
    }
    this.updateAccepting(now);
    for (const [name, address] of this.addresses) {
      const kept = servers.some(
        server => server.name === name && server.address === address,
      );
      if (!kept) this.disconnect(name);
    }
    for (const server of servers) this.connect(server);
  }

  /**
   * Stops routing new statements to leaving members. A leaving primary accepts
   * writes until the switchover may start, since refusing them earlier only
   * makes callers wait.
   */
  private updateAccepting(now: number): void {
    const allAccept = this.view.members.every(member => member.accepting);
    if (this.leavingSince.size === 0 && allAccept) return;
    const primary = currentPrimary(this.view)?.backendServer;
    this.view = {
      ...this.view,
      members: this.view.members.map(member => {
        const since = this.leavingSince.get(member.backendServer);
        const graceMs =
          member.backendServer === primary ? SWITCHOVER_SETTLE_MS : 0;
        return {
          ...member,
          accepting: since === undefined || now - since < graceMs,
        };
      }),
    };
    for (const {backendServer, accepting} of this.view.members) {
      if (!accepting) this.pools.get(backendServer)?.drain();
    }
  }

  /** Creates or updates the pool of a member and starts to poll it. */
  private connect(server: BackendServer): void {
    const {credentials, clock, allowanceOf, onFault} = this.deps;
    const limits = {connections: allowanceOf(server), slots: server.slots};
    const existing = this.pools.get(server.name);
    const pool =
      existing ??
      new ConnectionPool(
        limits,
        () =>
          this.deps.queue === 'arrival-order'
            ? new FifoPolicy(MAX_WAITING_PER_WORKSPACE)
            : new DeficitRoundRobinPolicy(MAX_WAITING_PER_WORKSPACE),
        () =>
          new BackendTask(
            server.name,
            server.address,
            credentials.data,
            onFault,
          ),
      );
    this.pools.set(server.name, pool);
    this.addresses.set(server.name, server.address);
    const member = this.view.members.find(m => m.backendServer === server.name);
    if (member?.accepting) pool.setLimits(limits, clock());
    else pool.drain();
    if (existing) return;
    const controlTask = new MemberControlTask(
      server.name,
      new SqlGroupControl(
        server.address,
        credentials.control,
        CONTROL_TIMEOUT_MS,
      ),
      clock,
      poll => this.tell({kind: 'polled', poll}),
      onFault,
    );
    this.controlTasks.set(server.name, controlTask);
    controlTask.tell({kind: 'poll'});
    controlTask.tell({kind: 'pace', pace: this.pollPace});
  }

  private disconnect(name: string): void {
    this.pools.get(name)?.drain();
    this.pools.delete(name);
    this.addresses.delete(name);
    this.controlTasks.get(name)?.tell({kind: 'close'});
    this.controlTasks.delete(name);
  }

  private applyPoll(poll: PollReply): void {
    const now = this.deps.clock();
    this.view = {
      ...this.view,
      members: this.view.members.map(member =>
        member.backendServer === poll.backendServer
          ? withPollReply(member, poll, now)
          : member,
      ),
    };
    this.updateAccepting(now);
    const primary = currentPrimary(this.view);
    if (primary && primary.backendServer !== this.lastPrimary) {
      this.abandonFormerPrimary();
      this.lastPrimary = primary.backendServer;
    }
    if (primary?.backendServer === poll.backendServer && primary.state) {
      this.freshness = recordPrimarySample(this.freshness, {
        sentAt: poll.sentAt,
        end: primary.state.received,
      });
    }
    this.freshness = proveSamples(this.freshness, this.view);
    this.answerProofs();
    this.answerChoices();
    this.updatePollPace();
  }

  /**
   * Aborts the statements on an unreachable former primary. Once it is replaced,
   * no write on it can be confirmed, so waiting would only delay the callers.
   */
  private abandonFormerPrimary(): void {
    const former = this.view.members.find(
      member => member.backendServer === this.lastPrimary,
    );
    if (former?.reachability !== 'unreachable') return;
    this.pools.get(former.backendServer)?.abandon();
  }

  private choose(waiter: PendingChoice): void {
    this.choiceQueue.add(waiter, this.choiceContext(), this.deps.clock());
    this.answerChoices();
    this.updatePollPace();
  }

  private answerChoices(): void {
    this.choiceQueue.answerReady(this.choiceContext(), this.deps.clock());
  }

  private answerProofs(): void {
    this.proofQueue.answerReady(this.view, this.deps.clock());
  }

  private choiceContext(): ChoiceContext {
    const {view, freshness, health} = this;
    const now = this.deps.clock();
    return {
      view,
      freshness,
      avoid: ejectedMembers(health, view.members.length, now),
      confirmationDelayMs: this.proofQueue.confirmationDelayMs(now),
    };
  }

  private acquire(message: Extract<GroupMessage, {kind: 'acquire'}>): void {
    const pool = this.pools.get(message.backendServer);
    if (pool) {
      pool.acquire(message, this.deps.clock());
      return;
    }
    message.reply.answer(
      fail({kind: 'no-member', detail: 'the member left the group'}),
    );
  }

  private release(backend: BackendTask, reuse: Reuse): void {
    const name = backend.backendServer;
    // A connection to a member that has left the group is closed.
    const now = this.deps.clock();
    const found = this.pools.get(name)?.release(backend, reuse, now) ?? false;
    if (!found) backend.tell({kind: 'close'});
    const outcome = reuse === 'reuse' ? 'answered' : 'transport-error';
    if (outcome === 'transport-error') {
      this.controlTasks.get(name)?.tell({kind: 'poll'});
    }
    const before = this.health.get(name) ?? HEALTHY_MEMBER;
    this.health.set(
      name,
      updateMemberHealth(before, outcome, this.deps.clock()),
    );
  }

  private decideRetry(attempt: FailedAttempt): RetryDecision {
    const {random, clock} = this.deps;
    const decision = decideRetry(attempt, this.retryBudget, random, clock());
    if (decision.kind === 'retry') this.retryBudget = decision.budget;
    return decision;
  }

  private observe(): GroupObservation {
    const primary = currentPrimary(this.view);
    const pool = this.pools.get(primary?.backendServer ?? '');
    const activeOrWaiting = pool?.activeOrWaiting ?? 0;
    return {
      view: this.view,
      running: primary?.accepting ? activeOrWaiting + 1 : activeOrWaiting,
      transactions: pool?.transactions ?? 0,
    };
  }

  /** Forwards a control call to a member and applies its answer as a poll. */
  private callMember(message: Extract<GroupMessage, {kind: 'control'}>): void {
    const {backendServer, call, reply} = message;
    const task = this.controlTasks.get(backendServer);
    if (!task) {
      reply.answer(fail({kind: 'lost', detail: 'the member left the group'}));
      return;
    }
    const sentAt = this.deps.clock();
    task.tell({
      ...call,
      reply: {
        answer: result => {
          reply.answer(result);
          if (!result.ok) return;
          this.tell({kind: 'polled', poll: {backendServer, sentAt, result}});
        },
      },
    });
  }

  /** Schedules the next deadline check if any statement waits. */
  private scheduleTick(): void {
    const waiting =
      this.choiceQueue.size > 0 ||
      this.proofQueue.size > 0 ||
      [...this.pools.values()].some(pool => pool.waiting > 0);
    if (this.tickTimer || !waiting) return;
    this.tickTimer = setTimeout(() => {
      this.tickTimer = undefined;
      this.tell({kind: 'tick'});
    }, TICK_DELAY_MS);
  }

  private tick(): void {
    const now = this.deps.clock();
    this.updateAccepting(now);
    for (const pool of this.pools.values()) pool.refuseExpired(now);
    this.answerChoices();
    this.answerProofs();
    this.updatePollPace();
  }

  /** Polls faster while statements wait for a member or a quorum proof. */
  private updatePollPace(): void {
    const waiting = this.choiceQueue.size > 0 ? 'waiting' : 'idle';
    const pace = this.proofQueue.size > 0 ? 'urgent' : waiting;
    if (pace === this.pollPace) return;
    this.pollPace = pace;
    for (const controlTask of this.controlTasks.values()) {
      controlTask.tell({kind: 'pace', pace});
    }
  }

  private close(): void {
    clearTimeout(this.tickTimer);
    for (const name of [...this.controlTasks.keys()]) this.disconnect(name);
  }
}
