import {defineConfig} from 'vitest/config';
import {aliases} from './vitest.aliases.js';

/**
 * Tests of misbehaving clients measure the memory and descriptors of real
 * processes, so one runs at a time and apart from all other tests.
 */
export default defineConfig({
  resolve: {alias: aliases},
  test: {
    include: [
      'packages/*/src/__tests__/misbehaving/*.test.ts',
      'platform/src/__tests__/misbehaving/*.test.ts',
    ],
    testTimeout: 120_000,
    hookTimeout: 120_000,
    fileParallelism: false,
    sequence: {concurrent: false},
  },
});
