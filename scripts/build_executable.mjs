/**
 * Builds `build/pistachiorill`, a single executable application: a copy of the
 * running Node.js with the bundled program embedded. It needs neither an
 * installed Node.js nor any packages.
 */
import {execFileSync} from 'node:child_process';
import {
  chmodSync,
  copyFileSync,
  mkdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {buildPrograms} from './build_programs.mjs';

const FOLDER = 'build/executable';
const PROGRAM = `${FOLDER}/pistachiorill.cjs`;
const BLOB = `${FOLDER}/pistachiorill.blob`;
const CONFIG = `${FOLDER}/sea.json`;
const TARGET = 'build/pistachiorill';
/** The marker by which Node.js detects an embedded program in its executable. */
const SENTINEL_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

mkdirSync(FOLDER, {recursive: true});

await buildPrograms(
  {
    entryPoints: ['packages/cli/src/main.ts'],
    outfile: PROGRAM,
    bundle: true,
    platform: 'node',
    target: 'node20',
    // Node.js runs embedded programs only as CommonJS.
    format: 'cjs',
    external: ['dtrace-provider'],
    define: {'import.meta.url': 'moduleUrl'},
    // The `require` of an embedded program loads only built-in modules and prints
    // a warning, so the banner replaces it. CommonJS has no `import.meta.url`.
    banner: {
      js: "require = require('node:module').createRequire(process.execPath); const moduleUrl = require('node:url').pathToFileURL(process.execPath).href;",
    },
    logLevel: 'warning',
  },
  [PROGRAM, TARGET],
);

rmSync(TARGET, {force: true});
writeFileSync(
  CONFIG,
  JSON.stringify({
    main: PROGRAM,
    output: BLOB,
    disableExperimentalSEAWarning: true,
  }),
);
execFileSync(process.execPath, ['--experimental-sea-config', CONFIG], {
  stdio: 'pipe',
});
// Not imported above, as it may not be installed.
const {inject} = await import('postject');
copyFileSync(process.execPath, TARGET);
chmodSync(TARGET, 0o755);
await inject(TARGET, 'NODE_SEA_BLOB', readFileSync(BLOB), {
  sentinelFuse: SENTINEL_FUSE,
});
