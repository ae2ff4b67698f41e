import {
  WHOLE_PPM,
  accrueTokens,
  emptyBucket,
  noteDemand,
  peersToAsk,
  tokensToAsk,
  tokensToGive,
} from '@pistachiorill/core';
import type {QuotaLimits, TokenBucket} from '@pistachiorill/core';
import {Task} from '@pistachiorill/tasks';
import type {Clock, Reply} from '@pistachiorill/tasks';
import type {Logger} from '@pistachiorill/telemetry';
import type {PeerSet} from '../peers/peer_set.js';

/** How often a VM asks its peers for tokens of one workspace. */
const ASK_INTERVAL_MS = 60;
/** How long a VM waits before it asks again after no peer had any. */
const DRY_BACKOFF_MS = 250;
/**
 * A VM starts without tokens. Until it has accrued some, waiting for one is
 * better than a refusal.
 */
const STARTING_MS = 2_000;
const ASK_TIMEOUT_MS = 150;
const TICK_MS = 20;
/** How often refusals of a workspace are summed up in the log. */
const REPORT_INTERVAL_MS = 5_000;

export type Admission =
  | {readonly kind: 'admitted'}
  | {readonly kind: 'refused'; readonly retryAfterMs: number};

export type QuotaMessage =
  | {
      readonly kind: 'limits';
      readonly limits: ReadonlyMap<string, QuotaLimits>;
    }
  | {
      readonly kind: 'admit';
      readonly workspace: string;
      readonly until: number;
      /** When the wait ends while the VM has just started. */
      readonly untilAtStart: number;
      readonly reply: Reply<Admission>;
    }
  /** Returns the token of an operation that certainly did not run. */
  | {readonly kind: 'refund'; readonly workspace: string}
  /** A peer asks for tokens; the answer is what it may add to its own. */
  | {
      readonly kind: 'give';
      readonly workspace: string;
      readonly asked: number;
      readonly reply: Reply<number>;
    }
  | {
      readonly kind: 'received';
      readonly workspace: string;
      readonly from: string;
      readonly tokens: number;
    }
  | {readonly kind: 'tick'};

export interface QuotaTools {
  readonly clock: Clock;
  /** When this process started, on the same clock. */
  readonly startedAt: number;
  /** The VM's part of a rate in parts per million, 0 while unproven. */
  readonly sharePpm: (workspace: string) => number;
  /** The VMs that hold the rate of a workspace. */
  readonly homes: (workspace: string) => readonly string[];
  /** Whether this VM knows what it may spend. */
  readonly knowsShares: () => boolean;
  readonly peers: PeerSet;
  readonly log: Logger;
  readonly onFailed: (err: unknown) => void;
}

interface Account {
  limits: QuotaLimits;
  bucket: TokenBucket;
  waiting: Array<{readonly until: number; readonly reply: Reply<Admission>}>;
  askAt: number;
  /** The peer that last had tokens to give. */
  lender: string | undefined;
  /** What was decided since the last report. */
  report: {startedAt: number; admitted: number; refused: number};
}

/** Owns the VM's tokens of every workspace. */
export class QuotaTask extends Task<QuotaMessage> {
  private readonly accounts = new Map<string, Account>();
  private ticker: NodeJS.Timeout | undefined;
  /** When the VM first knew the shares. */
  private spendingSince: number | undefined;

  constructor(private readonly tools: QuotaTools) {
    super();
  }

  protected override handle(message: QuotaMessage): void {
    const now = this.tools.clock();
    switch (message.kind) {
      case 'limits':
        this.setLimits(message.limits, now);
        break;
      case 'admit':
        this.admit(message, now);
        break;
      case 'refund':
        this.add(message.workspace, 1, now);
        break;
      case 'give':
        message.reply.answer(this.give(message.workspace, message.asked, now));
        break;
      case 'received':
        this.received(message, now);
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
    this.tools.onFailed(err);
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
    // No earlier process of this VM spent the share after this one started.
    const accruedFrom = this.accounts.size === 0 ? this.tools.startedAt : now;
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
          lender: undefined,
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
    account.bucket = noteDemand(account.bucket, now);
    const {until, untilAtStart, reply} = message;
    account.waiting.push({
      until: this.isStarting(now) ? untilAtStart : until,
      reply,
    });
    this.serve(message.workspace, account, now);
  }

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
    const asked = tokensToAsk(account.bucket, account.waiting.length, now);
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
      const sharePpm = this.tools.sharePpm(workspace);
      const {tokens} = bucket;
      this.tools.log.info(
        {
          event: 'quota.refused',
          workspace,
          admitted,
          refused,
          limits,
          sharePpm,
          tokens,
        },
        'statements were refused for want of tokens',
      );
    }
    report.startedAt = now;
    report.admitted = 0;
    report.refused = 0;
  }

  private isStarting(now: number): boolean {
    if (this.spendingSince === undefined && this.tools.knowsShares()) {
      this.spendingSince = now;
    }
    const since = this.spendingSince;
    return since === undefined || now - since < STARTING_MS;
  }

  private untilNextToken(workspace: string, {limits, bucket}: Account): number {
    const sharePpm = this.lenderPpm(workspace);
    const perSecond = (limits.rate * sharePpm) / WHOLE_PPM;
    const missing = Math.max(0, 1 - bucket.tokens);
    return Math.min(
      1_000,
      Math.ceil((missing / Math.max(1, perSecond)) * 1_000),
    );
  }

  /** The part of a rate that a VM that is asked for tokens has. */
  private lenderPpm(workspace: string): number {
    const homes = this.tools.homes(workspace).length;
    return homes > 0 ? WHOLE_PPM / homes : 0;
  }

  private askPeers(workspace: string, account: Account, tokens: number): void {
    const {peers, homes} = this.tools;
    const names = peers.sample(
      peersToAsk(account.limits, this.lenderPpm(workspace), tokens),
      account.lender,
      homes(workspace),
    );
    const each = tokens / Math.max(1, names.length);
    for (const from of names) {
      void this.tools.peers
        .tokens(from, workspace, each, ASK_TIMEOUT_MS)
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

  private received(
    {workspace, from, tokens}: Extract<QuotaMessage, {kind: 'received'}>,
    now: number,
  ): void {
    const account = this.accounts.get(workspace);
    if (!account) return;
    if (tokens > 0) {
      account.lender = from;
      account.bucket = {
        ...account.bucket,
        tokens: Math.min(account.limits.burst, account.bucket.tokens + tokens),
      };
    } else {
      if (account.lender === from) account.lender = undefined;
      if (account.lender === undefined) {
        account.askAt = Math.max(account.askAt, now + DRY_BACKOFF_MS);
      }
    }
    this.serve(workspace, account, now);
  }

  private give(workspace: string, asked: number, now: number): number {
    const account = this.accounts.get(workspace);
    if (!account || account.waiting.length > 0) return 0;
    this.accrue(workspace, account, now);
    const given = tokensToGive(account.bucket, asked, now);
    account.bucket = {
      ...account.bucket,
      tokens: account.bucket.tokens - given,
    };
    return given;
  }

  private add(workspace: string, tokens: number, now: number): void {
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
      this.tools.sharePpm(workspace),
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
    }, TICK_MS);
  }
}
