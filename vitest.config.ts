import {defineConfig} from 'vitest/config';
import {aliases} from './vitest.aliases.js';

export default defineConfig({
  resolve: {alias: aliases},
  test: {
    include: [
      'packages/*/src/**/__tests__/**/*.test.ts',
      'platform/src/**/__tests__/**/*.test.ts',
      'soak/src/**/__tests__/**/*.test.ts',
    ],
    // Run by vitest.misbehaving.config.ts.
    exclude: ['**/node_modules/**', '**/__tests__/misbehaving/**'],
    // Process tests start many processes and wait for their first failover; a
    // busy machine must not change the verdict.
    testTimeout: 90_000,
    hookTimeout: 90_000,
    maxWorkers: 4,
    minWorkers: 1,
  },
});
