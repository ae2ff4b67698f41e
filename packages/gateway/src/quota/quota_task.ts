import {
  FULL_SHARE_PPM,
  accrueTokens,
  emptyBucket,
  recordDemand,
  requestedPeerCount,
  tokensToRequest,
  tokensToTransfer,
} from '@pistachiorill/core';
import type {QuotaLimits} from '@pistachiorill/core';
import {Task} from '@pistachiorill/tasks';
import type {Clock, Reply} from '@pistachiorill/tasks';
import type {Logger} from '@pistachiorill/telemetry';
import type {PeerSet} from '../peers/peer_set.js';
import type {Account, Admission} from './account.js';

/** How often a VM asks its peers for tokens of one workspace. */
const ASK_INTERVAL_MS = 60;
/** After this many peers without tokens the VM waits before it asks again. */
const MAX_EMPTY_PEERS = 3;
/** How long a VM waits before it asks again after peers had no tokens. */
const NO_TOKENS_BACKOFF_MS = 250;
/**
 * A VM starts without tokens. While it accrues the first ones, a statement
 * waits longer for a token, which is better than a refusal.
 */
const START_PERIOD_MS = 2_000;
const ASK_TIMEOUT_MS = 150;
const QUEUE_CHECK_INTERVAL_MS = 20;
/** Interval at which the refusals of a workspace are logged as one record. */
const REPORT_INTERVAL_MS = 5_000;

/** Messages that the quota task handles. */
export type QuotaMessage =
  | {
      readonly kind: 'limits';
      readonly limits: ReadonlyMap<string, QuotaLimits>;
    }
  /** Takes a token for an operation, if need be after a wait. */
  | {
      readonly kind: 'admit';
      readonly workspace: string;
      /** When the wait for a token ends. */
      readonly until: number;
      /** When the wait ends during the VM's start period. */
      readonly untilAtStart: number;
      readonly reply: Reply<Admission>;
    }
  /** Returns the token of an operation that certainly did not run. */
  | {readonly kind: 'refund'; readonly workspace: string}
  /** A peer asks for tokens; the answer is the number that it receives. */
  | {
      readonly kind: 'give';
      readonly workspace: string;
      readonly asked: number;
      readonly reply: Reply<number>;
    }
  /** A peer answered a request for tokens. */
  | {
      readonly kind: 'received';
      readonly workspace: string;
      readonly from: string;
      readonly tokens: number;
    }
  | {readonly kind: 'tick'};

/** Collaborators of the quota task. */
export interface QuotaDependencies {
  readonly clock: Clock;
  /** When this process started, on the same clock. */
  readonly startedAt: number;
  /**
   * This VM's share of a workspace's rate in parts per million; 0 while the
   * table of shares is not proven to be recent.
   */
  readonly sharePpm: (workspace: string) => number;
  /** The rate holders of a workspace: the VMs that may spend its rate. */
  readonly rateHolders: (workspace: string) => readonly string[];
  /** Whether the table of shares is proven to be recent. */
  readonly hasProvenShares: () => boolean;
  readonly peers: PeerSet;
  readonly log: Logger;
  readonly onFailed: (err: unknown) => void;
}

/** Owns this VM's rate-limit tokens of every workspace. */
export class QuotaTask extends Task<QuotaMessage> {
  private readonly accounts = new Map<string, Account>();
  private ticker: NodeJS.Timeout | undefined;
  /** When a proven table of shares was first available. */
  private sharesKnownSince: number | undefined;

  constructor(private readonly deps: QuotaDependencies) {
    super();
  }

  protected override handle(message: QuotaMessage): void {
    const now = this.deps.clock();
    switch (message.kind) {
      case 'limits':
        this.setLimits(message.limits, now);
        break;
      case 'admit':
        this.admit(message, now);
        break;
      case 'refund':
        this.addTokens(message.workspace, 1, now);
        break;
      case 'give':
        message.reply.answer(
          this.donateTokens(message.workspace, message.asked, now),
        );
        break;
      case 'received':
        this.applyReceivedTokens(message, now);
        break;
      case 'tick':
        for (const [workspace, account] of this.accounts) {
          if (account.waiting.length > 0) this.serve(workspace, account, now);
        }
        break;
    }
    this.scheduleTick();
  }

