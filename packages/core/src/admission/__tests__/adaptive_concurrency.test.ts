import {describe, expect, it} from 'vitest';
import {
  UNLIMITED_CONCURRENCY,
  concurrencyLimit,
  limitAfterAnswer,
  limitAfterBusy,
  limitAfterError,
  limitAfterFailure,
  limitAfterStart,
} from '../adaptive_concurrency.js';
import type {
  AdaptiveConcurrency,
  AnsweredStatement,
} from '../adaptive_concurrency.js';

const FULL = 8;
const ROUND_MS = 20;

type Step = (
  state: AdaptiveConcurrency,
  answered: AnsweredStatement,
  now: number,
  index: number,
) => AdaptiveConcurrency;

const STEPS = {
  answers: limitAfterAnswer,
  slow: limitAfterAnswer,
  busy: limitAfterBusy,
  errors: limitAfterError,
  oneError: (state, answered, now, index) =>
    (index === 0 ? limitAfterError : limitAfterAnswer)(state, answered, now),
  fails: (state, unusedAnswered, now) => limitAfterFailure(state, FULL, now),
  recovers: (state, unusedAnswered, now) =>
    limitAfterStart(state, 'recovered', now),
} satisfies Record<string, Step>;

type Round = keyof typeof STEPS;

/** Sends as many statements as the limit allows; returns the next limit. */
function afterRound(
  state: AdaptiveConcurrency,
  round: Round,
  sentAt: number,
): AdaptiveConcurrency {
  const inFlight = Math.max(1, concurrencyLimit(state, FULL, sentAt));
  const now = sentAt + (round === 'slow' ? ROUND_MS * 9 : ROUND_MS);
  const answered = {sentAt, inFlight, full: FULL};
  let next = state;
  for (let index = 0; index < inFlight; index++) {
    const step: Step = STEPS[round];
    next = step(next, answered, now, index);
  }
  return next;
}

/** Returns the limit after each round, e.g. `busy 4`; `-` if there is none. */
function play(start: AdaptiveConcurrency, rounds: readonly Round[]): string[] {
  let state = start;
  return rounds.map((round, index) => {
    state = afterRound(state, round, index * 1_000);
    const {limit, reason} = state;
    return `${round} ${reason === 'none' ? '-' : limit.toFixed(2)}`;
  });
}

const STARTED = limitAfterStart(UNLIMITED_CONCURRENCY, 'started', -1);
const five = (round: Round): Round[] => Array(5).fill(round);

const CASES: ReadonlyArray<
  readonly [string, AdaptiveConcurrency, readonly Round[]]
> = [
  ['starts at 1, doubles, is lifted', STARTED, five('answers')],
  [
    'a statement error of a caller',
    UNLIMITED_CONCURRENCY,
    ['answers', 'oneError', 'answers', 'oneError'],
  ],
  [
    'busy, then below 1 and back',
    UNLIMITED_CONCURRENCY,
    ['answers', ...five('busy'), ...five('answers'), ...five('answers')],
  ],
  [
    'latency far above the baseline',
    UNLIMITED_CONCURRENCY,
    [...five('answers'), ...five('slow'), ...five('answers')],
  ],
  [
    'flapping: keeps the limit until it has answered for longer',
    STARTED,
    [...five('answers'), 'fails', 'recovers', ...five('answers')].concat(
      five('answers'),
    ) as Round[],
  ],
  ['gray: many statements fail', UNLIMITED_CONCURRENCY, five('errors')],
];

describe('AdaptiveConcurrency', () => {
  // Guards against a limit that jumps, that stays after the trouble has ended,
  // and against one caller's faulty statements that limit all others.
  it.each(CASES)('%s', (unusedName, start, rounds) => {
    expect(play(start, rounds)).toMatchSnapshot();
  });
});
