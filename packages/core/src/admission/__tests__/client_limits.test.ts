import {describe, expect, it} from 'vitest';
import {ByteBudget} from '../byte_budget.js';
import {deriveClientLimits} from '../client_limits.js';
import {
  chooseConnectionsToClose,
  decideConnection,
  decidePacket,
} from '../limit_decisions.js';
import type {ConnectionUsage} from '../limit_decisions.js';
import {LimitLog} from '../limit_log.js';

const MIB = 1_048_576;
const TIMES = {
  loginTimeoutMs: 10_000,
  packetTimeoutMs: 30_000,
  readTimeoutMs: 30_000,
};

function limitsOf(memoryMb: number, descriptors: number, statementBytes = MIB) {
  return deriveClientLimits({
    memoryBytes: memoryMb * MIB,
    descriptors,
    statementBytes,
    ...TIMES,
  });
}

// Guards against limits that a machine of the users' size cannot hold, and
// against statements within the setting that exceed a limit derived from it.
it.each([
  ['small machine', 250, 4_200, MIB],
  ['large machine', 4_096, 65_536, MIB],
  ['large statements', 602, 8_192, 64 * MIB],
  ['tiny machine', 16, 64, MIB],
])('derives the limits of a %s', (unusedName, memory, fds, bytes) => {
  expect(limitsOf(memory, fds, bytes)).toMatchSnapshot();
});

const LIMITS = limitsOf(256, 300);

describe('decisions', () => {
  // Guards against a crowd that locks out clients from other addresses, and
  // against logins that stay unfinished and lock out finished ones.
  it('accepts connections below the limits', () => {
    const {clientConnections, addressConnections, loginConnections} = LIMITS;
    const counts = [
      {all: 0, fromAddress: 0, logins: 0},
      {all: clientConnections - 1, fromAddress: 0, logins: 0},
      {all: clientConnections, fromAddress: 0, logins: 0},
      {all: 0, fromAddress: addressConnections, logins: 0},
      {all: 0, fromAddress: 0, logins: loginConnections},
    ];
    expect(
      counts.map(item => decideConnection(item, LIMITS)),
    ).toMatchSnapshot();
  });

  // Guards against a packet that is held although it exceeds the limit.
  it('decides how packets are read', () => {
    const sizes = [
      0,
      LIMITS.unreservedBytes,
      LIMITS.unreservedBytes + 1,
      LIMITS.loginBytes + 1,
      LIMITS.packetBytes,
      LIMITS.packetBytes + 1,
      LIMITS.discardBytes,
    ];
    expect(
      sizes.map(bytes => [
        bytes,
        decidePacket('login', bytes, LIMITS),
        decidePacket('commands', bytes, LIMITS),
      ]),
    ).toMatchSnapshot();
  });

  // Guards against closing a transaction whose client reads, and against
  // closing well served clients before stalled ones.
  it('closes those that use the most and are served least', () => {
    const usages = [
      {id: 1, outboundBytes: 900, served: 9},
      {id: 2, outboundBytes: 900, served: 1},
      {id: 3, outboundBytes: 5_000, transaction: 'open'},
      {id: 4, outboundBytes: 100, idleSince: 0},
      {id: 5, outboundBytes: 300, idleSince: 0, transaction: 'open'},
      {id: 6, inboundBytes: 700},
      {id: 7, inboundBytes: 700, idleSince: 0},
      {id: 8},
    ] satisfies Array<Partial<ConnectionUsage>>;
    const all = usages.map(usage => ({
      inboundBytes: 0,
      outboundBytes: 0,
      idleSince: 4_500,
      transaction: 'none' as const,
      served: 0,
      ...usage,
    }));
    const choose = (direction: 'inbound' | 'outbound', excess: number) =>
      chooseConnectionsToClose(all, direction, excess, 5_000);
    expect({
      little: choose('outbound', 1),
      more: choose('outbound', 1_000),
      all: choose('outbound', 1e9),
      inbound: choose('inbound', 1e9),
      none: choose('outbound', 0),
    }).toMatchSnapshot();
  });

  // Guards against a budget that is exceeded, that starves the first waiter or
  // that loses bytes of connections which close while they wait.
  it('grants reservations in the order of arrival', () => {
    const budget = new ByteBudget(100);
    const steps = [
      budget.reserve(1, 60, 0),
      budget.reserve(2, 60, 1),
      budget.reserve(3, 10, 2),
      budget.waitingBytes(1),
      budget.release(9),
      budget.release(2),
      budget.release(1),
      budget.usedBytes,
      budget.release(3),
      // Larger than the budget: only alone.
      budget.reserve(4, 500, 3),
      budget.reserve(5, 1, 4),
      budget.release(4),
      budget.usedBytes,
    ];
    expect(steps).toMatchSnapshot();
  });

  // Guards against a log that a crowd fills.
  it('logs a limit once per interval with the number of events', () => {
    const log = new LimitLog();
    expect(
      [0, 1, 9_999, 10_000, 10_001, 25_000].map(now => [
        now,
        log.record('mysql logins', now),
        log.record('peers body-bytes', now + 5_000),
      ]),
    ).toMatchSnapshot();
  });
});
