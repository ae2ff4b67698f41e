import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {FakeUsageFleet, USAGE_BOUNDS} from '../../testing/fake_usage_fleet.js';
import type {ReceivedReport} from '../../testing/fake_usage_fleet.js';

const {windowMs, lateMs, leaseMs} = USAGE_BOUNDS;
/** The first window of a run; it starts with the run. */
const FIRST = 400_000_000;
const START = FIRST * windowMs;

beforeEach(() => {
  vi.useFakeTimers({now: START});
});

afterEach(() => {
  vi.useRealTimers();
});

function runFor(seconds: number): Promise<unknown> {
  return vi.advanceTimersByTimeAsync(seconds * 1_000);
}

/** Lists what the platform would penalize in the order of arrival. */
function violationsOf(received: readonly ReceivedReport[]): string[] {
  const found: string[] = [];
  const counts = new Map<number, string>();
  const holders = new Map<number, string>();
  for (const [i, report] of received.entries()) {
    const {window, holder, fence, at} = report;
    const text = JSON.stringify(report.counts);
    if ((counts.get(window) ?? text) !== text) found.push('other counts');
    counts.set(window, text);
    if ((holders.get(fence) ?? holder) !== holder) found.push('shared fence');
    holders.set(fence, holder);
    const before = received.slice(0, i);
    if (before.some(item => item.fence > fence)) found.push('lower fence');
    const last = before.findLast(item => item.holder !== holder);
    if (last && at - last.at < leaseMs) found.push('holders in turns');
  }
  return found;
}

/** Describes the report of each window of a run of some seconds. */
function summarize(fleet: FakeUsageFleet, seconds: number) {
  const windows = [];
  const dueWindows = (seconds * 1_000 - lateMs) / windowMs;
  for (let i = 0; i < dueWindows; i++) {
    const window = FIRST + i;
    const sent = fleet.received.filter(item => item.window === window);
    const [first] = sent;
    const begun = fleet.begun.get(window) ?? 0;
    const share = (first?.counts['growers'] ?? 0) / Math.max(1, begun);
    const afterMs = (first?.at ?? 0) - (i + 1) * windowMs;
    const timing = afterMs <= lateMs ? 'in time' : 'late';
    const by = [...new Set(sent.map(item => `${item.holder} ${item.fence}`))];
    windows.push(
      first
        ? `${i}: ${timing}, ${Math.round(share * 100)} %, by ${by.join(', ')}`
        : `${i}: missing`,
    );
  }
  return {windows, violations: violationsOf(fleet.received)};
}

const VMS = ['vm-a', 'vm-b', 'vm-c'];

type Fault = (fleet: FakeUsageFleet) => Promise<void> | void;

/** Calls an action when the present holder next records a window. */
function onRecord(
  fleet: FakeUsageFleet,
  action: (vm: FakeUsageFleet['holder']) => Promise<void> | void,
): void {
  const {holder} = fleet;
  holder.onWritten = async keys => {
    if (!keys.some(key => key.startsWith('usage/'))) return;
    holder.onWritten = () => undefined;
    await action(holder);
  };
}