  protected override onFailure(err: unknown): void {
    this.deps.onFailed(err);
  }

  private setLimits(
    limits: ReadonlyMap<string, QuotaLimits>,
    now: number,
  ): void {
    for (const [workspace, account] of this.accounts) {
      if (limits.has(workspace)) continue;
      for (const {reply} of account.waiting) {
        reply.answer({kind: 'refused', retryAfterMs: 0});
      }
      this.accounts.delete(workspace);
    }
    // Tokens accrue from the start of this process: an earlier process of this
    // VM spent none of the share after that time.
    const accruedFrom = this.accounts.size === 0 ? this.deps.startedAt : now;
    for (const [workspace, limit] of limits) {
      const account = this.accounts.get(workspace);
      if (account) {
        this.accrue(workspace, account, now);
        account.limits = limit;
      } else {
        this.accounts.set(workspace, {
          limits: limit,
          bucket: emptyBucket(accruedFrom),
          waiting: [],
          askAt: -Infinity,
          donor: undefined,
          emptyPeers: new Set(),
          pendingRequests: 0,
          report: {startedAt: now, admitted: 0, refused: 0},
        });
      }
    }
  }

  private admit(
    message: Extract<QuotaMessage, {kind: 'admit'}>,
    now: number,
  ): void {
    const account = this.accounts.get(message.workspace);
    if (!account) {
      message.reply.answer({kind: 'refused', retryAfterMs: 0});
      return;
    }
    account.bucket = recordDemand(account.bucket, now);
    const {until, untilAtStart, reply} = message;
    account.waiting.push({
      until: this.isInStartPeriod(now) ? untilAtStart : until,
      reply,
    });
    this.serve(message.workspace, account, now);
  }

  /**
   * Admits waiting operations while there are tokens, refuses those whose wait
   * is over, and asks peers for missing tokens.
   */
  private serve(workspace: string, account: Account, now: number): void {
    this.accrue(workspace, account, now);
    while (account.waiting.length > 0 && account.bucket.tokens >= 1) {
      const {bucket} = account;
      account.bucket = {...bucket, tokens: bucket.tokens - 1};
      account.waiting.shift()?.reply.answer({kind: 'admitted'});
      account.report.admitted++;
    }
    account.waiting = account.waiting.filter(waiter => {
      if (now < waiter.until) return true;
      const retryAfterMs = this.untilNextToken(workspace, account);
      account.report.refused++;
      waiter.reply.answer({kind: 'refused', retryAfterMs});
      return false;
    });
    this.reportRefusals(workspace, account, now);
    const asked = tokensToRequest(account.bucket, account.waiting.length, now);
    if (asked > 0 && now >= account.askAt) {
      account.askAt = now + ASK_INTERVAL_MS;
      this.askPeers(workspace, account, asked);
    }
  }

  private reportRefusals(
    workspace: string,
    {limits, bucket, report}: Account,
    now: number,
  ): void {
    if (now - report.startedAt < REPORT_INTERVAL_MS) return;
    if (report.refused > 0) {
      const {admitted, refused} = report;
      const sharePpm = this.deps.sharePpm(workspace);
      const {tokens} = bucket;
      this.deps.log.info(
        {
          event: 'quota.refused',
          workspace,
          admitted,
          refused,
          limits,
          sharePpm,
          tokens,
        },
        'refused statements because the workspace had no tokens left',
      );
    }
    report.startedAt = now;
    report.admitted = 0;
    report.refused = 0;
  }

  private isInStartPeriod(now: number): boolean {
    if (this.sharesKnownSince === undefined && this.deps.hasProvenShares()) {
      this.sharesKnownSince = now;
    }
    const since = this.sharesKnownSince;
    return since === undefined || now - since < START_PERIOD_MS;
  }

  /** Estimated time in milliseconds until a token is available, at most 1 s. */
  private untilNextToken(workspace: string, {limits, bucket}: Account): number {
    const sharePpm = this.rateHolderPpm(workspace);
    const perSecond = (limits.rate * sharePpm) / FULL_SHARE_PPM;
    const missing = Math.max(0, 1 - bucket.tokens);
    return Math.min(
      1_000,
      Math.ceil((missing / Math.max(1, perSecond)) * 1_000),
    );
  }

