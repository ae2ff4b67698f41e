import {userInfo} from 'node:os';
import {ENVIRONMENTS} from '@pistachiorill/core';
import type {Environment} from '@pistachiorill/core';
import meow from 'meow';
import {runAudit} from './commands/audit.js';
import {runCheck} from './commands/check.js';
import {runEntry} from './commands/entry.js';
import {runPromote} from './commands/promote.js';
import {runStatus} from './commands/status.js';
import {EXIT_CODES} from './support/exit_code.js';
import type {ExitCode} from './support/exit_code.js';
import type {Output} from './support/output.js';
import {openPlatform} from './support/platform.js';

const HELP = `
  Usage
    $ pistachiorill entry --settings entry.ini
    $ pistachiorill check document.ini
    $ pistachiorill trial document.ini --platform http://10.0.0.9:7000
    $ pistachiorill promote document.ini --platform http://10.0.0.9:7000
    $ pistachiorill status --platform http://10.0.0.9:7000
    $ pistachiorill audit --platform http://10.0.0.9:7000

  Commands
    entry      run the daemon of an entry VM
    check      check a document and print its hash
    trial      put a document in force in trial
    promote    put a document in force in production
    status     show versions, groups and what drains
    audit      list who changed what

  Options
    --settings     settings file of the daemon (entry.ini)
    --platform     base address of the platform
    --timeout-ms   limit for one request to the platform (2000)
    --actor        name for the audit trail (the login name)
    --based-on     version that the document was edited from (the current one)
    --untried      promote a document that trial has not accepted
    --dry-run      show the changes and stop
    --wait-ms      how long to wait for the VMs (15000)
    --environment  trial or production, for status (production)
    --since        first date or time to list, for audit
    --limit        most entries to list, for audit (50)
    --json         print JSON, for audit and check
    --against      file of the version in force to compare with, for check

  Exit codes
    0 done             3 refused, not changed   5 outcome unknown
    1 file has errors  4 platform unavailable,  6 in force, not yet on all
    2 wrong usage        not changed              live VMs
    7 unexpected fault   8 check found warnings only
`;

const FLAGS = {
  settings: {type: 'string', default: 'entry.ini'},
  platform: {type: 'string'},
  timeoutMs: {type: 'number', default: 2_000},
  actor: {type: 'string'},
  basedOn: {type: 'number'},
  untried: {type: 'boolean', default: false},
  dryRun: {type: 'boolean', default: false},
  waitMs: {type: 'number', default: 15_000},
  environment: {type: 'string', default: 'production'},
  since: {type: 'string', default: ''},
  limit: {type: 'number', default: 50},
  json: {type: 'boolean', default: false},
  against: {type: 'string'},
} as const;

/** Parses the command line, runs the command and returns its exit code. */
export async function runCli(
  args: readonly string[],
  /** The `import.meta.url` of the program's main module. */
  moduleUrl: string,
  out: Output,
): Promise<ExitCode> {
  const {input, flags} = meow(HELP, {
    importMeta: {url: moduleUrl} as ImportMeta,
    argv: args,
    flags: FLAGS,
    allowUnknownFlags: false,
    description: false,
    version: VERSION,
  });
  const [command, path] = input;
  const {timeoutMs, basedOn = 0, waitMs, limit} = flags;
  const numbers = [timeoutMs - 1, basedOn, waitMs, limit - 1];
  // Also rejects options that are not numbers, as they are parsed to NaN.
  if (!numbers.every(value => value >= 0)) {
    return usage('expected numbers in range for the options', out);
  }
  switch (command) {
    case 'entry':
      return runEntry(flags.settings, out);
    case 'check':
      return path === undefined
        ? usage('check needs the name of a document', out)
        : runCheck(
            {
              path,
              against: flags.against,
              format: flags.json ? 'json' : 'text',
            },
            out,
          );
    case 'trial':
    case 'promote': {
      if (path === undefined) {
        return usage(`${command} needs the name of a document`, out);
      }
      const platform = platformOf(flags);
      if (!platform) return usage('expected --platform http://host:port', out);
      const environment = command === 'trial' ? 'trial' : 'production';
      const skipTrialCheck = command === 'trial' || flags.untried;
      return runPromote(
        {
          environment,
          path,
          actor: flags.actor ?? userInfo().username,
          basedOn: flags.basedOn,
          trialCheck: skipTrialCheck ? 'skipped' : 'required',
          mode: flags.dryRun ? 'show-changes' : 'promote',
          waitMs: flags.waitMs,
        },
        platform,
        out,
      );
    }
    case 'status': {
      const platform = platformOf(flags);
      if (!platform) return usage('expected --platform http://host:port', out);
      const {environment} = flags;
      return isEnvironment(environment)
        ? runStatus(environment, platform, out)
        : usage('expected --environment trial or production', out);
    }
    case 'audit': {
      const platform = platformOf(flags);
      if (!platform) return usage('expected --platform http://host:port', out);
      const {since, json} = flags;
      const format = json ? 'json' : 'text';
      return runAudit({since, limit, format}, platform, out);
    }
    default:
      return usage('expected a command', out);
  }
}

const VERSION = '0.1.0';

function platformOf(flags: {platform: string | undefined; timeoutMs: number}) {
  if (!flags.platform || !URL.canParse(flags.platform)) return undefined;
  return openPlatform(flags.platform.replace(/\/$/, ''), flags.timeoutMs);
}

function isEnvironment(text: string): text is Environment {
  return (ENVIRONMENTS as readonly string[]).includes(text);
}

function usage(detail: string, out: Output): ExitCode {
  out.warn(`${detail}; see pistachiorill --help`);
  return EXIT_CODES.usage;
}
