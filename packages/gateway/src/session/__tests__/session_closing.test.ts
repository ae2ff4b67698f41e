import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {FakeCaller} from '../../testing/fake_caller.js';
import {SessionClosing} from '../session_closing.js';

const REASON = {kind: 'busy', detail: 'the VM stops'} as const;
const REQUEST_INTERVAL_MS = 400;

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

describe('SessionClosing', () => {
  // Guards against a caller that keeps its connection after its key was withdrawn:
  // a silent one, and one that goes on sending requests.
  it.each([0, 10])(
    'disconnects a caller that sends %s requests',
    async requests => {
      const startedAt = Date.now();
      const overdueAt: number[] = [];
      const closing = new SessionClosing(new FakeCaller(), () => {
        overdueAt.push(Date.now() - startedAt);
      });
      closing.drain(REASON);
      closing.requestClose();
      for (let i = 0; i < requests; i++) {
        await vi.advanceTimersByTimeAsync(REQUEST_INTERVAL_MS);
        closing.refuse();
        closing.requestClose();
      }
      await vi.runAllTimersAsync();
      expect(overdueAt).toMatchSnapshot();
    },
  );
});
