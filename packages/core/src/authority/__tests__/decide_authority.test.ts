import {describe, expect, it} from 'vitest';
import type {VersionReport} from '../../membership/peer_record.js';
import {initialAuthority, versionReport} from '../authority_state.js';
import type {AuthorityState} from '../authority_state.js';
import {confirmedUntil} from '../confirmation.js';
import {decideAuthority} from '../decide_authority.js';
import type {AuthorityEvent} from '../decide_authority.js';

function read(
  row: 'configuration' | 'ledger',
  version: number,
  startedAt: number,
): AuthorityEvent {
  return {kind: 'row-read', row, version, startedAt};
}

function report(
  configuration: number,
  proofAgeMs: number | null = null,
): VersionReport {
  const versions = {configuration, ledger: 1};
  return {known: versions, applied: versions, proofAgeMs};
}

function answered(
  instance: string,
  sentAt: number,
  from: VersionReport,
): AuthorityEvent {
  return {kind: 'answered', instance, sentAt, report: from};
}

const APPLIED: AuthorityEvent = {
  kind: 'applied',
  versions: {configuration: 3, ledger: 1},
};
const MEMBERS: AuthorityEvent = {
  kind: 'ledger-members',
  members: {
    version: 1,
    vms: ['a', 'b', 'c', 'd', 'e'].map(instance => ({
      instance,
      vm: instance,
      dataCentre: 'x',
    })),
  },
};

describe('decideAuthority', () => {
  const cases: ReadonlyArray<
    readonly [string, ReadonlyArray<readonly [number, AuthorityEvent]>]
  > = [
    ['there is no proof at the start', [[0, APPLIED]]],
    [
      'a proof by reads dates from the start of the older read',
      [
        [0, APPLIED],
        [120, read('ledger', 1, 100)],
        [220, read('configuration', 3, 200)],
      ],
    ],
    // Guards against confirming a VM that lacks the current configuration.
    [
      'a read of a version that is not applied gives no confirmation',
      [
        [0, APPLIED],
        [120, read('ledger', 1, 100)],
        [220, read('configuration', 4, 200)],
      ],
    ],
    // Guards against refusing statements while a new version is fetched.
    [
      'an earlier proof stays valid while a new version is fetched',
      [
        [0, APPLIED],
        [120, read('ledger', 1, 100)],
        [220, read('configuration', 3, 200)],
        [300, {kind: 'probed', instance: 'b', report: report(4)}],
        [420, read('configuration', 4, 400)],
      ],
    ],
    [
      'the age of a relayed proof is subtracted from the probe time',
      [
        [0, APPLIED],
        [900, answered('b', 500, report(3, 150))],
      ],
    ],
    // Guards against trusting a report that was in transit for an unknown time.
    [
      'an unsolicited relayed proof is ignored',
      [
        [0, APPLIED],
        [900, {kind: 'probed', instance: 'b', report: report(3, 150)}],
      ],
    ],
    [
      'a majority proof dates from its oldest probe',
      [
        [0, APPLIED],
        [1, MEMBERS],
        [320, answered('b', 300, report(3))],
        [420, answered('c', 400, report(3))],
      ],
    ],
    [
      'answers of less than a majority give no proof',
      [
        [0, APPLIED],
        [1, MEMBERS],
        [320, answered('b', 300, report(3))],
        [420, answered('x', 400, report(3))],
      ],
    ],
    [
      'a majority with a newer version gives this VM no confirmation',
      [
        [0, APPLIED],
        [1, MEMBERS],
        [320, answered('b', 300, report(3))],
        [420, answered('c', 400, report(4))],
      ],
    ],
    // Guards against a majority of VMs that need not acknowledge later changes.
    [
      'a majority of an outdated ledger gives no proof',
      [
        [0, APPLIED],
        [1, MEMBERS],
        [100, read('ledger', 2, 90)],
        [320, answered('b', 300, report(3))],
        [420, answered('c', 400, report(3))],
      ],
    ],
    [
      'probes older than the limit give no proof',
      [
        [0, APPLIED],
        [1, MEMBERS],
        [320, answered('b', 300, report(3))],
        [6_301, answered('c', 6_300, report(3))],
      ],
    ],
  ];

  it.each(cases)('%s', (unusedName, events) => {
    const state = events.reduce<AuthorityState>(
      (before, [now, event]) => decideAuthority(before, event, now),
      initialAuthority('a'),
    );
    expect({
      until: confirmedUntil(state),
      report: versionReport(state, 1_000),
    }).toMatchSnapshot();
  });
});
