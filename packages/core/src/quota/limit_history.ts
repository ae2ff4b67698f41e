import {PROOF_VALIDITY_MS} from '../authority/authority_state.js';
import type {QuotaLimits} from './quota_limits.js';

/**
 * The limits of a workspace and those that they recently replaced. Other VMs
 * may still enforce replaced limits for as long as a proof is valid.
 */
export interface LimitHistory {
  readonly current: QuotaLimits;
  readonly replaced: ReadonlyArray<{
    readonly limits: QuotaLimits;
    readonly replacedAt: number;
  }>;
}

/** Records a change of limits. The first limits take effect at once. */
export function changeLimits(
  history: LimitHistory | undefined,
  limits: QuotaLimits,
  now: number,
): LimitHistory {
  if (!history) return {current: limits, replaced: []};
  const {current} = history;
  if (current.rate === limits.rate && current.burst === limits.burst) {
    return history;
  }
  return {
    current: limits,
    replaced: [
      ...history.replaced.filter(item => isRecent(item.replacedAt, now)),
      {limits: current, replacedAt: now},
    ],
  };
}

/**
 * Returns the effective limits. Lowered limits take effect at once, raised ones
 * when no other VM can still enforce the limits that they replaced.
 */
export function effectiveLimitsAt(
  history: LimitHistory,
  now: number,
): QuotaLimits {
  const recent = history.replaced
    .filter(item => isRecent(item.replacedAt, now))
    .map(item => item.limits);
  return {
    rate: Math.min(history.current.rate, ...recent.map(item => item.rate)),
    burst: Math.min(history.current.burst, ...recent.map(item => item.burst)),
  };
}

function isRecent(replacedAt: number, now: number): boolean {
  return now - replacedAt < PROOF_VALIDITY_MS;
}
