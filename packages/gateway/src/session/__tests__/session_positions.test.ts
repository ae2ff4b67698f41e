import {afterEach, describe, expect, it} from 'vitest';
import {FakeGroup} from '../../testing/fake_group.js';
import {
  BEGIN,
  COMMIT,
  READ,
  WRITE,
  startSession,
  withRouteAt,
} from '../../testing/fake_session.js';
import {SessionPositions} from '../session_positions.js';

let groups: FakeGroup[] = [];

afterEach(() => {
  for (const group of groups) group.close();
  groups = [];
});

/** Starts a session whose route can move to the group `mill`. */
function start() {
  const mill = new FakeGroup();
  const started = startSession(undefined, new Map([['mill', mill]]));
  groups = [mill, started.fake];
  return {...started, mill};
}

describe('a session whose route moves to another group and back', () => {
  // Guards against a read that lacks a commit of its session, because the
  // position in the log of another group replaced that of the commit (review/3).
  it.each([
    ['single writes', [WRITE]],
    ['transactions', [BEGIN, WRITE, COMMIT]],
  ])('requires its commit there after %s', async (unusedName, statements) => {
    const {fake, state, open, run} = start();
    state.configuration = withRouteAt('wash');
    open();
    // The position that reads without an own commit require.
    await run(READ);
    fake.member('a').applied = {term: 1, position: 50};
    await run(...statements);
    state.configuration = withRouteAt('mill');
    await run(...statements);
    state.configuration = withRouteAt('wash');
    fake.primaryLease = {kind: 'denied', reason: 'proof-expired'};
    await run(READ);
    const atReplicas = ['b', 'c'].flatMap(name => fake.member(name).requests);
    expect(atReplicas).toContain('q0 READ x after 1.50');
  });

  // Guards against a commit that is attributed to the group to which the route
  // moved while its transaction was open.
  it('records a commit at the group of its transaction', async () => {
    const {fake, state, open, run} = start();
    state.configuration = withRouteAt('wash');
    open();
    await run(READ);
    fake.member('a').applied = {term: 1, position: 50};
    await run(BEGIN, WRITE);
    state.configuration = withRouteAt('mill');
    await run(COMMIT);
    state.configuration = withRouteAt('wash');
    fake.primaryLease = {kind: 'denied', reason: 'proof-expired'};
    await run(READ);
    const atReplicas = ['b', 'c'].flatMap(name => fake.member(name).requests);
    expect(atReplicas).toContain('q0 READ x after 1.50');
  });
});

describe('SessionPositions', () => {
  // Guards against reads that are too old: after a commit at an earlier position
  // (a read-only transaction on a replica), after one without a position, and
  // in a group whose position was dropped.
  it('never requires less than an earlier commit did', () => {
    const positions = new SessionPositions();
    const steps = [positions.of('wash')];
    for (const position of [12, 9, undefined, 15]) {
      positions.committed(
        'wash',
        position === undefined ? undefined : {term: 1, position},
      );
      steps.push(positions.of('wash'));
    }
    for (let index = 0; index < 16; index++) {
      positions.committed(`group-${index}`, {term: 1, position: 1});
    }
    steps.push(positions.of('wash'), positions.of('never-used'));
    expect(steps).toMatchSnapshot();
  });
});
