import type {PrimaryRight, VersionedLeadership} from '@pistachiorill/core';
import {createLogger} from '@pistachiorill/telemetry';
import type {Logger} from '@pistachiorill/telemetry';
import {DatabaseTask} from '../database/database_task.js';
import type {ListedMember} from '../ports/member_directory.js';
import {FakeLinks} from './fake_member.js';

/** A logger that writes nothing. */
export function silentLogger(): Logger {
  const log = createLogger('vm-test', 'error');
  log.level(1_000);
  return log;
}

export function listedMember(
  member: string,
  more: Partial<ListedMember> = {},
): ListedMember {
  return {
    member,
    group: 'wash',
    address: `${member}:1`,
    dataCentre: 'macon',
    state: 'ready',
    role: 'replica',
    slots: 2,
    remainingWarmupMs: 0,
    ...more,
  };
}

/** A group of three fake members, of which `a` leads, and its task. */
export class FakeGroup {
  readonly links = new FakeLinks();
  readonly task: DatabaseTask;
  readonly suspects: string[] = [];
  /** Overrides the right that follows from the record. */
  right: PrimaryRight | undefined;

  constructor(connectionLimit = 8) {
    for (const name of ['a', 'b', 'c']) this.links.add(name);
    this.member('a').role = 'primary';
    this.task = new DatabaseTask('wash', {
      vm: {dataCentre: 'macon', region: 'ga'},
      regionOf: () => 'ga',
      links: this.links,
      clock: () => performance.now(),
      right: leadership => this.right ?? primaryLeaseOf(leadership),
      onSuspect: (unusedGroup, primary) => this.suspects.push(primary),
      log: silentLogger(),
      onFailed: err => {
        throw err;
      },
    });
    this.show(
      ['a', 'b', 'c'].map(name => listedMember(name)),
      connectionLimit,
    );
    this.settle('a', 1);
  }

  member(name: string) {
    const member = this.links.members.get(name);
    if (!member) throw new Error(`no member ${name}`);
    return member;
  }

  show(members: readonly ListedMember[], connectionLimit = 8): void {
    this.task.tell({
      kind: 'view',
      view: {
        settings: {
          name: 'wash',
          connectionLimit,
          synchronousReplicas: 0,
          warmupPerSecond: 0,
        },
        members,
        dataCentresOut: new Set(),
        vmCount: 1,
      },
    });
  }

  settle(primary: string, version: number): void {
    const record = {phase: 'settled', primary} as const;
    this.task.tell({kind: 'leadership', leadership: {record, version}});
  }

  close(): void {
    this.task.tell({kind: 'close'});
  }
}

function primaryLeaseOf(
  leadership: VersionedLeadership | undefined,
): PrimaryRight {
  if (!leadership) return {kind: 'denied', reason: 'no-record'};
  const {record} = leadership;
  return record.phase === 'settled'
    ? {kind: 'granted', primary: record.primary}
    : {kind: 'denied', reason: 'moving'};
}