function sleepFor(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

const FAULTS: ReadonlyArray<readonly [string, Fault]> = [
  ['none', () => undefined],
  [
    'the holder dies after it recorded a window',
    fleet => onRecord(fleet, holder => holder.kill()),
  ],
  [
    'the holder is frozen after it recorded a window',
    fleet => onRecord(fleet, () => sleepFor(9_000)),
  ],
  [
    'the holder is cut off from the store',
    async fleet => {
      const {holder} = fleet;
      holder.state = 'cut-off';
      await runFor(14);
      holder.state = 'up';
    },
  ],
  [
    'the holder restarts under its name',
    fleet =>
      onRecord(fleet, holder => {
        holder.kill();
        fleet.start(holder.name);
      }),
  ],
  ['the holder stops', fleet => void fleet.holder.stop()],
  [
    'another VM dies',
    fleet => fleet.vms.forEach(vm => vm !== fleet.holder && vm.kill()),
  ],
  [
    'the store is down over several windows',
    async fleet => {
      fleet.store.mode = 'down';
      fleet.vms.forEach(vm => (vm.state = 'cut-off'));
      await runFor(17);
      fleet.store.mode = 'answers';
      fleet.vms.forEach(vm => (vm.state = 'up'));
    },
  ],
  [
    'the store loses answers to writes',
    fleet => {
      fleet.store.mode = 'loses-answers';
    },
  ],
  [
    'the platform loses answers to reports',
    async fleet => {
      fleet.reporterMode = 'loses-answers';
      await runFor(6);
      fleet.reporterMode = 'answers';
    },
  ],
  [
    'the platform is down',
    async fleet => {
      fleet.reporterMode = 'down';
      await runFor(12);
      fleet.reporterMode = 'answers';
    },
  ],
  [
    'the platform never answers the report of one window',
    fleet => {
      fleet.unansweredWindow = FIRST + 3;
    },
  ],
  [
    'the wall clock of the holder is set forward',
    fleet => {
      fleet.holder.clocks.wallAheadMs = 7_000;
    },
  ],
  [
    'the wall clock of all VMs is set back',
    fleet => fleet.vms.forEach(vm => (vm.clocks.wallAheadMs = -7_000)),
  ],
  [
    'the holder restarts with a wall clock that is ahead',
    fleet => {
      const {holder} = fleet;
      holder.kill();
      fleet.start(holder.name, 7_000);
    },
  ],
  [
    'the holder restarts with a wall clock that is behind',
    fleet => {
      const {holder} = fleet;
      holder.kill();
      fleet.start(holder.name, -600_000);
    },
  ],
  [
    'the holder restarts cut off from its peers with a clock that is ahead',
    async fleet => {
      const {holder} = fleet;
      holder.kill();
      const restarted = fleet.start(holder.name, 7_000);
      restarted.peerLinks = 'down';
      await runFor(12);
      restarted.peerLinks = 'up';
    },
  ],
  [
    'the store goes back to a copy without the last window and holder',
    async fleet => {
      const copy = new Map(fleet.store.rows);
      onRecord(fleet, holder => holder.kill());
      await runFor(12);
      fleet.restore(copy);
    },
  ],
];

describe('usage reports', () => {
  // Guards against reports that are missing, wrong, sent by two holders in turns,
  // or sent twice with other counts after a fault.
  it.each(FAULTS)('fault: %s', async (unusedName, fault) => {
    const fleet = new FakeUsageFleet(VMS);
    await runFor(11);
    await fault(fleet);
    await runFor(60 - (Date.now() - START) / 1_000);
    fleet.vms.forEach(vm => vm.kill());
    expect(summarize(fleet, 60)).toMatchSnapshot();
  });

  // Guards against a holder that starts with a wrong clock and reviews the windows
  // by it: it forgets which reports were accepted, and repeats them at each step.
  it.each([30 * 86_400_000, -30 * 86_400_000])(
    'holder that restarts with a clock that differs by %d ms',
    async aheadMs => {
      const fleet = new FakeUsageFleet(VMS);
      await runFor(11);
      const {holder} = fleet;
      holder.kill();
      const restarted = fleet.start(holder.name, aheadMs);
      await runFor(49);
      fleet.vms.forEach(vm => vm.kill());
      const calls = fleet.received.length;
      const {outcomes} = restarted;
      expect({calls, outcomes, ...summarize(fleet, 60)}).toMatchSnapshot();
    },
  );

  // Guards against a VM of a large fleet that runs statements for others and
  // takes their counts with it, above the tolerance of a report.
  it('VM of a large fleet that dies with a 16th of the counts', async () => {
    const names = Array.from({length: 16}, (unusedItem, i) => `vm-${i}`);
    const fleet = new FakeUsageFleet(names);
    await runFor(19.9);
    const dying = [...fleet.vms.values()].find(vm => vm !== fleet.holder);
    dying?.kill();
    await runFor(20.1);
    fleet.vms.forEach(vm => vm.kill());
    expect(summarize(fleet, 40)).toMatchSnapshot();
  });
});
