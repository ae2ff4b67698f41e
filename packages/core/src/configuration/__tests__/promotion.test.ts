import {describe, expect, it} from 'vitest';
import {Random} from '../../common/random.js';
import {
  acceptanceName,
  configurationKey,
  decodeConfigurationRow,
} from '../configuration_row.js';
import {nextConfiguration} from '../next_configuration.js';
import type {PromotionRequest, VmReport} from '../promotion.js';
import {rolloutOf} from '../promotion_machine.js';
import {FakeStore, PromotionRunner} from './fake_store.js';

const FAULTS = ['down', 'lost', 'delayed'] as const;
const STEPS = 6;

function request(changes: Partial<PromotionRequest> = {}): PromotionRequest {
  return {
    environment: 'production',
    hash: 'new',
    operationId: 'op-ann',
    actor: 'ann',
    basedOn: 1,
    trialCheck: 'required',
    writeUntil: 1_000,
    waitUntil: 2_000,
    ...changes,
  };
}

/** Production has version 1, and trial has accepted two documents. */
function storeWithVersion1(): FakeStore {
  const store = new FakeStore();
  store.rows.set(configurationKey('production'), {
    version: 1,
    hash: 'old',
    basedOn: 0,
    operationId: 'op-old',
    actor: 'old',
    recent: [],
  });
  for (const hash of ['new', 'other']) {
    store.objects.add(acceptanceName('trial', hash));
  }
  return store;
}

function versionOf(store: FakeStore): string {
  const row = store.rows.get(configurationKey('production'));
  return `version ${row?.version} by ${row?.actor}`;
}

describe('a promotion', () => {
  // Guards against a write that is lost or repeated when one request fails.
  it.each(FAULTS)('succeeds after one %s request at any step', fault => {
    const lines = Array.from({length: STEPS}, (unused, failing) => {
      const store = storeWithVersion1();
      const runner = new PromotionRunner(store, request());
      const outcome = runner.finish(index =>
        index === failing ? fault : 'none',
      );
      return `${runner.trace.join(' ')} => ${outcome}, ${versionOf(store)}`;
    });
    expect(lines).toMatchSnapshot();
  });

  // Guards against a reply that nothing was changed although the write may have
  // taken effect.
  it.each(FAULTS)('finishes if all requests are %s from a step on', fault => {
    const lines = Array.from({length: STEPS}, (unused, failing) => {
      const store = storeWithVersion1();
      const outcome = new PromotionRunner(store, request()).finish(index =>
        index >= failing ? fault : 'none',
      );
      return `from step ${failing}: ${outcome}, ${versionOf(store)}`;
    });
    expect(lines).toMatchSnapshot();
  });

  // Guards against two concurrent promotions that both succeed, and against a
  // conflict that does not name the other operator.
  it.each(['none', ...FAULTS] as const)(
    'succeeds for one of two concurrent operators in any order (%s write)',
    fault => {
      const results = new Set<string>();
      for (const order of interleavings(STEPS, STEPS)) {
        const store = storeWithVersion1();
        const ann = new PromotionRunner(store, request());
        const bob = new PromotionRunner(
          store,
          request({hash: 'other', operationId: 'op-bob', actor: 'bob'}),
        );
        let step = 0;
        for (const first of order) {
          if (first) ann.advance(step++ === 3 ? fault : 'none');
          else bob.advance('none');
        }
        const outcomes = [ann.finish(), bob.finish()];
        results.add(`${outcomes.join(' | ')} => ${versionOf(store)}`);
      }
      expect([...results].sort()).toMatchSnapshot();
    },
  );

  // Guards against a second version when an operator repeats a command that
  // was killed.
  it.each(['none', 'delayed'] as const)(
    'creates one version if it is killed at any step and repeated (%s write)',
    fault => {
      const lines = Array.from({length: STEPS + 1}, (unused, killedAt) => {
        const store = storeWithVersion1();
        const killed = new PromotionRunner(store, request());
        for (let index = 0; index < killedAt; index += 1) {
          killed.advance(index === 3 ? fault : 'none');
        }
        const repeated = new PromotionRunner(
          store,
          request({operationId: 'op-ann-2', basedOn: 'current'}),
        );
        return `${killedAt} steps: ${repeated.finish()}, ${versionOf(store)}`;
      });
      expect(lines).toMatchSnapshot();
    },
  );

  // Guards against a document in production that was never in trial.
  it('requires the acceptance of trial unless the check is skipped', () => {
    const outcomes = (['required', 'skipped'] as const).map(trialCheck =>
      new PromotionRunner(
        storeWithVersion1(),
        request({hash: 'untried', trialCheck}),
      ).finish(),
    );
    expect(outcomes).toMatchSnapshot();
  });

  // Guards against a report that a version was never in force if the answer to
  // its write was lost and it was replaced before the retry.
  it('reports that it was in force and has been replaced', () => {
    const store = storeWithVersion1();
    const ann = new PromotionRunner(store, request());
    for (let index = 0; index < 3; index += 1) ann.advance('none');
    ann.advance('lost');
    const bob = {hash: 'other', operationId: 'op-bob', actor: 'bob'};
    new PromotionRunner(store, request({...bob, basedOn: 2})).finish();
    expect(ann.finish()).toBe('superseded with bob');
  });

  // Guards against a promotion reported as complete that a live VM has not
  // applied.
  it('counts the live VMs that have applied the version', () => {
    const vm = (listed: 'live' | 'leaving', version: number): VmReport => ({
      vm: 'a',
      dataCentre: 'a',
      platformState: listed,
      kind: 'applied',
      version,
    });
    const live = (...versions: number[]) => versions.map(v => vm('live', v));
    expect({
      all: rolloutOf([...live(2, 3), vm('leaving', 1)], 2),
      majority: rolloutOf(live(2, 2, 1), 2),
      half: rolloutOf(live(2, 1), 2),
    }).toMatchSnapshot();
  });
});

describe('a VM', () => {
  // Guards against a late answer that restores an earlier version.
  it('applies only higher versions in any order of answers', () => {
    for (let seed = 1; seed <= 200; seed += 1) {
      const random = new Random(seed);
      const applied = [0];
      for (let answer = 0; answer < 20; answer += 1) {
        const received = Array.from({length: random.integer(0, 3)}, () => {
          const version = random.integer(1, 9);
          return {version, hash: `h${version}`};
        });
        const next = nextConfiguration(applied.at(-1) ?? 0, received);
        if (next) applied.push(next.version);
      }
      expect(applied).toEqual([...new Set(applied)].sort((a, b) => a - b));
    }
  });
});

// Guards against an exception for a row value in another format.
it.each(['', '{}', 'null', '[]', '{"hash":1}'])(
  'decodes a row value %s as undefined',
  value => expect(decodeConfigurationRow(value, 1)).toBeUndefined(),
);

/**
 * Returns all interleavings of `a` steps of one operator (true) and `b` steps
 * of another (false).
 */
function interleavings(a: number, b: number): boolean[][] {
  if (a === 0) return [Array<boolean>(b).fill(false)];
  if (b === 0) return [Array<boolean>(a).fill(true)];
  return [
    ...interleavings(a - 1, b).map(rest => [true, ...rest]),
    ...interleavings(a, b - 1).map(rest => [false, ...rest]),
  ];
}
