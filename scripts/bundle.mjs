/**
 * Bundles the programs into `build`, each into one file: the proxy, the
 * stand-ins, the demo, the experiments, the soak test and the measurements.
 */
import {buildPrograms} from './build_programs.mjs';

const PROGRAMS = {
  pistachiorill: 'packages/cli/src/main.ts',
  standins: 'packages/standins/src/main.ts',
  demo: 'packages/demo/src/main.ts',
  experiment: 'packages/experiment/src/main.ts',
  soak: 'soak/src/main.ts',
  measure_membership: 'packages/entry/src/measure/membership.ts',
  measure_slopes: 'packages/experiment/src/measure/slopes.ts',
  measure_document: 'packages/experiment/src/measure/document_slope.ts',
  measure_rates: 'packages/experiment/src/measure/rate_refusals.ts',
  measure_forwarding: 'packages/launcher/src/measure/forwarding.ts',
};

await buildPrograms(
  {
    entryPoints: PROGRAMS,
    outdir: 'build',
    outExtension: {'.js': '.mjs'},
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'esm',
    external: ['canvas', 'dtrace-provider', 'sql.js'],
    // CommonJS dependencies call `require`, which ES modules don't define.
    banner: {
      js: "import {createRequire as createBundleRequire} from 'node:module'; const require = createBundleRequire(import.meta.url);",
    },
    logLevel: 'warning',
  },
  Object.keys(PROGRAMS).map(name => `build/${name}.mjs`),
);
