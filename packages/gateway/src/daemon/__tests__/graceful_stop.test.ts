import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {CallerServer} from '../../ports/caller_link.js';
import type {SessionMessage} from '../../session/session_message.js';
import {silentLogger} from '../../testing/fake_group.js';
import {stopGracefully} from '../graceful_stop.js';

const GRACE_MS = 6_000;

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

/** A server whose last answers take a time to be sent. */
class FakeCallerServer extends CallerServer {
  constructor(private readonly onClose: () => Promise<void>) {
    super();
  }

  override async listen(): Promise<void> {}

  override close(): Promise<void> {
    return this.onClose();
  }
}

interface Case {
  /** The message on which the session ends. */
  readonly endsOn: SessionMessage['kind'] | 'never';
  readonly sendMs: number;
  readonly leaveMs: number;
  /** The message on which the owner's task ends its last statement. */
  readonly ownerEndsOn?: 'abort-transactions' | 'never';
}

/** Stops a VM with one session; returns what happened, in order. */
async function stop({endsOn, sendMs, leaveMs, ownerEndsOn}: Case) {
  const startedAt = Date.now();
  const events: string[] = [];
  const record = (text: string): void => {
    events.push(`${Date.now() - startedAt} ${text}`);
  };
  const after = (ms: number, text: string): Promise<void> =>
    new Promise(resolve => {
      setTimeout(() => {
        record(text);
        resolve();
      }, ms);
    });
  const sessions = new Set<{tell(message: SessionMessage): void}>();
  const session = {
    tell({kind}: SessionMessage) {
      record(`session: ${kind}`);
      if (kind === endsOn) sessions.delete(session);
    },
  };
  sessions.add(session);
  const owner = {
    isBusy: ownerEndsOn !== undefined,
    tell({kind}: {kind: string}) {
      record(`owner: ${kind}`);
      if (kind === ownerEndsOn) owner.isBusy = false;
    },
  };
  const stopped = stopGracefully({
    graceMs: GRACE_MS,
    sessions,
    callers: new FakeCallerServer(() => after(sendMs, 'answers sent')),
    owner,
    closeDatabases: () => record('databases closed'),
    leaveFleet: () => after(leaveMs, 'left the fleet'),
    clock: () => Date.now(),
    log: silentLogger(),
  }).then(() => record('stopped'));
  await vi.advanceTimersByTimeAsync(GRACE_MS);
  await stopped;
  return events;
}

describe('stopGracefully', () => {
  // Guards against a process that exits before its last answers are sent, and
  // against one that is still there when the grace period ends.
  it.each<[string, Case]>([
    [
      'exits once the answers are sent',
      {endsOn: 'drain', sendMs: 1_000, leaveMs: 10},
    ],
    [
      'answers sessions that remain at the end',
      {endsOn: 'close', sendMs: 3_020, leaveMs: 10},
    ],
    [
      'exits in time if neither callers nor the store answer',
      {endsOn: 'never', sendMs: GRACE_MS, leaveMs: GRACE_MS},
    ],
    [
      'keeps the databases for the transactions of other VMs',
      {
        endsOn: 'drain',
        sendMs: 10,
        leaveMs: 10,
        ownerEndsOn: 'abort-transactions',
      },
    ],
    [
      'closes the databases in time for statements of other VMs',
      {endsOn: 'drain', sendMs: 10, leaveMs: 10, ownerEndsOn: 'never'},
    ],
  ])('%s', async (unusedName, item) => {
    expect(await stop(item)).toMatchSnapshot();
  });
});
