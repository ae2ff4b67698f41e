import {representativesOf} from '../../common/representatives.js';
import {WHOLE_PPM} from '../quota_limits.js';
import {isRevoked} from './share_table.js';
import type {ShareTable} from './share_table.js';

/**
 * The VMs that accrue a workspace's tokens. In a large fleet a part for each
 * VM would be less than a token, and one token the sum of many messages; there
 * a few VMs, chosen by the workspace's name, hold the rate. A VM that is lost
 * keeps its place until its share is given away.
 */
export function homesOf(
  table: ShareTable,
  workspace: string,
): readonly string[] {
  const vms = Object.keys(table).filter(vm => (table[vm]?.ppm ?? 0) > 0);
  return representativesOf(workspace, vms);
}

/** The part of a workspace's rate that one of its homes may spend. */
export function homeShare(
  table: ShareTable,
  homes: readonly string[],
  vm: string,
): number {
  if (!homes.includes(vm) || isRevoked(table, vm)) return 0;
  const isWholeFleet =
    homes.length === Object.values(table).filter(entry => entry.ppm > 0).length;
  if (isWholeFleet) return table[vm]?.ppm ?? 0;
  return Math.floor(WHOLE_PPM / homes.length);
}
