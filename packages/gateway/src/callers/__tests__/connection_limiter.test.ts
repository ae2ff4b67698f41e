import {describe, expect, it} from 'vitest';
import {ConnectionLimiter} from '../connection_limiter.js';
import type {ConnectionUse, LimitedConnection} from '../connection_limiter.js';

const MIB = 1_048_576;
const IDLE: ConnectionUse = {
  ownBytes: 0,
  inboundBytes: 0,
  unansweredBytes: 0,
  waitingBytes: 0,
  outboundBytes: 0,
  lastReceivedAt: 0,
  answered: 0,
  transaction: 'none',
  loginSince: undefined,
  messageSince: undefined,
  unreadSince: undefined,
};

/** Starts a limiter with a budget of 8 MiB in each direction. */
function start(maxConnections = 100) {
  const seen: string[] = [];
  const time = {now: 0};
  const limiter = new ConnectionLimiter(
    {
      connections: {maxConnections, maxPerAddress: 0},
      timeouts: {loginMs: 10_000, messageMs: 60_000, answerMs: 60_000},
      budget: {
        inboundBytes: 8 * MIB,
        outboundBytes: 8 * MIB,
        answerBytes: 8 * MIB,
      },
      maxPipelined: 16,
      maxInboundBytes: 3 * MIB,
      maxOutboundBytes: 4 * MIB,
    },
    () => time.now,
    {
      exceeded: (limit, entry, address) =>
        seen.push(`${address} exceeds ${limit}`),
      callersUse: () => undefined,
    },
  );
  const connect = (address: string, use: Partial<ConnectionUse> = {}) => {
    const state = {use: {...IDLE, ...use}};
    const connection: LimitedConnection = {
      address,
      use: () => state.use,
      reconsiderReading: () => {
        const may = limiter.mayRead(connection);
        seen.push(`${address} goes on: ${may}`);
      },
      closeFor: limit => {
        seen.push(`${address} closed for ${limit}`);
        state.use = {...IDLE, unansweredBytes: state.use.unansweredBytes};
        limiter.closed(connection);
      },
    };
    limiter.add(connection);
    limiter.update(connection);
    return {connection, state};
  };
  const sweepAt = (ms: number): void => {
    for (; time.now < ms; time.now += 250) limiter.sweep();
  };
  return {limiter, connect, seen, time, sweepAt};
}

function holding(bytes: number): Partial<ConnectionUse> {
  return {ownBytes: bytes, inboundBytes: bytes};
}

describe('ConnectionLimiter', () => {
  // Guards against memory that grows with the number of half-sent messages, and
  // against large messages that can never be completed.
  it('lets a few large messages go on near the end of the budget', () => {
    const {limiter, connect, seen} = start();
    const items = ['a', 'b', 'c', 'd', 'e', 'f', 'g'].map(name =>
      connect(name, holding(MIB)),
    );
    const small = connect('small', holding(1_000));
    seen.push(
      ...[...items, small].map(
        ({connection}) =>
          `${connection.address} may read: ${limiter.mayRead(connection)}`,
      ),
    );
    items[0]!.state.use = IDLE;
    limiter.messageEnded(items[0]!.connection);
    limiter.update(items[0]!.connection);
    expect(seen).toMatchSnapshot();
  });

  // Guards against a permit that a client keeps while it sends nothing.
  it('closes an idle one that others wait for', () => {
    const {limiter, connect, seen, sweepAt} = start();
    const items = ['a', 'b', 'c', 'd', 'e', 'f', 'g'].map(name =>
      connect(name, {...holding(0.95 * MIB), messageSince: 0}),
    );
    for (const {connection} of items) limiter.mayRead(connection);
    sweepAt(3_000);
    expect(seen).toMatchSnapshot();
  });

  // Guards against closing a transaction that is read, and against closing
  // connections whose memory is in use by a statement.
  it('closes the costliest connections when the budget is exceeded', () => {
    const {connect, seen} = start();
    connect('transaction', {...holding(2.5 * MIB), transaction: 'open'});
    connect('running', {...holding(2 * MIB), unansweredBytes: 2 * MIB});
    connect('served', {...holding(1.5 * MIB), answered: 1_000});
    connect('new', holding(1.4 * MIB));
    connect('last', holding(0.8 * MIB));
    expect(seen).toMatchSnapshot();
  });

  // Guards against answers that are kept for clients that do not read.
  it('closes connections with the most unread answers', () => {
    const {connect, seen} = start();
    connect('does not read', {
      outboundBytes: 3 * MIB,
      transaction: 'open',
      unreadSince: -5_000,
    });
    connect('reads', {
      outboundBytes: 4 * MIB,
      transaction: 'open',
      unreadSince: 0,
    });
    connect('other', {outboundBytes: 2 * MIB});
    expect(seen).toMatchSnapshot();
  });

  // Guards against clients that are blamed for a time in which the VM did not
  // run, and against idle sessions that are closed.
  it('closes connections that keep it waiting', () => {
    const {connect, seen, time, sweepAt, limiter} = start();
    connect('idle');
    connect('login', {loginSince: 0});
    connect('message', {messageSince: 0});
    connect('answer', {unreadSince: 5_000});
    sweepAt(5_000);
    time.now += 100_000;
    limiter.sweep();
    seen.push('after a pause of 100 s');
    sweepAt(time.now + 70_000);
    expect(seen).toMatchSnapshot();
  });

  // Guards against clients that never log in and lock out those that do.
  it('replaces connections without login at the limit', () => {
    const {limiter, connect, seen} = start(3);
    const [first] = ['a', 'b', 'c'].map(name => connect(name));
    limiter.loggedIn(first!.connection);
    for (const name of ['d', 'e']) {
      seen.push(`${name}: ${limiter.admit(name)}`);
      const added = connect(name);
      limiter.loggedIn(added.connection);
    }
    seen.push(`f: ${limiter.admit('f')}`);
    expect(seen).toMatchSnapshot();
  });

  // Guards against a caller that is closed while it waits for its answer, as it
  // still holds the permit under which its message was completed.
  it('keeps a connection that has a permit and sends nothing', () => {
    const {limiter, connect, seen, sweepAt} = start();
    const items = ['a', 'b', 'c', 'd', 'e', 'f', 'g'].map(name =>
      connect(name, holding(0.95 * MIB)),
    );
    for (const {connection} of items) limiter.mayRead(connection);
    sweepAt(3_000);
    expect(seen.filter(text => text.includes('closed'))).toEqual([]);
  });
});
