import {
  addPositionSample,
  mergePositionSamples,
  requiredPosition,
} from '@pistachiorill/core';
import type {PositionSample, PositionSamples} from '@pistachiorill/core';
import type {CheckoutRequest} from './checkout.js';
import type {DatabaseMessage} from './database_message.js';
import {AGE_MARGIN_MS} from './place_statement.js';

type CheckoutMessage = Extract<DatabaseMessage, {kind: 'check-out'}>;

/** Newer positions are requested once the newest known one is this old. */
const REFRESH_AGE_MS = 900;

/** Whether a read needs a more recent position of the primary. */
type PositionNeed =
  /** The known positions are recent enough. */
  | 'none'
  /** They soon will not be. */
  | 'soon'
  /** Without a newer one only the primary can run the read. */
  | 'now';

/**
 * The log positions that the primary reported, and the reads that wait for one
 * that another VM sampled.
 */
export class RecentPositions {
  private known: PositionSamples = [];
  private waiting: CheckoutMessage[] = [];

  get samples(): PositionSamples {
    return this.known;
  }

  /** Adds a position that the primary reported to this VM. */
  add(sample: PositionSample): void {
    this.known = addPositionSample(this.known, sample);
  }

  /** Adds positions of another VM; returns the reads that waited for them. */
  merge(samples: PositionSamples): readonly CheckoutMessage[] {
    this.known = mergePositionSamples(this.known, samples);
    const messages = this.waiting;
    this.waiting = [];
    return messages;
  }

  /**
   * Requests newer positions if a read needs one. Returns whether the read waits
   * for the next `merge`, which it does once.
   */
  holdBack(
    message: CheckoutMessage,
    now: number,
    request: () => 'requested' | 'not-sampled',
  ): boolean {
    const need = this.needOf(message.request, now);
    if (need === 'none' || message.positions === 'awaited') return false;
    const requested = request();
    if (need === 'soon' || requested === 'not-sampled') return false;
    this.waiting.push({...message, positions: 'awaited'});
    return true;
  }

  /** Returns whether a read needs a more recent position. */
  private needOf({requirement}: CheckoutRequest, now: number): PositionNeed {
    if (requirement.kind === 'primary') return 'none';
    const maxAgeMs = requirement.maxAgeMs - AGE_MARGIN_MS;
    if (!requiredPosition(this.known, maxAgeMs, now)) return 'now';
    const newestAt = this.known.at(-1)?.askedAt ?? -Infinity;
    return now - newestAt > REFRESH_AGE_MS ? 'soon' : 'none';
  }
}
