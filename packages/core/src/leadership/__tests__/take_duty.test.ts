import {describe, expect, it} from 'vitest';
import {DUTY_MS, decideDuty, holdsDuty} from '../take_duty.js';

const HELD = {holder: 'vm-a', fence: 7, takenAt: 1_000};

describe('decideDuty', () => {
  // Guards against two holders at a time and against a number used by two.
  it('decides by holder and time', () => {
    expect({
      nobody: decideDuty('vm-a', undefined, 0),
      own: decideDuty('vm-a', HELD, 500_000),
      fresh: decideDuty('vm-b', HELD, 1_000 + DUTY_MS - 1),
      lapsed: decideDuty('vm-b', HELD, 1_000 + DUTY_MS),
    }).toMatchSnapshot();
  });
});

describe('holdsDuty', () => {
  // Guards against an order that arrives after the next holder's.
  it('leaves time for the order', () => {
    const end = 1_000 + DUTY_MS;
    expect([
      holdsDuty('vm-a', HELD, end - 1_001, 1_000),
      holdsDuty('vm-a', HELD, end - 1_000, 1_000),
      holdsDuty('vm-b', HELD, 1_000, 1_000),
    ]).toEqual([true, false, false]);
  });
});
