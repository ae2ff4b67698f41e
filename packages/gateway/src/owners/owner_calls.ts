import {
  INITIAL_OWNER_HEALTH,
  afterCall,
  afterOwnerAnswer,
  afterOwnerFailure,
  afterOwnerRefusal,
  afterProbeAnswer,
  afterProbeFailure,
  availabilityOf,
  checkSilence,
  isProbeDue,
} from '@pistachiorill/core';
import type {
  ForwardFailure,
  OwnerAvailability,
  OwnerHealth,
  Result,
} from '@pistachiorill/core';
import type {PeerError} from '@pistachiorill/peers';
import {sleep} from '@pistachiorill/tasks';
import type {Clock} from '@pistachiorill/tasks';
import type {Logger} from '@pistachiorill/telemetry';
import type {SessionRefusal} from '../ports/caller_link.js';
import type {MemberAnswer} from '../ports/member_link.js';
import type {GatewayMetrics} from '../telemetry/gateway_metrics.js';
import type {ForwardAnswer} from './forward_schema.js';
import type {OwnerClient} from './owner_client.js';

/**
 * An owner with calls to answer is probed at this interval: a statement may wait
 * for its member for long, which says nothing about the owner.
 */
const PROBE_INTERVAL_MS = 200;
const PROBE_TIMEOUT_MS = 200;

/** What a forwarded statement came to. */
export type ForwardResult =
  | {readonly kind: 'done'; readonly answer: MemberAnswer}
  /** The owner ran it as for its own callers, and refuses it. */
  | {readonly kind: 'refused'; readonly refusal: SessionRefusal}
  | {
      readonly kind: 'failed';
      readonly failure: ForwardFailure;
      readonly detail: string;
    };

/** The services that the calls use. */
export interface OwnerCallDependencies {
  readonly client: OwnerClient;
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: GatewayMetrics;
}

/** Calls the owners and keeps what this VM has observed of each. */
export class OwnerCalls {
  private readonly health = new Map<string, OwnerHealth>();
  /** The probes that are under way. */
  private readonly probes = new Map<string, Promise<boolean>>();

  constructor(private readonly deps: OwnerCallDependencies) {}

  /** Whether an owner may get a new statement now. */
  availabilityOf(owner: string): OwnerAvailability {
    const now = this.deps.clock();
    const health = checkSilence(this.healthOf(owner), now);
    this.update(owner, health);
    if (isProbeDue(health, now)) void this.isAnswering(owner, now);
    const availability = availabilityOf(health, now);
    if (availability !== 'available') {
      this.deps.metrics.forwardFellBack(availability);
    }
    return availability;
  }

  /** Whether an owner answers: a call since `since`, or else a probe. */
  async isAnswering(owner: string, since: number): Promise<boolean> {
    if (this.healthOf(owner).answeredAt >= since) return true;
    const known = this.probes.get(owner);
    if (known) return known;
    const probe = this.probe(owner).finally(() => this.probes.delete(owner));
    this.probes.set(owner, probe);
    return probe;
  }

  /** Waits for the probes of owners that are under way. */
  async probed(owners: readonly string[]): Promise<void> {
    await Promise.all(owners.map(owner => this.probes.get(owner)));
  }

  /** Makes a call that runs a statement, and records how it ended. */
  async run(
    owner: string,
    send: (client: OwnerClient) => Promise<Result<ForwardAnswer, PeerError>>,
  ): Promise<ForwardResult> {
    const {clock, client, metrics} = this.deps;
    const sentAt = clock();
    this.update(owner, afterCall(this.healthOf(owner), sentAt));
    metrics.forwarded();
    const call = send(client);
    void this.probeUntilEnded(owner, call);
    const result = await call;
    const health = this.healthOf(owner);
    const now = clock();
    if (!result.ok) {
      const {err} = result;
      const {detail} = err;
      if (err.kind === 'rejected') {
        this.update(owner, afterOwnerAnswer(health, now));
        return {kind: 'failed', failure: 'not-sent', detail};
      }
      const reason = failureReasonOf(err);
      this.update(owner, afterOwnerFailure(health, reason, sentAt, now));
      if (reason === 'overloaded') void this.isAnswering(owner, sentAt);
      const failure = err.kind === 'unreachable' ? 'not-sent' : err.kind;
      return {kind: 'failed', failure, detail};
    }
    const answer = result.value;
    if (answer.kind === 'not-run') {
      const {reason} = answer;
      const isUnable =
        reason === 'stopping' || reason === 'not-ready' || reason === 'full';
      this.update(
        owner,
        isUnable
          ? afterOwnerRefusal(health, reason, now)
          : afterOwnerAnswer(health, now),
      );
      const detail = `the owner ${owner} refused: ${reason}`;
      return {kind: 'failed', failure: reason, detail};
    }
    this.update(owner, afterOwnerAnswer(health, now));
    if (answer.kind === 'refused') return answer;
    const {rows, signature, transaction, applied} = answer;
    const outcome = {kind: 'done', signature} as const;
    return {kind: 'done', answer: {rows, outcome, transaction, applied}};
  }

  /** Probes an owner while a call waits, unless it answers others. */
  private async probeUntilEnded(
    owner: string,
    call: Promise<unknown>,
  ): Promise<void> {
    let state: 'pending' | 'ended' = 'pending';
    const end = (): void => {
      state = 'ended';
    };
    const ended = call.then(end, end);
    await Promise.race([ended, sleep(PROBE_INTERVAL_MS)]);
    while (state === 'pending') {
      await this.isAnswering(owner, this.deps.clock() - PROBE_INTERVAL_MS);
      await Promise.race([ended, sleep(PROBE_INTERVAL_MS)]);
    }
  }

  private async probe(owner: string): Promise<boolean> {
    const {clock, client} = this.deps;
    const sentAt = clock();
    const {ok: isAnswered} = await client.ping(owner, PROBE_TIMEOUT_MS);
    const health = this.healthOf(owner);
    this.update(
      owner,
      isAnswered
        ? afterProbeAnswer(health, clock())
        : afterProbeFailure(health, sentAt, clock()),
    );
    return isAnswered;
  }

  private healthOf(owner: string): OwnerHealth {
    return this.health.get(owner) ?? INITIAL_OWNER_HEALTH;
  }

  private update(owner: string, health: OwnerHealth): void {
    const before = this.healthOf(owner);
    this.health.set(owner, health);
    if (health.avoid === before.avoid) return;
    if (!health.avoid) {
      this.deps.log.info(
        {event: 'owner.available', owner},
        'an owner answers again',
      );
    } else if (health.avoid.reason !== before.avoid?.reason) {
      const {reason} = health.avoid;
      this.deps.log.warn(
        {event: 'owner.unavailable', owner, reason},
        'an owner gets no new statements for some time',
      );
    }
  }
}

function failureReasonOf(
  err: Exclude<PeerError, {kind: 'rejected'}>,
): 'unreachable' | 'silent' | 'overloaded' {
  if (err.kind === 'no-answer') return 'silent';
  return err.cause === 'connect-timeout' ? 'overloaded' : 'unreachable';
}
