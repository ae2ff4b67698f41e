import {describe, expect, it} from 'vitest';
import {concludeAttempt} from '../../sessions/conclude_attempt.js';
import {attemptFailureOf} from '../forward_failure.js';
import type {ForwardFailure} from '../forward_failure.js';
import {
  INITIAL_OWNER_HEALTH,
  afterCall,
  afterOwnerAnswer,
  afterOwnerFailure,
  afterOwnerRefusal,
  afterProbeAnswer,
  afterProbeFailure,
  availabilityOf,
  isProbeDue,
  checkSilence,
} from '../owner_health.js';
import type {OwnerHealth} from '../owner_health.js';
import {ownerTargets} from '../owner_targets.js';
import type {
  OwnerAvailability,
  OwnerPlaces,
  OwnerQuery,
} from '../owner_targets.js';
import {hasOwners, selectOwners} from '../select_owners.js';
import type {OwnerVm} from '../select_owners.js';

/** A fleet over four data centres in two regions. */
function fleet(count: number, largeEvery = 0): Map<string, OwnerVm> {
  return new Map(
    Array.from({length: count}, (unused, index) => [
      `vm-${index}`,
      {
        dataCentre: ['eu-1', 'eu-2', 'us-1', 'us-2'][index % 4] ?? '',
        weight: largeEvery > 0 && index % largeEvery === 0 ? 4 : 1,
      },
    ]),
  );
}

const OWNERS = selectOwners('wash', fleet(40));
const PLACES: OwnerPlaces = {
  dataCentre: 'eu-1',
  regionOf: dataCentre => dataCentre.slice(0, 2),
  owners: OWNERS,
  primaryDataCentre: 'us-1',
  memberDataCentres: ['eu-2', 'us-1', 'us-2'],
};
const READ: OwnerQuery = {workspace: 'growers', regions: [], need: 'recent'};

describe('hasOwners', () => {
  // Guards against a change of small deployments, and of those whose members
  // accept enough connections.
  it.each([
    [16, 8, false],
    [5, 12, false],
    [56, 83, true],
    [70, 63, true],
    [210, 195, true],
    [210, 70, false],
  ])('%i connections, %i VMs: %s', (connections, vms, expected) => {
    expect(hasOwners(connections, vms)).toBe(expected);
  });
});

describe('selectOwners', () => {
  // Guards against owners that all change when one VM leaves.
  it('replaces only an owner that leaves', () => {
    const [gone = ''] = OWNERS.get('us-1') ?? [];
    const vms = fleet(40);
    vms.delete(gone);
    expect({
      before: OWNERS,
      after: selectOwners('wash', vms),
    }).toMatchSnapshot();
  });
});

describe('selectOwners by weight', () => {
  // Guards against owners on the slowest machines while faster ones are idle.
  it('prefers VMs with more processors in proportion', () => {
    const vms = fleet(80, 10);
    const groups = Array.from({length: 500}, (unused, index) => `g${index}`);
    const first = groups.flatMap(group =>
      [...selectOwners(group, vms).values()].map(([vm = '']) => vm),
    );
    const large = first.filter(vm => vms.get(vm)?.weight === 4).length;
    // In two of four data centres 4 of 20 VMs have the weight 4.
    expect(large / (first.length / 2)).toBeCloseTo(16 / (16 + 16), 1);
  });
});

describe('ownerTargets', () => {
  // Guards against a statement that leaves its regions, and against one that
  // finds no VM.
  it.each<
    [string, Partial<OwnerQuery>, Partial<OwnerPlaces>, Record<string, string>]
  >([
    ['primary elsewhere', {need: 'primary'}, {}, {}],
    ['primary unknown', {need: 'primary'}, {primaryDataCentre: undefined}, {}],
    [
      'primary in a forbidden region',
      {need: 'primary', regions: ['eu']},
      {},
      {},
    ],
    ['primary without VMs', {need: 'primary'}, {primaryDataCentre: 'us-9'}, {}],
    ['members without VMs', {}, {memberDataCentres: ['us-8', 'eu-9']}, {}],
    ['no VMs', {}, {owners: new Map()}, {}],
    ['read, no member here', {}, {}, {}],
    ['read, member here', {}, {dataCentre: 'us-2'}, {}],
    ['read, no member near', {}, {memberDataCentres: ['us-1', 'us-2']}, {}],
    ['read in another region', {regions: ['us']}, {}, {}],
    ['read without members', {}, {memberDataCentres: []}, {}],
    ['another workspace', {workspace: 'w5'}, {}, {}],
    ['one owner avoided', {}, {}, {'vm-21': 'avoided'}],
    ['one owner full', {}, {}, {'vm-33': 'full'}],
    [
      'all owners gone or full',
      {},
      {},
      {
        'vm-21': 'avoided',
        'vm-33': 'full',
        'vm-37': 'avoided',
        'vm-13': 'avoided',
      },
    ],
  ])('%s', (unusedName, query, places, states) => {
    const targets = ownerTargets(
      {...READ, ...query},
      {...PLACES, ...places},
      'vm-0',
      vm => (states[vm] as OwnerAvailability | undefined) ?? 'available',
    );
    expect(
      targets.map(item => (item.kind === 'owner' ? item.vm : item.kind)),
    ).toMatchSnapshot();
  });

  // Guards against an owner that forwards to the other one although the
  // workspace is its own.
  it('runs a statement directly at its owner', () => {
    const at = (self: string) =>
      ownerTargets(READ, PLACES, self, () => 'available').length;
    expect((OWNERS.get('eu-2') ?? []).map(at).sort()).toEqual([1, 2, 3, 4]);
  });
});

