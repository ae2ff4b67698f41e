import {selectRepresentatives} from '../../common/representatives.js';
import {FULL_SHARE_PPM} from '../quota_limits.js';
import {isRevoked} from './share_table.js';
import type {ShareTable} from './share_table.js';

/**
 * Returns the rate holders of a workspace: the VMs that accrue its tokens. In a
 * large fleet, an even split would leave each VM less than one token, and each
 * token would have to be collected with many messages. There, a few VMs chosen
 * by the workspace's name hold the rate. A lost VM remains a rate holder until
 * its share is distributed.
 */
export function rateHoldersOf(
  table: ShareTable,
  workspace: string,
): readonly string[] {
  const vms = Object.keys(table).filter(vm => (table[vm]?.ppm ?? 0) > 0);
  return selectRepresentatives(workspace, vms);
}

/** Returns the share of a workspace's rate that a VM may spend. */
export function rateHolderSharePpm(
  table: ShareTable,
  holders: readonly string[],
  vm: string,
): number {
  if (!holders.includes(vm) || isRevoked(table, vm)) return 0;
  const isWholeFleet =
    holders.length ===
    Object.values(table).filter(entry => entry.ppm > 0).length;
  if (isWholeFleet) return table[vm]?.ppm ?? 0;
  return Math.floor(FULL_SHARE_PPM / holders.length);
}
