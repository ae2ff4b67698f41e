import {afterEach, describe, expect, it} from 'vitest';
import {sleep} from '@pistachiorill/tasks';
import type {FakeGroup} from '../../testing/fake_group.js';
import {
  BEGIN,
  COMMIT,
  READ,
  SESSION_CONFIGURATION,
  SETTLE_MS,
  WRITE,
  settle,
  startSession,
} from '../../testing/fake_session.js';

const CONNECTION_LIMIT = 1;

let group: FakeGroup | undefined;

afterEach(() => group?.close());

/** Starts a session whose group is closed after the test. */
function start(connectionLimit?: number) {
  const started = startSession(connectionLimit);
  group = started.fake;
  return started;
}

describe('SessionTask', () => {
  // Guards against a request that is cut off without an answer, because it
  // arrives together with the withdrawal of its key or with a shutdown.
  it.each(['reconfigured', 'drain'] as const)(
    'answers a request that has arrived behind: %s',
    async kind => {
      const {fake, caller, session, state, open, run} = start();
      open();
      await settle();
      if (kind === 'reconfigured') {
        state.configuration = {...SESSION_CONFIGURATION, keys: new Map()};
      }
      session.tell({kind});
      await run(READ);
      expect({
        caller: caller.seen,
        primary: fake.member('a').requests,
      }).toMatchSnapshot();
    },
  );

  // Guards against a request that is cut off without an answer, because it was
  // still in the socket's buffer when its session closed.
  it.each(['reconfigured', 'drain'] as const)(
    'answers a request that has arrived unread: %s',
    async kind => {
      const {fake, caller, session, state, open, run} = start();
      open();
      await settle();
      if (kind === 'reconfigured') {
        state.configuration = {...SESSION_CONFIGURATION, keys: new Map()};
      }
      caller.pending = () => {
        caller.pending = () => undefined;
        void run(READ);
      };
      session.tell({kind});
      await settle();
      expect({
        caller: caller.seen,
        primary: fake.member('a').requests,
      }).toMatchSnapshot();
    },
  );

  // Guards against a request that is cut off without an answer, because it was on
  // its way when its session ended, and against one that then runs.
  it.each(['reconfigured', 'drain', 'close'] as const)(
    'answers a request that crosses the end of its session: %s',
    async kind => {
      const {fake, caller, session, state, open, run} = start();
      open();
      await settle();
      caller.onCloseRequested = () => undefined;
      if (kind === 'reconfigured') {
        state.configuration = {...SESSION_CONFIGURATION, keys: new Map()};
      }
      session.tell({kind});
      await settle();
      await run(BEGIN);
      await run(WRITE);
      expect({
        caller: caller.seen,
        primary: fake.member('a').requests,
      }).toMatchSnapshot();
    },
  );

  // Guards against a caller that keeps a VM from exiting, or its connection after
  // its key was withdrawn.
  it('disconnects a caller that does not close', async () => {
    const {caller, session, open} = start();
    open();
    await settle();
    caller.onCloseRequested = () => undefined;
    session.tell({kind: 'drain'});
    await settle();
    // Whatever else is in the mailbox by then.
    session.tell({kind: 'disconnect'});
    session.tell({kind: 'reconfigured'});
    await settle();
    expect(caller.seen).toMatchSnapshot();
  });

  // Guards against a write that runs outside its transaction, as its begin was
  // refused.
  it('refuses all requests that cross the end of their session', async () => {
    const {fake, caller, session, open, run} = start();
    open();
    await settle();
    caller.onCloseRequested = () => undefined;
    session.tell({kind: 'drain'});
    await settle();
    await run(BEGIN, WRITE, COMMIT);
    expect({
      caller: caller.seen,
      primary: fake.member('a').requests,
    }).toMatchSnapshot();
  });

  // Guards against a transaction that stays open after its caller was asked to
  // close.
  it('rolls back a transaction that begins as its VM exits', async () => {
    const {fake, caller, session, open, run} = start();
    open();
    await settle();
    session.tell({kind: 'close'});
    await run(BEGIN, WRITE);
    expect({
      caller: caller.seen,
      primary: fake.member('a').requests,
    }).toMatchSnapshot();
  });

  // Guards against a request that is cut off without an answer, because it and
  // the time limit of its caller passed while the process did not run.
  it('answers a request that arrives before its caller is disconnected', async () => {
    const {caller, session, open, run} = start();
    open();
    await settle();
    caller.onCloseRequested = () => undefined;
    session.tell({kind: 'drain'});
    await settle();
    caller.pending = () => {
      caller.pending = () => undefined;
      void run(READ);
    };
    session.tell({kind: 'disconnect'});
    await settle();
    expect(caller.seen).toMatchSnapshot();
  });

  // Guards against a caller that waits for a session which a VM that stops will
  // not serve.
  it('rejects a caller that has not opened its session yet', async () => {
    const {caller, session, open} = start();
    session.tell({kind: 'drain'});
    await settle();
    open();
    await settle();
    expect(caller.seen).toMatchSnapshot();
  });

  // Guards against a request that waits for a connection as its VM exits, and is
  // cut off without an answer.
  it('answers a request that waits as its VM exits', async () => {
    const {fake, caller, session, open, run} = start(CONNECTION_LIMIT);
    open();
    await settle();
    await fake.checkOutPrimary();
    const waiting = run(READ);
    await sleep(SETTLE_MS / 4);
    fake.close();
    session.tell({kind: 'close'});
    await waiting;
    expect({
      caller: caller.seen,
      primary: fake.member('a').requests,
    }).toMatchSnapshot();
  });

  // Guards against a statement that runs outside its transaction, because the VM
  // exits before it.
  it('fails the rest of a transaction as its VM exits', async () => {
    const {fake, caller, session, open, run} = start();
    open();
    await run(BEGIN, WRITE);
    fake.close();
    session.tell({kind: 'close'});
    await run(WRITE, COMMIT);
    expect({
      caller: caller.seen,
      primary: fake.member('a').requests,
    }).toMatchSnapshot();
  });

  // Guards against a shutdown that aborts an open transaction, and against one
  // that waits for idle sessions.
  it('closes after the open transaction when it drains', async () => {
    const {caller, session, open, run} = start();
    open();
    await run(BEGIN, WRITE);
    session.tell({kind: 'drain'});
    await settle();
    const duringTransaction = [...caller.seen];
    await run(COMMIT);
    expect({duringTransaction, after: caller.seen}).toMatchSnapshot();
  });
});
