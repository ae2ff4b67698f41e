import type {
  PrimaryLeaseDecision,
  Result,
  VersionedLeadership,
} from '@pistachiorill/core';
import {ask} from '@pistachiorill/tasks';
import {createLogger} from '@pistachiorill/telemetry';
import type {Logger} from '@pistachiorill/telemetry';
import type {Checkout, CheckoutRefusal} from '../database/checkout.js';
import {DatabaseTask} from '../database/database_task.js';
import type {ListedMember} from '../ports/member_directory.js';
import {FakeLinkFactory} from './fake_member.js';

/** Longer than a test, so that no check-out is refused for its wait. */
const CHECKOUT_WAIT_MS = 10_000;

/** Creates a logger that writes nothing. */
export function silentLogger(): Logger {
  const log = createLogger('vm-test', 'error');
  log.level(1_000);
  return log;
}

/** Creates a directory entry of a ready replica, with the given changes. */
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

/** Checks out a connection to the primary for a transaction. */
export function checkOutPrimary(
  task: DatabaseTask,
  waitMs: number,
): Promise<Result<Checkout, CheckoutRefusal>> {
  return ask(reply =>
    task.tell({
      kind: 'check-out',
      request: {
        workspace: 'growers',
        priority: 1,
        values: new Map(),
        use: 'transaction',
        requirement: {kind: 'primary'},
        excluded: [],
        regions: [],
        until: performance.now() + waitMs,
      },
      reply,
    }),
  );
}

/** The task of a group with three fake members, of which `a` is primary. */
export class FakeGroup {
  readonly links = new FakeLinkFactory();
  readonly task: DatabaseTask;
  /** The primaries that the task reported as unreachable. */
  readonly unreachablePrimaries: string[] = [];
  /** Whether another VM samples the primary's positions. */
  positionSource: 'requested' | 'not-sampled' = 'not-sampled';
  positionRequests = 0;
  /** Overrides the primary lease that follows from the leadership record. */
  primaryLease: PrimaryLeaseDecision | undefined;

  constructor(connectionLimit = 8) {
    for (const name of ['a', 'b', 'c']) this.links.add(name);
    this.member('a').role = 'primary';
    this.task = new DatabaseTask('wash', {
      vm: {dataCentre: 'macon', region: 'ga'},
      regionOf: () => 'ga',
      links: this.links,
      clock: () => performance.now(),
      primaryLease: leadership =>
        this.primaryLease ?? primaryLeaseOf(leadership),
      requestPositions: () => {
        this.positionRequests++;
        return this.positionSource;
      },
      onPrimaryUnreachable: (unusedGroup, primary) =>
        this.unreachablePrimaries.push(primary),
      log: silentLogger(),
      onFailed: err => {
        throw err;
      },
    });
    this.setMembers(
      ['a', 'b', 'c'].map(name => listedMember(name)),
      connectionLimit,
    );
    this.setPrimary('a', 1);
  }

  /** Returns a fake member; throws if there is none of this name. */
  member(name: string) {
    const member = this.links.members.get(name);
    if (!member) throw new Error(`fake member ${name} does not exist`);
    return member;
  }

  /** Sets the members that the directory lists. */
  setMembers(members: readonly ListedMember[], connectionLimit = 8): void {
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

  /** Sends a leadership record with a settled primary to the task. */
  setPrimary(primary: string, version: number): void {
    const record = {phase: 'settled', primary} as const;
    this.task.tell({kind: 'leadership', leadership: {record, version}});
  }

  /** Checks out one connection to the primary for a transaction. */
  checkOutPrimary(): Promise<Result<Checkout, CheckoutRefusal>> {
    return checkOutPrimary(this.task, CHECKOUT_WAIT_MS);
  }

  close(): void {
    this.task.tell({kind: 'close'});
  }
}

function primaryLeaseOf(
  leadership: VersionedLeadership | undefined,
): PrimaryLeaseDecision {
  if (!leadership) return {kind: 'denied', reason: 'no-record'};
  const {record} = leadership;
  return record.phase === 'settled'
    ? {kind: 'granted', primary: record.primary}
    : {kind: 'denied', reason: 'moving'};
}
