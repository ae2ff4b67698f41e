import {expect, it} from 'vitest';
import {AnswerBudget} from '../answer_budget.js';
import {LimitLog} from '../limit_log.js';
import {limitRefusal} from '../limit_refusals.js';

// Guards against a log that a crowd fills, and against a record without the
// addresses from which most of it comes.
it('logs a limit once in an interval, with the addresses', () => {
  const log = new LimitLog();
  const seen: unknown[] = [log.count(0, 'connections', 'callers', '10.0.0.1')];
  for (let i = 0; i < 30; i++) {
    const address = i % 3 === 0 ? '10.0.0.2' : '10.0.0.3';
    seen.push(log.count(100 + i, 'connections', 'callers', address));
  }
  seen.push(log.count(200, 'connections', 'metrics', '10.0.0.4'));
  seen.push(log.takeDue(9_999), log.takeDue(10_000), log.takeDue(30_000));
  expect(seen.filter(item => item !== undefined)).toMatchSnapshot();
});

// Guards against callers that return at the same time, and against an error
// without a retry time.
it('refuses with jitter', () => {
  expect(
    (
      ['connections', 'process-memory', 'message-time', 'login-time'] as const
    ).flatMap(limit => [0, 0.999].map(part => limitRefusal(limit, () => part))),
  ).toMatchSnapshot();
});

const KIB = 1_024;

// Guards against answers of members that together exceed the memory.
it('bounds one answer and all answers of members', () => {
  const seen: string[] = [];
  const budget = new AnswerBudget(100 * KIB, 250 * KIB, {
    exceeded: limit => seen.push(limit),
  });
  const outcomes = [
    budget.change(0, 100 * KIB, 'a'),
    budget.change(0, 90 * KIB, 'b'),
    budget.change(90 * KIB, 101 * KIB, 'b'),
    budget.change(101 * KIB, 0, 'b'),
    budget.change(0, 90 * KIB, 'c'),
    budget.change(0, 90 * KIB, 'd'),
    budget.change(90 * KIB, 0, 'd'),
    budget.change(0, 60 * KIB, 'e'),
    // A short answer goes on beside large ones.
    budget.change(0, 1 * KIB, 'f'),
  ];
  expect({outcomes, seen}).toMatchSnapshot();
});
