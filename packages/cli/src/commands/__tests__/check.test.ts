import {expect, it} from 'vitest';
import {runCli} from '../../run_cli.js';

const FIXTURES = 'packages/document/src/__tests__/__fixtures__';

async function run(args: readonly string[]) {
  const stdout: string[] = [];
  const stderr: string[] = [];
  const status = await runCli(['check', ...args], import.meta.url, {
    print: line => stdout.push(line),
    warn: line => stderr.push(line),
  });
  return {status, stdout, stderr};
}

// Guards against an exit code or output that hides a finding from scripts, and
// against a comparison with a version that cannot be read.
it.each([
  [['small.ini']],
  [['warnings.ini']],
  [['bad_references.ini', '--json']],
  [['small.ini', '--json']],
  [['changed.ini', '--against', 'small.ini']],
  [['changed.ini', '--against', 'small.ini', '--json']],
  [['small.ini', '--against', 'bad_syntax.ini']],
  [['small.ini', '--against', 'absent.ini']],
])('checks %s', async args => {
  const paths = args.map(arg =>
    arg.endsWith('.ini') ? `${FIXTURES}/${arg}` : arg,
  );
  expect(await run(paths)).toMatchSnapshot();
});