  /** Share of the rate, in parts per million, that each rate holder has. */
  private rateHolderPpm(workspace: string): number {
    const holderCount = this.deps.rateHolders(workspace).length;
    return holderCount > 0 ? FULL_SHARE_PPM / holderCount : 0;
  }

  private roleIn(workspace: string): 'rate-holder' | 'without-share' {
    return this.deps.sharePpm(workspace) > 0 ? 'rate-holder' : 'without-share';
  }

  private askPeers(workspace: string, account: Account, tokens: number): void {
    const {peers, rateHolders} = this.deps;
    const holders = rateHolders(workspace);
    const candidates = holders.filter(name => !account.emptyPeers.has(name));
    const names = peers.sample(
      requestedPeerCount(
        account.limits,
        this.rateHolderPpm(workspace),
        tokens,
        this.roleIn(workspace),
      ),
      account.donor,
      candidates.length > 0 ? candidates : holders,
    );
    const tokensPerPeer = tokens / Math.max(1, names.length);
    account.pendingRequests += names.length;
    for (const from of names) {
      void this.deps.peers
        .tokens(from, workspace, tokensPerPeer, ASK_TIMEOUT_MS)
        .then(result =>
          this.tell({
            kind: 'received',
            workspace,
            from,
            tokens: result.ok ? result.value : 0,
          }),
        );
    }
  }

  private applyReceivedTokens(
    {workspace, from, tokens}: Extract<QuotaMessage, {kind: 'received'}>,
    now: number,
  ): void {
    const account = this.accounts.get(workspace);
    if (!account) return;
    account.pendingRequests--;
    if (tokens > 0) {
      account.donor = from;
      account.emptyPeers.clear();
      account.bucket = {
        ...account.bucket,
        tokens: Math.min(account.limits.burst, account.bucket.tokens + tokens),
      };
    } else {
      if (account.donor === from) account.donor = undefined;
      account.emptyPeers.add(from);
      this.scheduleNextRequest(workspace, account, now);
    }
    this.serve(workspace, account, now);
  }

  /**
   * Decides when peers are asked again after one had no tokens. A VM without a
   * share asks another one at once, but only after all answers have arrived: each
   * of several answers would otherwise start several further requests.
   */
  private scheduleNextRequest(
    workspace: string,
    account: Account,
    now: number,
  ): void {
    const isOther =
      this.roleIn(workspace) === 'without-share' &&
      account.emptyPeers.size < MAX_EMPTY_PEERS;
    if (isOther) {
      if (account.pendingRequests === 0) account.askAt = now;
    } else if (account.donor === undefined) {
      account.askAt = Math.max(account.askAt, now + NO_TOKENS_BACKOFF_MS);
      if (account.pendingRequests === 0) account.emptyPeers.clear();
    }
  }

  /**
   * Takes tokens out of the bucket for a peer; none while operations wait here.
   */
  private donateTokens(workspace: string, asked: number, now: number): number {
    const account = this.accounts.get(workspace);
    if (!account || account.waiting.length > 0) return 0;
    this.accrue(workspace, account, now);
    const given = tokensToTransfer(account.bucket, asked, now);
    account.bucket = {
      ...account.bucket,
      tokens: account.bucket.tokens - given,
    };
    return given;
  }

  private addTokens(workspace: string, tokens: number, now: number): void {
    const account = this.accounts.get(workspace);
    if (!account) return;
    this.accrue(workspace, account, now);
    const {bucket, limits} = account;
    account.bucket = {
      ...bucket,
      tokens: Math.min(limits.burst, bucket.tokens + tokens),
    };
  }

  private accrue(workspace: string, account: Account, now: number): void {
    account.bucket = accrueTokens(
      account.bucket,
      account.limits,
      this.deps.sharePpm(workspace),
      now,
    );
  }

  private scheduleTick(): void {
    if (this.ticker) return;
    const isWaiting = [...this.accounts.values()].some(
      account => account.waiting.length > 0,
    );
    if (!isWaiting) return;
    this.ticker = setTimeout(() => {
      this.ticker = undefined;
      this.tell({kind: 'tick'});
    }, QUEUE_CHECK_INTERVAL_MS);
  }
}
