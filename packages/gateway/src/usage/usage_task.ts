import {
  NO_WALL_TIME,
  READING_INTERVAL_MS,
  WindowCounts,
  backupIntervalMs,
  backupOrder,
  changedCounts,
  higherCounts,
  needsBackup,
  noteClockSkip,
  noteReading,
  oldestUseful,
  resolveClockSkip,
  rendezvousOrder,
  shiftBy,
  wallTimeAt,
  windowAt,
} from '@pistachiorill/core';
import type {
  CountsByWindow,
  ProcessCounts,
  UsageBounds,
  WorkspaceCounts,
} from '@pistachiorill/core';
import {Task} from '@pistachiorill/tasks';
import type {Clock, Reply} from '@pistachiorill/tasks';
import type {FleetView} from '../fleet/fleet_view.js';
import type {UsageAnswer} from '../peers/gateway_handlers.js';
import type {KeptCounts} from '../peers/gateway_router.js';
import type {PeerSet} from '../peers/peer_set.js';
import {ANONYMOUS_WORKSPACE} from '../session/session_statement.js';

const TICK_INTERVAL_MS = 500;
/** A timer may fire a little early. */
const TICK_TOLERANCE_MS = 50;
const BACKUP_TIMEOUT_MS = 400;
/** A stop waits this long for the VMs that keep the counts. */
const HAND_OVER_TIMEOUT_MS = 300;
const HAND_OVER_PEERS = 2;
/** Key by which the VMs are ordered. */
const ORDER_KEY = 'usage';

/** Messages that the usage task handles. */
export type UsageMessage =
  | {readonly kind: 'start'}
  /** A statement was sent to a member, or turned out not to have begun. */
  | {
      readonly kind: 'statement';
      readonly workspace: string;
      readonly state: 'begun' | 'not-begun';
      readonly at: number;
    }
  /** Asks for the counts of a window that this VM has. */
  | {
      readonly kind: 'counts';
      readonly window: number;
      readonly reply: Reply<UsageAnswer>;
    }
  /** Another VM's counts so far, in case it ends. */
  | {readonly kind: 'keep'; readonly counts: KeptCounts}
  | {readonly kind: 'clock-skipped'; readonly skippedMs: number}
  /** Other VMs show that the estimated wall-clock time is wrong. */
  | {readonly kind: 'correct'; readonly byMs: number}
  | {readonly kind: 'tick'}
  /** Passes the counts on before this process exits. */
  | {readonly kind: 'hand-over'; readonly reply: Reply<void>}
  | {readonly kind: 'stop'};

/** Collaborators of the usage task. */
export interface UsageDependencies {
  readonly vm: string;
  readonly incarnation: string;
  readonly bounds: UsageBounds;
  readonly view: () => FleetView;
  readonly peers: PeerSet;
  readonly clock: Clock;
  /** The wall clock of the machine, which may jump. */
  readonly wallClock: () => number;
  readonly onFailed: (err: unknown) => void;
}

/** The counts of another process, by window. */
type KeptWindows = Map<number, WorkspaceCounts>;

