import {
  hasUnsureRevocation,
  initialShares,
  latestStoreTime,
  earliestStoreTime,
  mayStillHoldRight,
  nextShares,
} from '@pistachiorill/core';
import type {Result} from '@pistachiorill/core';
import type {
  RowTransaction,
  StoreWriteError,
  TransactionAnswer,
} from '@pistachiorill/store';
import {Task} from '@pistachiorill/tasks';
import type {Clock} from '@pistachiorill/tasks';
import type {Logger} from '@pistachiorill/telemetry';
import type {PeerSet} from '../peers/peer_set.js';
import {SHARES_KEY, vmKey} from './fleet_rows.js';
import {isProven} from './fleet_view.js';
import type {FleetView} from './fleet_view.js';

const KEEP_INTERVAL_MS = 2_000;
/** The same until the first table is written and each loss is certain. */
const UNSETTLED_INTERVAL_MS = 500;
const PING_TIMEOUT_MS = 400;
/**
 * A VM that has not answered for this long is taken to be lost. The sooner it
 * is, the sooner no change of primary has to wait for it; one that lives
 * registers again.
 */
const LOST_AFTER_MS = 4_000;
/** VMs start together; the first table waits until all have registered. */
const FIRST_TABLE_AFTER_MS = 1_500;

export interface ShareKeeperTools {
  readonly vm: string;
  readonly view: () => FleetView;
  readonly transact: (
    transaction: RowTransaction,
  ) => Promise<Result<TransactionAnswer, StoreWriteError>>;
  readonly peers: PeerSet;
  readonly clock: Clock;
  readonly log: Logger;
  readonly onFailed: (err: unknown) => void;
}

export type ShareKeeperMessage =
  {readonly kind: 'keep'} | {readonly kind: 'stop'};

/**
 * Divides the rates among the VMs. The VM whose name comes first among those
 * that answer does it; a second one at the same time does no harm, as each
 * change depends on the version of the row.
 */
export class ShareKeeper extends Task<ShareKeeperMessage> {
  private timer: NodeJS.Timeout | undefined;
  private readonly answeredAt = new Map<string, number>();
  private provenSince: number | undefined;
  private phase: 'running' | 'stopped' = 'running';

  constructor(private readonly tools: ShareKeeperTools) {
    super();
  }

  protected override async handle(message: ShareKeeperMessage): Promise<void> {
    if (message.kind === 'stop') {
      this.phase = 'stopped';
      clearTimeout(this.timer);
      return;
    }
    if (this.phase === 'stopped') return;
    await this.keep();
    const shares = this.tools.view().rows.shares?.value;
    const isSettled = shares && !hasUnsureRevocation(shares);
    const wait = isSettled ? KEEP_INTERVAL_MS : UNSETTLED_INTERVAL_MS;
    this.timer = setTimeout(() => this.tell({kind: 'keep'}), wait);
  }

  protected override onFailure(err: unknown): void {
    this.tools.onFailed(err);
    this.timer = setTimeout(() => this.tell({kind: 'keep'}), KEEP_INTERVAL_MS);
  }

  private async keep(): Promise<void> {
    const {vm, view, clock} = this.tools;
    const rows = view().rows;
    const now = clock();
    const known = view().proof !== undefined && rows.vms.has(vm);
    if (!known) return;
    this.provenSince ??= now;
    const names = [...rows.vms.keys()].sort();
    if (!(await this.isFirst(names))) return;
    if (!rows.shares) {
      if (now - this.provenSince < FIRST_TABLE_AFTER_MS) return;
      await this.write(initialShares(names), 0, []);
      return;
    }
    if (!isProven(view(), clock())) return;
    const shared = Object.keys(rows.shares.value);
    const all = [...new Set([...names, ...shared])];
    await this.pingAll(all);
    const at = latestStoreTime(view().storeClock, clock());
    const earliest = earliestStoreTime(view().storeClock, clock());
    const lost = all.filter(name => this.isLost(name));
    const next = nextShares(rows.shares.value, {
      present: names.filter(name => !lost.includes(name)),
      lost,
      at,
      isExpired: lostBy => !mayStillHoldRight(lostBy, earliest),
    });
    if (!next) return;
    const expired = shared.filter(name => !next[name]);
    await this.write(next, rows.shares.version, expired);
  }

  /** Whether no VM with an earlier name answers. */
  private async isFirst(names: readonly string[]): Promise<boolean> {
    for (const name of names) {
      if (name === this.tools.vm) return true;
      if (await this.ping(name)) return false;
    }
    return true;
  }

  private async pingAll(names: readonly string[]): Promise<void> {
    const others = names.filter(name => name !== this.tools.vm);
    await Promise.all(others.map(name => this.ping(name)));
  }

  private async ping(name: string): Promise<boolean> {
    const now = this.tools.clock();
    if (!this.answeredAt.has(name)) this.answeredAt.set(name, now);
    const answer = await this.tools.peers.ping(name, PING_TIMEOUT_MS);
    if (answer.ok) this.answeredAt.set(name, this.tools.clock());
    return answer.ok;
  }

  private isLost(name: string): boolean {
    if (name === this.tools.vm) return false;
    const answered = this.answeredAt.get(name);
    return (
      answered !== undefined && this.tools.clock() - answered > LOST_AFTER_MS
    );
  }

  private async write(
    table: object,
    version: number,
    expired: readonly string[],
  ): Promise<void> {
    const {vms} = this.tools.view().rows;
    const gone = expired.filter(name => vms.has(name));
    const expected = new Map([[SHARES_KEY, version]]);
    for (const name of gone) {
      expected.set(vmKey(name), vms.get(name)?.version ?? 0);
    }
    const result = await this.tools.transact({
      expected,
      puts: new Map([[SHARES_KEY, JSON.stringify(table)]]),
      removals: gone.map(vmKey),
    });
    this.tools.log.info(
      {event: 'shares.written', table, result: result.ok ? 'done' : result.err},
      'divided the rates among the VMs',
    );
  }
}