describe('owner health', () => {
  type Step = readonly [
    number,
    (health: OwnerHealth, now: number) => OwnerHealth,
  ];
  const call: Step[1] = afterCall;
  const answer: Step[1] = afterOwnerAnswer;
  const failed =
    (
      reason: 'unreachable' | 'silent' | 'overloaded',
      sentAt: number,
    ): Step[1] =>
    (health, now) =>
      afterOwnerFailure(health, reason, sentAt, now);

  // Guards against statements that are sent to a dark owner again and again, and
  // against an owner that is avoided because of one slow statement.
  it.each<[string, readonly Step[]]>([
    [
      'answers',
      [
        [0, call],
        [10, answer],
      ],
    ],
    [
      'is silent',
      [
        [0, call],
        [300, call],
        [401, checkSilence],
      ],
    ],
    [
      'answers another call',
      [
        [0, call],
        [9, call],
        [390, answer],
        [600, checkSilence],
      ],
    ],
    [
      'times out after another answer',
      [
        [0, call],
        [9, call],
        [50, answer],
        [1_000, failed('silent', 0)],
      ],
    ],
    [
      'is unreachable',
      [
        [0, call],
        [5, failed('unreachable', 0)],
      ],
    ],
    [
      'is unreachable again',
      [0, 500, 1_500, 3_500, 6_500].flatMap((at): Step[] => [
        [at, call],
        [at, failed('unreachable', at)],
      ]),
    ],
    [
      'stops and answers a running call',
      [
        [0, call],
        [0, call],
        [9, (health, now) => afterOwnerRefusal(health, 'stopping', now)],
        [20, answer],
      ],
    ],
    [
      'answers after its restart',
      [
        [0, call],
        [0, (health, now) => afterOwnerRefusal(health, 'stopping', now)],
        [3_100, call],
        [3_101, answer],
      ],
    ],
    // Guards against an idle owner that is avoided as silent.
    [
      'has no calls after a probe and a failed call',
      [
        [0, call],
        [1_000, afterProbeAnswer],
        [1_100, failed('silent', 0)],
        [9_000, checkSilence],
      ],
    ],
    [
      'opens no connection in time',
      [
        [0, call],
        [0, call],
        [250, failed('overloaded', 0)],
        [260, failed('overloaded', 0)],
        [300, afterProbeAnswer],
      ],
    ],
    [
      'opens no connection and answers no probe',
      [
        [0, call],
        [250, failed('overloaded', 0)],
        [450, (health, now) => afterProbeFailure(health, 250, now)],
      ],
    ],
    [
      'opens no connection twice in a row',
      [
        [0, call],
        [250, failed('overloaded', 0)],
        [800, call],
        [1_050, failed('overloaded', 800)],
      ],
    ],
    [
      'is full',
      [
        [0, call],
        [0, call],
        [5, (health, now) => afterOwnerRefusal(health, 'full', now)],
        [10, answer],
      ],
    ],
    ['has too many calls', Array.from({length: 20}, (): Step => [0, call])],
  ])('%s', (unusedName, steps) => {
    let health = INITIAL_OWNER_HEALTH;
    let last = 0;
    for (const [at, step] of steps) {
      health = step(health, at);
      last = at;
    }
    const {outstanding, avoid, failures} = health;
    const availability = availabilityOf(health, last);
    expect({outstanding, avoid, failures, availability}).toMatchSnapshot();
  });
});

describe('attemptFailureOf', () => {
  // Guards against a write that is repeated, or reported as not run, although an
  // owner may have run it.
  it('concludes a failed forward', () => {
    const failures: readonly ForwardFailure[] = [
      'not-sent',
      'no-answer',
      'stopping',
      'not-ready',
      'full',
      'no-transaction',
      'out-of-order',
    ];
    const table = failures.flatMap(failure =>
      (['first', 'pinned'] as const).flatMap(scope =>
        (['read', 'write', 'write-in-transaction', 'commit'] as const).map(
          effect =>
            `${failure}, ${scope} ${effect}: ` +
            concludeAttempt(effect, scope, attemptFailureOf(failure)),
        ),
      ),
    );
    expect(table).toMatchSnapshot();
  });
});

describe('an unreachable owner', () => {
  // Guards against statements that find out, each by a time limit, that an owner
  // is still unreachable.
  it('is avoided until it answers a probe', () => {
    let health = afterCall(INITIAL_OWNER_HEALTH, 0);
    health = afterOwnerFailure(health, 'unreachable', 0, 5);
    const seen = (now: number) => ({
      now,
      availability: availabilityOf(health, now),
      probe: isProbeDue(health, now) ? 'due' : 'not due',
    });
    const course = [seen(400), seen(600)];
    health = afterProbeFailure(health, 600, 800);
    course.push(seen(900), seen(1_900));
    health = afterProbeAnswer(health, 1_950);
    course.push(seen(1_960));
    expect(course).toMatchSnapshot();
  });
});