/** Counts the statements that members begin to run for this VM, by window. */
export class UsageTask extends Task<UsageMessage> {
  private readonly own = new WindowCounts();
  /** Counts of other processes, by VM and incarnation. */
  private readonly kept = new Map<string, KeptProcess>();
  private wallTime = NO_WALL_TIME;
  private lastReadingAt = -Infinity;
  private backup: 'up-to-date' | 'outdated' = 'up-to-date';
  private lastBackupAt = -Infinity;
  /** What another VM keeps of this one. */
  private backedUp: Backup | undefined;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly deps: UsageDependencies) {
    super();
    this.readWallClock();
  }

  /** The estimated wall-clock time at a time of this VM's clock. */
  wallTimeAt(at: number): number {
    return wallTimeAt(this.wallTime, at);
  }

  protected override handle(message: UsageMessage): void {
    switch (message.kind) {
      case 'start':
      case 'tick':
        this.tick();
        return;
      case 'statement':
        this.count(message.workspace, message.state, message.at);
        return;
      case 'counts':
        message.reply.answer(this.countsOf(message.window));
        return;
      case 'keep':
        this.keep(message.counts);
        return;
      case 'clock-skipped':
        this.wallTime = noteClockSkip(
          this.wallTime,
          message.skippedMs,
          this.deps.view().storeClock.maxOffset,
        );
        return;
      case 'correct':
        this.wallTime = shiftBy(this.wallTime, message.byMs);
        return;
      case 'hand-over':
        this.runInBackground(async () => {
          const targets = this.keepers('holder-first').slice(
            0,
            HAND_OVER_PEERS,
          );
          await this.passOn(this.own.all, targets, HAND_OVER_TIMEOUT_MS);
          message.reply.answer();
        });
        return;
      case 'stop':
        clearTimeout(this.timer);
        return;
    }
  }

  protected override onFailure(err: unknown): void {
    this.deps.onFailed(err);
  }

  private tick(): void {
    clearTimeout(this.timer);
    this.timer = setTimeout(() => this.tell({kind: 'tick'}), TICK_INTERVAL_MS);
    this.wallTime = resolveClockSkip(
      this.wallTime,
      this.deps.view().storeClock,
    );
    this.readWallClock();
    this.removeOld();
    this.backUp();
  }

  /** Passes the counts that changed on to a VM, if those of this VM matter. */
  private backUp(): void {
    const {clock, peers} = this.deps;
    const now = clock();
    const vmCount = peers.names.length + 1;
    const intervalMs = backupIntervalMs(vmCount);
    if (this.backup === 'up-to-date') return;
    if (now - this.lastBackupAt < intervalMs - TICK_TOLERANCE_MS) return;
    const counts = this.own.all;
    if (!needsBackup(counts, vmCount)) return;
    const [keeper] = this.keepers(backupOrder(vmCount));
    if (keeper === undefined) return;
    this.backup = 'up-to-date';
    this.lastBackupAt = now;
    const process = this.processOf(keeper);
    const kept = this.backedUp?.process === process ? this.backedUp : undefined;
    const changed = changedCounts(counts, kept?.counts ?? new Map());
    this.runInBackground(async () => {
      const outcome = await this.passOn(changed, [keeper], BACKUP_TIMEOUT_MS);
      if (outcome === 'failed') this.backup = 'outdated';
      else this.backedUp = {process, counts};
    });
  }

  /** Names a VM's process; one that restarted has lost what it kept. */
  private processOf(vm: string): string {
    const registration = this.deps.view().rows.vms.get(vm)?.value;
    return `${vm} ${registration?.incarnation ?? ''}`;
  }

  private readWallClock(): void {
    const {clock, wallClock} = this.deps;
    const now = clock();
    if (now - this.lastReadingAt < READING_INTERVAL_MS) return;
    this.lastReadingAt = now;
    this.wallTime = noteReading(this.wallTime, wallClock(), now);
  }

  private count(
    workspace: string,
    state: 'begun' | 'not-begun',
    at: number,
  ): void {
    if (workspace === ANONYMOUS_WORKSPACE) return;
    const window = windowAt(this.wallTimeAt(at), this.deps.bounds);
    this.own.add(window, workspace, state === 'begun' ? 1 : -1);
    this.backup = 'outdated';
  }

  private countsOf(window: number): UsageAnswer {
    const {vm, incarnation, clock} = this.deps;
    const kept = [...this.kept.values()].flatMap(process => {
      const counts = process.windows.get(window);
      return counts ? [{...process.name, counts}] : [];
    });
    const own = {vm, incarnation, counts: this.own.of(window)};
    return {wallMs: this.wallTimeAt(clock()), processes: [own, ...kept]};
  }

  private keep({vm, incarnation, windows}: KeptCounts): void {
    const key = `${vm} ${incarnation}`;
    const process = this.kept.get(key) ?? {
      name: {vm, incarnation},
      windows: new Map(),
    };
    this.kept.set(key, process);
    for (const {window, counts} of windows) {
      const before = process.windows.get(window) ?? {};
      process.windows.set(window, higherCounts(before, counts));
    }
    this.removeOld();
  }

  /** Removes the windows that no report can need any more. */
  private removeOld(): void {
    const {clock, bounds} = this.deps;
    const oldest = oldestUseful(this.wallTimeAt(clock()), bounds);
    this.own.removeBefore(oldest);
    for (const [key, {windows}] of this.kept) {
      for (const window of windows.keys()) {
        if (window < oldest) windows.delete(window);
      }
      if (windows.size === 0) this.kept.delete(key);
    }
  }

  /** Passes counts on to VMs that may be asked for them instead. */
  private async passOn(
    counts: CountsByWindow,
    targets: readonly string[],
    timeoutMs: number,
  ): Promise<'done' | 'failed'> {
    const {vm, incarnation, peers} = this.deps;
    const windows = [...counts].map(([window, byWorkspace]) => ({
      window,
      counts: byWorkspace,
    }));
    const kept = {vm, incarnation, windows};
    const answers = await Promise.all(
      targets.map(target => peers.keepUsage(target, kept, timeoutMs)),
    );
    return answers.some(answer => answer.ok) ? 'done' : 'failed';
  }

  /** The VMs that may keep the counts, those that do not answer last. */
  private keepers(order: 'holder-first' | 'spread'): readonly string[] {
    const {peers, view, vm} = this.deps;
    const holder = view().rows.usageLease?.value.holder;
    const first = order === 'holder-first' ? holder : undefined;
    const key = order === 'holder-first' ? ORDER_KEY : `${ORDER_KEY}/${vm}`;
    const isSilent = (name: string): number =>
      peers.isUnresponsive(name) ? 1 : 0;
    const isOther = (name: string): number => (name === first ? 0 : 1);
    return rendezvousOrder(key, peers.names).sort(
      (a, b) => isSilent(a) - isSilent(b) || isOther(a) - isOther(b),
    );
  }
}

/** The counts that a process of another VM keeps for this one. */
interface Backup {
  readonly process: string;
  readonly counts: CountsByWindow;
}

/** What this VM keeps of another process. */
interface KeptProcess {
  readonly name: Omit<ProcessCounts, 'counts'>;
  readonly windows: KeptWindows;
}
