/**
 * Measures the control traffic and the CPU time of the membership protocol for
 * each VM. All VMs run in this process and communicate over the loopback
 * interface, so the figures show how the cost grows with the fleet.
 */
import {performance} from 'node:perf_hooks';
import {
  Worker,
  isMainThread,
  parentPort,
  workerData,
} from 'node:worker_threads';
import {Random, ok} from '@pistachiorill/core';
import {PeerServer, servedPeerRouter} from '@pistachiorill/peers';
import {VmList} from '@pistachiorill/store';
import type {ListedVm} from '@pistachiorill/store';
import {OwnerTask} from '../forward/owner_task.js';
import {NO_PAYLOADS} from '../membership/gossip_payloads.js';
import {MembershipTask} from '../membership/membership_task.js';
import type {MembershipView} from '../membership/membership_view.js';
import {EntryPeerHandlers} from '../peers/entry_peer_handlers.js';

const FLEET_SIZES = (process.argv[2] ?? '4,16,64').split(',').map(Number);
const WINDOW_MS = 10_000;
const PORT = 42_000;
const STORE_POLL_MS = 1_000;
const START_INTERVAL_MS = 100;
const JOIN_TIMEOUT_MS = 30_000;
const REPORT_INTERVAL_MS = 200;
const MAX_THREADS = 8;

/** Returns the same list of VMs on every read. */
class FixedList extends VmList {
  constructor(private readonly vms: readonly ListedVm[]) {
    super();
  }

  override async read() {
    return ok(this.vms);
  }
}

/** One VM of the fleet, with its membership task and peer server. */
class MeasuredVm {
  view: MembershipView | undefined;
  readonly server: PeerServer;
  private readonly membership: MembershipTask;
  private readonly owner: OwnerTask;
  private readonly clock = () => performance.now();

  constructor(
    private readonly vm: ListedVm,
    list: readonly ListedVm[],
    seed: number,
  ) {
    const {clock} = this;
    const onFault = (err: unknown): void => console.error(err);
    this.membership = new MembershipTask({
      self: {...vm, instance: `instance-${vm.vm}`},
      incarnation: Date.now(),
      list: new FixedList(list),
      random: new Random(seed),
      clock,
      payloads: NO_PAYLOADS,
      onView: view => {
        this.view = view;
      },
      onListed: () => undefined,
      onFault,
    });
    this.owner = new OwnerTask({
      local: () => undefined,
      context: () => undefined,
      clock,
      onFault,
    });
    this.server = new PeerServer(
      servedPeerRouter(
        new EntryPeerHandlers(this.membership, this.owner, {
          configuration: async () => ({kind: 'missing'}),
          announce: () => undefined,
          ledger: async () => ({kind: 'missing'}),
          loan: async () => {
            throw new Error('no loans');
          },
          report: () => undefined,
        }),
      ),
      onFault,
    );
    setInterval(() => this.readStore(), STORE_POLL_MS);
  }

  async start(): Promise<void> {
    await this.server.listen(this.vm.address);
    this.membership.tell({kind: 'start'});
  }

  get aliveCount(): number {
    const peers = this.view?.peers ?? [];
    return peers.filter(entry => entry.state === 'alive').length;
  }

  private readStore(): void {
    for (const row of ['configuration', 'ledger'] as const) {
      this.membership.tell({
        kind: 'authority',
        event: {kind: 'row-read', row, version: 0, startedAt: this.clock()},
      });
    }
  }
}

/** The figures that one thread reports for its VMs. */
interface ThreadReport {
  /** Bytes that the peer servers have sent and received. */
  readonly bytes: number;
  /** The number of VMs that regard all others as alive. */
  readonly complete: number;
}

/** The VMs that one thread runs: `count` entries of the list from `first`. */
interface ThreadInput {
  readonly list: readonly ListedVm[];
  readonly first: number;
  readonly count: number;
}

function wait(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** Runs some of the VMs in this thread and reports their figures. */
async function runThread({list, first, count}: ThreadInput): Promise<void> {
  const vms = list
    .slice(first, first + count)
    .map((vm, index) => new MeasuredVm(vm, list, first + index + 1));
  for (const vm of vms) {
    await vm.start();
    await wait(START_INTERVAL_MS);
  }
  setInterval(() => {
    const report: ThreadReport = {
      bytes: vms
        .map(vm => vm.server.traffic)
        .reduce((sum, {received, sent}) => sum + received + sent, 0),
      complete: vms.filter(vm => vm.aliveCount === list.length - 1).length,
    };
    parentPort?.postMessage(report);
  }, REPORT_INTERVAL_MS);
}

/** Measures a fleet and returns its row of the result table. */
async function measure(size: number): Promise<string> {
  const list = Array.from({length: size}, (unused, index): ListedVm => ({
    vm: `vm-${index}`,
    dataCentre: `dc-${index % 4}`,
    address: `127.0.1.${index + 1}:${PORT}`,
    state: 'live',
  }));
  // VMs in the same thread delay each other, so several threads are used.
  const threads = Math.min(size, MAX_THREADS);
  const count = size / threads;
  const reports = new Map<number, ThreadReport>();
  const startedAt = performance.now();
  const workers = Array.from({length: threads}, (unused, index) => {
    const input: ThreadInput = {list, first: index * count, count};
    const worker = new Worker(new URL(import.meta.url), {workerData: input});
    worker.on('message', (report: ThreadReport) => reports.set(index, report));
    return worker;
  });
  const total = (name: keyof ThreadReport): number =>
    [...reports.values()].reduce((sum, report) => sum + report[name], 0);
  while (
    total('complete') < size &&
    performance.now() - startedAt < JOIN_TIMEOUT_MS
  ) {
    await wait(50);
  }
  const joinedAfterMs = performance.now() - startedAt;
  // Waits until the gossip about the start has ceased.
  await wait(WINDOW_MS);
  const bytesBefore = total('bytes');
  const cpuBefore = process.cpuUsage();
  await wait(WINDOW_MS);
  const bytes = total('bytes') - bytesBefore;
  const cpu = process.cpuUsage(cpuBefore);
  const incomplete = size - total('complete');
  await Promise.all(workers.map(worker => worker.terminate()));
  const seconds = WINDOW_MS / 1_000;
  // Each byte is sent by one VM and received by another.
  const bytesPerVm = (2 * bytes) / size / seconds;
  const cpuShare = (cpu.user + cpu.system) / 1e6 / seconds / size;
  return `| ${size} | ${(joinedAfterMs / 1_000).toFixed(1)} | ${bytesPerVm.toFixed(0)} | ${(cpuShare * 100).toFixed(2)} | ${incomplete} |`;
}

if (isMainThread) {
  console.log(
    '| VMs | fleet complete after s | bytes/s sent and received per VM | % of a core per VM | VMs with an incomplete view |',
  );
  console.log('|---|---|---|---|---|');
  for (const size of FLEET_SIZES) console.log(await measure(size));
} else {
  await runThread(workerData as ThreadInput);
}
