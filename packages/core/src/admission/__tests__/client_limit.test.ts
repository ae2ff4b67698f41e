import {describe, expect, it} from 'vitest';
import {exceededTimeout} from '../client_timeout.js';
import {decideConnectionAdmission} from '../connection_admission.js';
import {decideReading} from '../decide_reading.js';
import {deriveProcessBudget, pressureOf} from '../process_budget.js';
import {selectForShedding} from '../select_for_shedding.js';

describe('process budget', () => {
  // Guards against budgets that together exceed the memory of a machine, and
  // against one that the largest message does not fit.
  it('is derived from the memory of the machine', () => {
    expect(
      [0, 100, 200, 250, 350, 602, 8_000].map(memoryMb => {
        const {inboundBytes} = deriveProcessBudget(memoryMb);
        return `${memoryMb} MB: ${(inboundBytes / 1_048_576).toFixed(1)} MiB each`;
      }),
    ).toMatchSnapshot();
  });

  it('tells the pressure', () => {
    expect(
      [0, 74, 75, 99, 100, 120].map(used => pressureOf(used, 100)),
    ).toEqual(['none', 'none', 'high', 'high', 'exceeded', 'exceeded']);
  });
});

describe('decideConnectionAdmission', () => {
  // Guards against clients that never log in and lock out those that do.
  it.each([
    [{open: 9, withoutLogin: 0, fromAddress: 9}, 0],
    [{open: 10, withoutLogin: 3, fromAddress: 9}, 0],
    [{open: 10, withoutLogin: 0, fromAddress: 1}, 0],
    [{open: 4, withoutLogin: 4, fromAddress: 4}, 4],
    [{open: 4, withoutLogin: 4, fromAddress: 3}, 4],
  ] as const)('%j, at most %i from an address', (counts, maxPerAddress) => {
    expect(
      decideConnectionAdmission(counts, {maxConnections: 10, maxPerAddress}),
    ).toMatchSnapshot();
  });
});

describe('exceededTimeout', () => {
  const LIMITS = {loginMs: 10, messageMs: 20, answerMs: 30};
  const NONE = {
    loginSince: undefined,
    messageSince: undefined,
    unreadSince: undefined,
  };

  // Guards against an idle session that is closed, and against a client that
  // keeps the process waiting for ever.
  it.each([
    {},
    {loginSince: 91},
    {loginSince: 90},
    {messageSince: 81},
    {messageSince: 80},
    {unreadSince: 71},
    {unreadSince: 70},
  ])('at 100, %j', waits => {
    expect(
      exceededTimeout(100, {...NONE, ...waits}, LIMITS) ?? 'none',
    ).toMatchSnapshot();
  });
});

describe('decideReading', () => {
  // Guards against ordinary callers that wait for those with large messages.
  it.each(['none', 'high', 'exceeded'] as const)(
    'under pressure %s',
    pressure => {
      const decisions = [1_000, 500_000, 3_000_000].flatMap(ownBytes =>
        (['none', 'held'] as const).map(permit => {
          const state = {ownBytes, maxOwnBytes: 2_000_000, pressure, permit};
          return `${ownBytes} bytes, permit ${permit}: ${decideReading(state)}`;
        }),
      );
      expect(decisions).toMatchSnapshot();
    },
  );
});

describe('selectForShedding', () => {
  // Guards against closing those that use little, that are served much, or that
  // have an open transaction.
  it('closes first what uses most and was served least', () => {
    const candidates = [
      ['large, served much', 900, 5_000, 'none'],
      ['large, never served', 800, 0, 'none'],
      ['small', 10, 0, 'none'],
      ['in a transaction', 5_000, 0, 'transaction'],
      ['uses nothing', 0, 0, 'none'],
      ['medium', 300, 2, 'none'],
    ] as const;
    const select = (excess: number): readonly string[] =>
      selectForShedding(
        candidates.map(([connection, bytes, answered, protection]) => ({
          connection,
          bytes,
          freedBytes: bytes,
          answered,
          protection,
        })),
        excess,
      );
    expect([0, 1, 801, 1_200, 9_999].map(select)).toMatchSnapshot();
  });

  // Guards against closing ordinary connections as well, although those that are
  // closed first hold statements which the budget gets back with them.
  it('counts all that a closed connection gives back', () => {
    const candidates = [1, 2, 3, 4].map(connection => ({
      connection,
      bytes: 10,
      freedBytes: connection === 1 ? 500 : 10,
      answered: connection,
      protection: 'none' as const,
    }));
    expect(selectForShedding(candidates, 400)).toEqual([1]);
  });
});
