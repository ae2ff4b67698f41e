/** Bundles the gateway into one file that is deployed to the platform's VMs. */
import {buildPrograms} from './build_programs.mjs';

const PROGRAM = 'target/pistachiorill.mjs';

await buildPrograms(
  {
    entryPoints: ['platform/src/main.ts'],
    outfile: PROGRAM,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'esm',
    minify: true,
    external: ['dtrace-provider', 'mv', 'safe-json-stringify'],
    // CommonJS dependencies call `require`, which ES modules don't define.
    banner: {
      js: "import {createRequire as createBundleRequire} from 'node:module'; const require = createBundleRequire(import.meta.url);",
    },
    logLevel: 'warning',
  },
  [PROGRAM],
);
