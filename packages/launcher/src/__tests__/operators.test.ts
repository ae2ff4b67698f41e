import {execFile} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {Fleet} from '../fleet.js';
import {AUTHORITY_PROFILE} from '../profile.js';

const BUILD_FOLDER = fileURLToPath(
  new URL('../../../../build', import.meta.url),
);

interface CommandResult {
  readonly exitCode: number;
  readonly stdout: string;
  readonly stderr: string;
}

describe('the operators’ commands over separate processes', () => {
  const fleet = new Fleet(
    {...AUTHORITY_PROFILE, vmCount: 3, databaseCount: 1},
    BUILD_FOLDER,
  );
  const folder = mkdtempSync(join(tmpdir(), 'pistachiorill-operators-'));
  const [firstWorkspace = '', secondWorkspace = ''] =
    AUTHORITY_PROFILE.workspaces.map(workspace => workspace.name);

  beforeAll(async () => {
    await fleet.start();
    write('next.ini', firstWorkspace);
    write('other.ini', secondWorkspace);
  });
  afterAll(async () => {
    await fleet.stop();
    rmSync(folder, {recursive: true, force: true});
  });

  function write(name: string, withdrawn: string): void {
    const body = fleet.document({withdrawnWorkspaces: [withdrawn]});
    const reason = `reason = ${withdrawn} has lost its key`;
    writeFileSync(join(folder, name), `[document]\n${reason}\n${body}`);
  }

  function runCommand(...args: string[]): Promise<CommandResult> {
    const program = join(BUILD_FOLDER, 'pistachiorill.mjs');
    const common = ['--platform', fleet.platformUrl];
    return new Promise(resolve => {
      execFile(
        process.execPath,
        [program, ...args, ...common],
        {cwd: folder},
        (err, stdout, stderr) => {
          const exitCode = Number(err?.code ?? 0);
          resolve({
            exitCode,
            stdout: withoutVariableParts(stdout),
            stderr: withoutVariableParts(stderr),
          });
        },
      );
    });
  }

  // Guards against a document that reaches production without a trial, against
  // two concurrent promotions that both succeed, and against a refusal that
  // does not name the promotion that succeeded.
  it('runs a trial, promotes a document and refuses a conflict', async () => {
    const ann = ['--actor', 'ann'];
    const bob = ['--actor', 'bob', '--untried'];
    expect({
      untried: await runCommand('promote', 'next.ini', ...ann),
      trial: await runCommand('trial', 'next.ini', ...ann),
      promoted: await runCommand('promote', 'next.ini', ...ann),
      loser: await runCommand(
        'promote',
        'other.ini',
        ...bob,
        '--based-on',
        '1',
      ),
      repeated: await runCommand('promote', 'next.ini', ...ann),
    }).toMatchSnapshot();
  });

  // Guards against a status that omits a group or a VM.
  it('shows the status', async () => {
    const {exitCode, stdout} = await runCommand('status');
    expect(stdout.match(/ primary /g)).toHaveLength(1);
    // The primary and its term differ from run to run.
    const shown = stdout
      .replace(/ (primary|replica) /g, ' <role>  ')
      .replace(/^( +wash-ledger-1 +)\d+/gm, '$1<term>');
    expect({exitCode, shown}).toMatchSnapshot();
  });

  // Guards against a change without an audit entry, and against a secret in
  // the audit log.
  it('lists the changes of an operator', async () => {
    const {stdout} = await runCommand('audit', '--json', '--limit', '1000');
    const byOperators = stdout
      .split('\n')
      .filter(line => line.includes('"actor":"ann"'))
      .filter(line => line.includes('configuration/production'));
    expect(byOperators).toMatchSnapshot();
    expect(stdout).not.toMatch(/[0-9a-f]{40}/);
  });

  // Guards against a command that reports "nothing was changed" although a
  // change was made, and against one that hangs in an outage.
  it.each(['outage', 'lost-answers'])('ends under fault %s', async mode => {
    await fleet.setPlatformFault(mode);
    const result = await runCommand('promote', 'other.ini', '--untried');
    await fleet.setPlatformFault('none');
    expect(result).toMatchSnapshot();
  });
});

/** Replaces hashes, ids and times, which differ from run to run. */
function withoutVariableParts(text: string): string {
  return text
    .replace(/[0-9a-f]{64}/g, '<hash>')
    .replace(/[0-9a-f]{8}-[0-9a-f-]{27}/g, '<id>')
    .replace(/\d{4}-\d\d-\d\dT[\d:.]+Z/g, '<time>');
}
