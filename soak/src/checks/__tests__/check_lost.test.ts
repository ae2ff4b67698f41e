import type {Exchange, MemberRequest} from '@pistachiorill/platform/standins';
import {describe, expect, it} from 'vitest';
import {checkLost} from '../check_lost.js';
import type {LostContext, PlannedWork} from '../check_lost.js';

const SIGTERM: PlannedWork = {kind: 'sigterm', vm: 'vm-1', atMs: 10_000};
const SIGHUP: PlannedWork = {kind: 'sighup', vm: 'vm-1', atMs: 10_000};
const CONFIGURATION: PlannedWork = {
  kind: 'configuration',
  atMs: 10_000,
  acknowledgedMs: 10_050,
};

/** A request that a SIGTERM cut 300 ms after it was sent. */
const CUT: Exchange = {
  id: 'r1',
  address: 'host:1',
  sentAt: 11_000,
  endedAt: 11_300,
  end: 'cut',
};
const PASSED_ON: MemberRequest = {
  id: 'r1',
  member: 'wash-a',
  at: 11_010,
  answeredAt: 11_400,
};

interface Case extends Partial<LostContext> {
  readonly cut?: Partial<Exchange>;
  readonly others?: readonly Exchange[];
  readonly requests?: ReadonlyArray<Partial<MemberRequest>>;
}

/** As many answered requests, and cut ones, as the VM had at another time. */
function elsewhere(answered: number, cut: number): readonly Exchange[] {
  const base = {address: 'host:1', sentAt: 2_000, endedAt: 2_300};
  return [
    ...Array.from({length: answered}, (unused, i) => ({
      ...base,
      id: `a${i}`,
      end: 'answered' as const,
    })),
    ...Array.from({length: cut}, (unused, i) => ({
      ...base,
      id: `b${i}`,
      end: 'cut' as const,
    })),
  ];
}

const CASES: ReadonlyArray<readonly [string, Case]> = [
  ['a cut 300 ms after the request', {}],
  ['an answer', {cut: {end: 'answered'}}],
  ['a caller that gave up', {cut: {end: 'given-up'}}],
  ['a request that crosses the close', {cut: {endedAt: 11_200}}],
  [
    'a request at a member, however early',
    {
      cut: {endedAt: 11_050},
      requests: [{}],
    },
  ],
  ['a request at two members', {requests: [{}, {member: 'wash-b'}]}],
  ['a cut at another VM', {cut: {address: 'host:2'}}],
  ['a cut before the signal', {cut: {sentAt: 9_600, endedAt: 9_999}}],
  ['a request sent before the signal', {cut: {sentAt: 9_900, endedAt: 10_200}}],
  [
    'a cut at the end of the planned work',
    {
      cut: {sentAt: 13_500, endedAt: 14_000},
    },
  ],
  ['a cut after the planned work', {cut: {sentAt: 13_501, endedAt: 14_001}}],
  ['a time limit that was reached', {cut: {endedAt: 11_800}}],
  ['a cut just before the time limit', {cut: {endedAt: 11_799}}],
  [
    'an unplanned fault just before the request',
    {
      isDisrupted: (vm, fromMs, toMs) =>
        vm === 'vm-1' && fromMs <= 7_000 && toMs >= 7_000,
    },
  ],
  [
    'an unplanned fault long before the request',
    {
      isDisrupted: (vm, fromMs) => vm === 'vm-1' && fromMs <= 6_999,
    },
  ],
  ['an unplanned fault at another VM', {isDisrupted: vm => vm === 'vm-2'}],
  [
    'a recorder that did not run for part of the wait',
    {
      stalls: [{fromMs: 10_950, toMs: 11_100}],
    },
  ],
  [
    'a recorder that did not run for a little of it',
    {
      stalls: [{fromMs: 10_950, toMs: 11_099}],
    },
  ],
  [
    'a member at work in the last sixth of the grace period',
    {
      cut: {sentAt: 11_500, endedAt: 12_270},
      requests: [{at: 11_900, answeredAt: 12_500}],
    },
  ],
  [
    'a member that was done before the last sixth',
    {
      cut: {sentAt: 11_500, endedAt: 12_270},
      requests: [{at: 11_900, answeredAt: 12_499}],
    },
  ],
  [
    'a member at work at the end on a request that was sent late',
    {
      cut: {sentAt: 11_501, endedAt: 12_270},
      requests: [{at: 11_900, answeredAt: 12_900}],
    },
  ],
  ['a cut after SIGHUP', {plannedWork: [SIGHUP]}],
  [
    'a cut long after SIGHUP',
    {
      plannedWork: [SIGHUP],
      cut: {sentAt: 13_001, endedAt: 13_400},
    },
  ],
  ['a cut beside a configuration', {plannedWork: [CONFIGURATION]}],
  [
    'a cut just before a configuration is no longer new',
    {
      plannedWork: [CONFIGURATION],
      cut: {sentAt: 13_700, endedAt: 14_050},
    },
  ],
  [
    'a cut after a configuration is in force',
    {
      plannedWork: [CONFIGURATION],
      cut: {sentAt: 13_700, endedAt: 14_051},
    },
  ],
  [
    'a request beside a configuration near its time limit',
    {
      plannedWork: [CONFIGURATION],
      cut: {endedAt: 11_560},
    },
  ],
  [
    'a VM that cuts as often at other times',
    {
      plannedWork: [CONFIGURATION],
      others: elsewhere(0, 1),
    },
  ],
  [
    'a VM that cuts a third as often at other times',
    {
      plannedWork: [CONFIGURATION],
      others: elsewhere(2, 1),
    },
  ],
  [
    'a VM that cuts less than a third as often at other times',
    {
      plannedWork: [CONFIGURATION],
      others: elsewhere(3, 1),
    },
  ],
  ['no planned work', {plannedWork: []}],
];

describe('checkLost', () => {
  // Guards against a check that misses a lost request, and against one that
  // reports a request which the users do not count.
  it.each(CASES)('%s', (unusedName, {cut, others, requests, ...context}) => {
    const history = {
      exchanges: [{...CUT, ...cut}, ...(others ?? [])],
      memberRequests: (requests ?? []).map(item => ({...PASSED_ON, ...item})),
    };
    const found = checkLost(history, {
      vmAt: address => `vm-${address.at(-1)}`,
      plannedWork: [SIGTERM],
      isDisrupted: () => false,
      stalls: [],
      graceMs: 3_000,
      statementTimeoutMs: 800,
      applyMs: 3_000,
      contactMs: 4_000,
      ...context,
    });
    expect(found.map(item => item.detail)).toMatchSnapshot();
  });
});
