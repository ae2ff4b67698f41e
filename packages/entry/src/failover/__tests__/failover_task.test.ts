import {Random, fail, ok} from '@pistachiorill/core';
import type {
  BackendServer,
  FailoverReport,
  MemberState,
  MemberView,
} from '@pistachiorill/core';
import type {TableService} from '@pistachiorill/store';
import type {Logger} from '@pistachiorill/telemetry';
import {afterEach, beforeEach, expect, it, vi} from 'vitest';
import type {GroupMessage} from '../../group/group_message.js';
import type {GroupTask} from '../../group/group_task.js';
import {FailoverTask} from '../failover_task.js';

const NAMES = ['m1', 'm2', 'm3'];
const END = {term: 1, position: 7};

function memberState(role: MemberState['role'], term: number): MemberState {
  return {
    role,
    term,
    received: END,
    applied: END,
    fencedTerm: term,
    fencedOwner: 'v',
    connections: 0,
    connectionLimit: 9,
    slots: 2,
  };
}

/** A group whose primary is unreachable and whose replicas accept all calls. */
class FakeGroup {
  private members: MemberView[] = NAMES.map((backendServer, index) => ({
    backendServer,
    dataCentre: `dc${index}`,
    reachability: index === 0 ? 'unreachable' : 'reachable',
    reachabilitySince: 0,
    state: memberState(index === 0 ? 'primary' : 'replica', 1),
    polledAt: 0,
    accepting: true,
  }));

  constructor(private readonly note: (text: string) => void) {}

  tell(message: GroupMessage): void {
    if (message.kind === 'observe') {
      const view = {database: 'ledger', members: this.members};
      message.reply.answer({view, running: 1, transactions: 0});
    }
    if (message.kind !== 'control') return;
    const {backendServer, call, reply} = message;
    this.note(`${call.kind} ${backendServer} in term ${call.term}`);
    if (backendServer === 'm1') {
      reply.answer(fail({kind: 'lost', detail: 'no answer'}));
      return;
    }
    const role = call.kind === 'promote' ? 'primary' : 'replica';
    const state = memberState(role, call.term);
    if (call.kind !== 'fence') {
      this.members = this.members.map(member =>
        member.backendServer === backendServer ? {...member, state} : member,
      );
    }
    reply.answer(ok(state));
  }
}

beforeEach(() => vi.useFakeTimers());
afterEach(() => vi.useRealTimers());

// Guards against a VM that does not send its report, that starts an attempt
// without a report from another data centre, or that ignores such a report.
it('sends its report and acts on the report of another VM', async () => {
  const log: string[] = [];
  const startedAt = Date.now();
  const clock = (): number => Date.now() - startedAt;
  const note = (text: string): void => {
    log.push(`${clock()} ms: ${text}`);
  };
  let sent: FailoverReport | undefined;
  const table = {
    read: async () => ok(undefined),
    write: async (key: string, value: string) => {
      note(`write ${key}`);
      return ok({key, value, version: 1});
    },
  };
  const task = new FailoverTask(
    {
      database: 'ledger',
      vm: 'v1',
      dataCentre: 'dc0',
      switchoverGraceMs: 30_000,
    },
    {
      group: new FakeGroup(note) as unknown as GroupTask,
      table: table as unknown as TableService,
      clock,
      random: new Random(1),
      sendReport: report => {
        if (report.kind !== sent?.kind) {
          const {kind, database, vm, dataCentre, term, running} = report;
          note(`report ${[kind, database, vm, dataCentre].join(' ')}`);
          note(`report term ${term}, running ${running}`);
        }
        sent = report;
      },
      onEnded: ({phase, candidate}) => note(`ended ${phase} ${candidate}`),
      log: {info: () => undefined, error: note} as unknown as Logger,
    },
  );
  const servers = NAMES.map((name, index): BackendServer => ({
    name,
    dataCentre: `dc${index}`,
    address: `${name}:1`,
    state: 'in-service',
    connectionLimit: 9,
    slots: 2,
  }));
  task.tell({kind: 'configure', servers, dataCentresInService: 3});
  await vi.advanceTimersByTimeAsync(4_000);
  note('another VM reports');
  const report: FailoverReport = {
    ...(sent as FailoverReport),
    vm: 'v2',
    dataCentre: 'dc1',
    forMs: 0,
  };
  for (let forMs = 0; forMs <= 3_000; forMs += 500) {
    task.tell({kind: 'reported', report: {...report, forMs}});
    await vi.advanceTimersByTimeAsync(500);
  }
  task.tell({kind: 'close'});
  await vi.advanceTimersByTimeAsync(1_000);
  expect(log).toMatchSnapshot();
});
