import {afterEach, describe, expect, it} from 'vitest';
import {FakeGroup} from '../../testing/fake_group.js';
import {
  READ,
  WRITE,
  startSession,
  withRouteAt,
} from '../../testing/fake_session.js';
import {RouteMoves} from '../route_moves.js';

let groups: FakeGroup[] = [];

afterEach(() => {
  for (const group of groups) group.close();
  groups = [];
});

describe('the log of a session', () => {
  // Guards against a read that is too old and whose log does not tell the
  // position that it required, its group and its member (review/3).
  it('tells where statements run after the route has moved', async () => {
    const mill = new FakeGroup();
    const others = new Map([['mill', mill]]);
    const {fake, state, open, run, records} = startSession(undefined, others);
    groups = [mill, fake];
    state.configuration = {...withRouteAt('wash'), version: 1};
    open();
    await run(READ, WRITE);
    state.configuration = {...withRouteAt('mill'), version: 2};
    await run(READ);
    state.configuration = {...withRouteAt('wash'), version: 3};
    await run(READ, WRITE);
    expect(records).toMatchSnapshot();
  });
});

describe('RouteMoves', () => {
  // Guards against records of every statement of sessions that stay open.
  it('logs placements for 10 s after a move', () => {
    const moves = new RouteMoves();
    const steps = (
      [
        ['wash', 0],
        ['wash', 5_000],
        ['mill', 6_000],
        ['mill', 15_999],
        ['mill', 16_000],
        ['wash', 20_000],
      ] as const
    ).map(([group, now]) => ({
      group,
      now,
      move: moves.visit(group, now),
      log: moves.placementLog(now),
    }));
    expect(steps).toMatchSnapshot();
  });
});
