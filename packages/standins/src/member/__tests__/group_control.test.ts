import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {SqlGroupControl} from '@pistachiorill/mysql';
import {afterEach, describe, expect, it} from 'vitest';
import {DEFAULT_MEMBER_CONFIG} from '../member_config.js';
import {MemberServer} from '../member_server.js';

type Call =
  | readonly ['fence' | 'promote', number, string]
  | readonly ['follow', number]
  | readonly ['restart'];

/** No server listens on it, so a member that follows it fetches no entries. */
const ABSENT_PRIMARY = '127.0.0.1:1';

const CASES: ReadonlyArray<readonly [string, readonly Call[]]> = [
  [
    'fence and promote',
    [
      ['fence', 1, 'a'],
      ['promote', 1, 'a'],
    ],
  ],
  [
    'fence repeated by its owner',
    [
      ['fence', 2, 'a'],
      ['fence', 2, 'a'],
    ],
  ],
  [
    'fence of another owner',
    [
      ['fence', 2, 'a'],
      ['fence', 2, 'b'],
    ],
  ],
  [
    'stale fence',
    [
      ['fence', 2, 'a'],
      ['fence', 1, 'a'],
    ],
  ],
  [
    'higher fence',
    [
      ['fence', 1, 'a'],
      ['promote', 1, 'a'],
      ['fence', 2, 'b'],
    ],
  ],
  ['promote without fence', [['promote', 1, 'a']]],
  [
    'promote of another owner',
    [
      ['fence', 1, 'a'],
      ['promote', 1, 'b'],
    ],
  ],
  [
    'promote of a stale term',
    [
      ['fence', 2, 'a'],
      ['promote', 1, 'a'],
    ],
  ],
  [
    'promote repeated',
    [
      ['fence', 1, 'a'],
      ['promote', 1, 'a'],
      ['promote', 1, 'a'],
    ],
  ],
  [
    'promote after a higher fence',
    [
      ['fence', 1, 'a'],
      ['fence', 2, 'b'],
      ['promote', 1, 'a'],
    ],
  ],
  [
    'promote after follow in the term',
    [
      ['fence', 1, 'a'],
      ['follow', 1],
      ['promote', 1, 'a'],
    ],
  ],
  [
    'owner of an older term after a follow',
    [
      ['fence', 1, 'a'],
      ['follow', 2],
      ['fence', 2, 'a'],
      ['promote', 2, 'a'],
    ],
  ],
  [
    'primary ordered to follow its own term',
    [
      ['fence', 1, 'a'],
      ['promote', 1, 'a'],
      ['follow', 1],
    ],
  ],
  [
    'former primary ordered to follow',
    [
      ['fence', 1, 'a'],
      ['promote', 1, 'a'],
      ['follow', 2],
      ['follow', 2],
    ],
  ],
  [
    'stale follow',
    [
      ['fence', 3, 'a'],
      ['follow', 2],
    ],
  ],
  [
    'restart of a fenced primary',
    [['fence', 1, 'a'], ['promote', 1, 'a'], ['fence', 2, 'b'], ['restart']],
  ],
  ['restart of a replica', [['follow', 4], ['restart'], ['fence', 4, 'b']]],
];

describe('GroupControl of the stand-in member', () => {
  const folders: string[] = [];
  afterEach(() => {
    for (const folder of folders.splice(0)) {
      rmSync(folder, {recursive: true, force: true});
    }
  });

  // Guards against two primaries in one term, and against a fence that is lost
  // or lowered by a repeated call, a stale call or a restart.
  it.each(CASES)('%s', async (unusedName, calls) => {
    const dataFolder = mkdtempSync(join(tmpdir(), 'member-'));
    folders.push(dataFolder);
    let member = await startMember(dataFolder);
    const seen: string[] = [];
    for (const call of calls) {
      if (call[0] === 'restart') {
        member.close();
        member = await startMember(dataFolder);
        seen.push(`restart -> ${formatResult(await member.control.state())}`);
        continue;
      }
      const result =
        call[0] === 'follow'
          ? await member.control.follow(call[1], ABSENT_PRIMARY)
          : await member.control[call[0]](call[1], call[2]);
      seen.push(`${call.join(' ')} -> ${formatResult(result)}`);
    }
    member.close();
    expect(seen).toMatchSnapshot();
  });
});

async function startMember(dataFolder: string) {
  const {port, server} = await MemberServer.start({
    ...DEFAULT_MEMBER_CONFIG,
    connectDelayMs: 0,
    name: 'member',
    address: '127.0.0.1:0',
    dataFolder,
  });
  const control = new SqlGroupControl(
    `127.0.0.1:${port}`,
    {user: 'control', password: 'control-password'},
    2_000,
  );
  const close = (): void => {
    control.close();
    server.close();
  };
  return {control, close};
}

function formatResult(
  result: Awaited<ReturnType<SqlGroupControl['state']>>,
): string {
  if (!result.ok) {
    const {err} = result;
    return `${err.kind} ${err.kind === 'lost' ? '' : err.errno}`;
  }
  const {role, term, fencedTerm, fencedOwner, received} = result.value;
  const end = `${received.term}/${received.position}`;
  return `${role} ${term}, fenced ${fencedTerm} '${fencedOwner}', log ${end}`;
}
