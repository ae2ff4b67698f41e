import {describe, expect, it} from 'vitest';
import {
  composeVersion,
  counterOf,
  describeVersion,
  eraOf,
} from '../store_version.js';

describe('store versions', () => {
  // Guards against a version of an earlier era that counts as the newer one, or
  // that changes when it is sent back to the store.
  it('order by era first and keep the counter', () => {
    const versions = [
      [0, 0],
      [0, 530],
      [1, 0],
      [1, 12],
      [2_000, 1_800_000_000_000],
      [9_999, 7],
      [9_999, 8],
    ].map(([era = 0, counter = 0]) => composeVersion(era, counter));
    const isAscending = versions.every(
      (version, i) => i === 0 || version > (versions[i - 1] ?? 0),
    );
    expect({
      isAscending,
      parts: versions.map(version => [eraOf(version), counterOf(version)]),
      described: versions.map(describeVersion),
    }).toMatchSnapshot();
  });
});
