import {
  UNKNOWN_STORE_CLOCK,
  eraOf,
  latestStoreTime,
  narrowStoreClock,
  widenStoreClock,
} from '@pistachiorill/core';
import type {StoreClock, StoreProof} from '@pistachiorill/core';
import {TableCopy} from '@pistachiorill/store';
import type {
  CopyUpdate,
  StoreTiming,
  TableReadResult,
} from '@pistachiorill/store';
import type {ReadScope} from './fleet_message.js';
import type {RowDecoder} from './fleet_rows.js';
import type {EraView, FleetView} from './fleet_view.js';
import {LeadershipHistory} from './leadership_history.js';
import {joinedState} from './registration.js';
import type {RegisteredProcess} from './registration.js';
import {applyRelayedRows, narrowByRelay} from './relayed_rows.js';
import type {RelayedRows} from './relayed_rows.js';

/** The copy of the rows that all VMs share, the proof of its age, and its era. */
export class FleetState {
  readonly copy = new TableCopy();
  private newestProof: StoreProof | undefined;
  private clock: StoreClock = UNKNOWN_STORE_CLOCK;
  private era: EraView | undefined;
  private readonly leadership = new LeadershipHistory();
  private currentView: FleetView;

  constructor(
    private readonly process: RegisteredProcess,
    private readonly decoder: RowDecoder,
  ) {
    this.currentView = this.decode();
  }

  /** The state as it was decoded or refreshed last. */
  get view(): FleetView {
    return this.currentView;
  }

  get proof(): StoreProof | undefined {
    return this.newestProof;
  }

  /** Bounds of the offset between the store's clock and this VM's. */
  get storeClock(): StoreClock {
    return this.clock;
  }

  proofAgeMs(now: number): number {
    if (!this.newestProof) return Infinity;
    return latestStoreTime(this.clock, now) - this.newestProof.asOfStoreMs;
  }

  /** Applies an answer of the store, unless the copy is newer. */
  apply(scope: ReadScope, answer: TableReadResult): CopyUpdate {
    this.updateStoreClock(answer);
    const applied =
      scope === 'all' ? this.copy.replace(answer) : this.copy.update(answer);
    // A peer's copy arrived first and is newer.
    if (applied === 'stale') return applied;
    this.noteEra(answer.receivedAt);
    this.advanceProof(answer.storeMs);
    return applied;
  }

  /** Applies a peer's changes, unless the copy is newer. */
  applyRelayed(relayed: RelayedRows, sentAt: number, receivedAt: number): void {
    this.clock = narrowByRelay(this.clock, relayed, sentAt, receivedAt);
    if (applyRelayedRows(this.copy, relayed) === 'stale') return;
    this.noteEra(receivedAt);
    this.advanceProof(relayed.asOfStoreMs);
  }

  updateStoreClock({storeMs, sentAt, receivedAt}: StoreTiming): void {
    this.clock = narrowStoreClock(this.clock, storeMs, sentAt, receivedAt);
  }

  /** Widens the bounds of the store's clock after this VM's clock jumped. */
  skipClock(skippedMs: number): void {
    this.clock = widenStoreClock(this.clock, skippedMs);
  }

  /** Decodes the rows into a new view. */
  decode(): FleetView {
    const rows = this.decoder.decode(this.copy.values());
    return this.update(this.leadership.complete(rows, this.copy.version));
  }

  /** Renews the view without decoding the rows, which are unchanged. */
  refresh(): FleetView {
    return this.update(this.currentView.rows);
  }

  private update(rows: FleetView['rows']): FleetView {
    const {version} = this.copy;
    this.currentView = {
      rows,
      version,
      proof: this.newestProof,
      storeClock: this.clock,
      joined: joinedState(this.process, rows, version),
      era: this.era,
    };
    return this.currentView;
  }

  private noteEra(now: number): void {
    const number = eraOf(this.copy.version);
    const {era} = this;
    if (era && number <= era.number) return;
    this.leadership.endEra(this.currentView.rows, this.newestProof);
    const start = era ? 'observed' : 'not-observed';
    this.era = {number, seenAt: now, start};
  }

  private advanceProof(asOfStoreMs: number): void {
    const {newestProof} = this;
    if (newestProof && newestProof.asOfStoreMs >= asOfStoreMs) return;
    this.newestProof = {asOfStoreMs};
  }
}
