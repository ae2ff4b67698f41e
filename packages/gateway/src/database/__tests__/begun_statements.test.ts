import {ask} from '@pistachiorill/tasks';
import {describe, expect, it} from 'vitest';
import type {MemberErrorKind} from '../../ports/member_link.js';
import {FakeLinkFactory} from '../../testing/fake_member.js';
import type {FakeMember} from '../../testing/fake_member.js';
import {MemberConnection} from '../member_connection.js';
import type {ConnectionJob, JobResult} from '../member_connection.js';

const JOB: ConnectionJob = {
  values: new Map([['zone', 'utc']]),
  begin: 'read',
  request: {id: 'r1', command: {kind: 'statement', text: 'READ x'}},
  deadline: 10_000,
};

function failWith(kind: MemberErrorKind) {
  return (member: FakeMember): void =>
    void member.errors.push({command: 'statement', kind});
}

const CASES: ReadonlyArray<
  readonly [string, (member: FakeMember) => void, string]
> = [
  ['success', () => undefined, 'r1'],
  ['no id', () => undefined, '-'],
  ['failed', failWith('failed'), 'r1'],
  ['timed out', failWith('timed-out'), 'r1'],
  ['busy', failWith('busy'), 'r1'],
  ['behind', failWith('behind'), 'r1'],
  ['not primary', failWith('not-primary'), 'r1'],
  ['wrong member', failWith('wrong-member'), 'r1'],
  ['no prepared statement', failWith('no-prepared-statement'), 'r1'],
  ['begin refused', m => m.errors.push({command: 'begin', kind: 'busy'}), 'r1'],
  ['not open', member => (member.mode = 'silent'), 'r1'],
];

describe('MemberConnection', () => {
  // Guards against usage counts of statements that no member began, and against
  // statements that are missing in them although their answer was lost.
  it.each(CASES)('reports begun statements: %s', async (unused, fault, id) => {
    const links = new FakeLinkFactory();
    fault(links.add('a'));
    const target = {member: 'a', address: 'a:1', group: 'wash'};
    const reported: string[] = [];
    let now = 0;
    const connection = new MemberConnection(
      'a',
      links.create(target, 'growers'),
      () => (now += 4),
      {
        onSent: () => undefined,
        onAnswered: () => undefined,
        onFault: () => undefined,
        onStatement: (state, at) => reported.push(`${state} at ${at}`),
      },
      err => {
        throw err;
      },
    );
    const job = {...JOB, request: {...JOB.request, id}};
    await ask<JobResult>(reply => connection.tell({kind: 'run', job, reply}));
    expect(reported).toMatchSnapshot();
  });

  // Guards against a statement that is sent although its caller has given up:
  // setup commands took the time that was left.
  it.each([
    [0, 0],
    [1, 20],
  ])('sends nothing after the deadline: %i', async (unused, deadline) => {
    const links = new FakeLinkFactory();
    const member = links.add('a');
    const target = {member: 'a', address: 'a:1', group: 'wash'};
    let now = 0;
    const connection = new MemberConnection(
      'a',
      links.create(target, 'growers'),
      () => (now += 4),
      {
        onSent: () => undefined,
        onAnswered: () => undefined,
        onFault: () => undefined,
        onStatement: () => undefined,
      },
      () => undefined,
    );
    const job = {...JOB, deadline};
    const result = await ask<JobResult>(reply =>
      connection.tell({kind: 'run', job, reply}),
    );
    expect({result, requests: member.requests}).toMatchSnapshot();
  });

  // Guards against a lost answer that is taken for a statement that did not run.
  it('keeps a statement whose answer was lost', async () => {
    const links = new FakeLinkFactory();
    links.add('a').mode = 'loses-answers';
    const target = {member: 'a', address: 'a:1', group: 'wash'};
    const reported: string[] = [];
    const connection = new MemberConnection(
      'a',
      links.create(target, 'growers'),
      () => 0,
      {
        onSent: () => undefined,
        onAnswered: () => undefined,
        onFault: () => undefined,
        onStatement: state => reported.push(state),
      },
      () => undefined,
    );
    const {request, deadline} = JOB;
    const job = {values: new Map(), request, deadline};
    await ask<JobResult>(reply => connection.tell({kind: 'run', job, reply}));
    expect(reported).toEqual(['begun']);
  });

  // Guards against a transaction that is counted once for each of its statements,
  // although it is one request.
  it('counts a transaction once', async () => {
    const links = new FakeLinkFactory();
    links.add('a');
    const target = {member: 'a', address: 'a:1', group: 'wash'};
    const reported: string[] = [];
    const connection = new MemberConnection(
      'a',
      links.create(target, 'growers'),
      () => 0,
      {
        onSent: () => undefined,
        onAnswered: () => undefined,
        onFault: () => undefined,
        onStatement: state => reported.push(state),
      },
      () => undefined,
    );
    const {values, request, deadline} = JOB;
    const commit = {id: 'r3', command: {kind: 'commit'}} as const;
    for (const job of [
      JOB,
      {values, request: {...request, id: 'r2'}, deadline},
      {values, request: commit, deadline},
      {values, request: {...request, id: 'r4'}, deadline},
    ]) {
      await ask<JobResult>(reply => connection.tell({kind: 'run', job, reply}));
    }
    // The transaction, and the single statement behind it.
    expect(reported).toEqual(['begun', 'begun']);
  });
});
