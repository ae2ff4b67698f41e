import {provenShares} from '../fleet/fleet_view.js';
import type {FleetView} from '../fleet/fleet_view.js';
import {QuotaTask} from '../quota/quota_task.js';
import {WorkspaceShares} from '../quota/workspace_shares.js';

/** The monotonic clock counts from the start of the process. */
const PROCESS_START_MS = 0;

type QuotaDependencies = ConstructorParameters<typeof QuotaTask>[0];

/** What the task of one VM needs, besides the shares in its view. */
type QuotaServices = Pick<
  QuotaDependencies,
  'clock' | 'peers' | 'log' | 'onFailed'
> & {readonly vm: string; readonly view: () => FleetView};

/** Creates the task that holds the VM's shares of the workspaces' rates. */
export function newQuotaTask({
  vm,
  view,
  clock,
  peers,
  log,
  onFailed,
}: QuotaServices): QuotaTask {
  const shares = new WorkspaceShares(vm);
  return new QuotaTask({
    clock,
    startedAt: PROCESS_START_MS,
    sharePpm: workspace => {
      const table = provenShares(view(), clock());
      return table ? shares.shareOf(table, workspace) : 0;
    },
    rateHolders: workspace => {
      const table = view().rows.shares?.value;
      return table ? shares.rateHoldersOf(table, workspace) : [];
    },
    hasProvenShares: () => provenShares(view(), clock()) !== undefined,
    peers,
    log,
    onFailed,
  });
}
