import {spawnSync} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import {beforeAll, expect, it} from 'vitest';

const ROOT = fileURLToPath(new URL('../../../..', import.meta.url));
const FIXTURES = 'packages/document/src/__tests__/__fixtures__';

function run(file: string, args: readonly string[]) {
  const {status, stdout, stderr} = spawnSync(file, args, {
    cwd: ROOT,
    encoding: 'utf8',
  });
  return {status, stdout, stderr};
}

beforeAll(() => {
  const build = run(process.execPath, ['scripts/build_executable.mjs']);
  expect(build.status, build.stderr).toBe(0);
}, 60_000);

// Guards against an executable that depends on other files, prints warnings
// about its packaging, or returns a wrong exit code.
it.each([
  ['--help'],
  ['check', `${FIXTURES}/small.ini`],
  ['check', `${FIXTURES}/bad_syntax.ini`],
  ['check', 'absent.ini'],
  ['entry', '--settings', `${FIXTURES}/bad_settings.ini`],
  ['promote', `${FIXTURES}/small.ini`],
  ['restart'],
])('runs %s %s %s', (...args) => {
  expect(run('build/pistachiorill', args)).toMatchSnapshot();
});
