import meow from 'meow';
import {serveFaults} from './fault_server.js';
import {LinkServer} from './link/link_server.js';
import {DEFAULT_MEMBER_CONFIG} from './member/member_config.js';
import {MemberServer} from './member/member_server.js';
import {PlatformServer} from './platform/platform_server.js';

const cli = meow(
  `
  Usage
    $ standins platform --port 7000
    $ standins member --name ledger-1a --port 7101
    $ standins link --port 7201 --target 127.0.0.1:7101 --delay-ms 1.5

  Options
    --host                 address to listen on (127.0.0.1)
    --port                 port to listen on
    --name                 name of the member
    --connection-limit     connections that the member accepts (15)
    --slots                statements that run at a time (2)
    --connect-delay-ms     time to open a connection (10)
    --statement-ms         time that a statement takes (1)
    --apply-lag-ms         delay before a replica applies an entry (0)
    --data-folder          where a member keeps its log, term and fence
    --fault-port           port for GET and PUT /faults of a member or link
    --target               address that a link relays to
    --delay-ms             delay of a link in each direction (0)
`,
  {
    importMeta: import.meta,
    flags: {
      host: {type: 'string', default: '127.0.0.1'},
      port: {type: 'number', default: 0},
      name: {type: 'string', default: 'member'},
      connectionLimit: {
        type: 'number',
        default: DEFAULT_MEMBER_CONFIG.connectionLimit,
      },
      slots: {type: 'number', default: DEFAULT_MEMBER_CONFIG.slots},
      connectDelayMs: {
        type: 'number',
        default: DEFAULT_MEMBER_CONFIG.connectDelayMs,
      },
      statementMs: {type: 'number', default: DEFAULT_MEMBER_CONFIG.statementMs},
      applyLagMs: {type: 'number', default: DEFAULT_MEMBER_CONFIG.applyLagMs},
      dataFolder: {type: 'string'},
      faultPort: {type: 'number'},
      target: {type: 'string', default: ''},
      delayMs: {type: 'number', default: 0},
    },
  },
);

const {flags} = cli;

switch (cli.input[0]) {
  case 'platform': {
    const {port} = await PlatformServer.start(flags.host, flags.port);
    console.log(`platform listens on ${flags.host}:${port}`);
    break;
  }
  case 'member': {
    const {port} = await MemberServer.start({
      ...DEFAULT_MEMBER_CONFIG,
      name: flags.name,
      address: `${flags.host}:${flags.port}`,
      connectionLimit: flags.connectionLimit,
      slots: flags.slots,
      connectDelayMs: flags.connectDelayMs,
      statementMs: flags.statementMs,
      applyLagMs: flags.applyLagMs,
      dataFolder: flags.dataFolder,
      faultPort: flags.faultPort,
    });
    console.log(`member ${flags.name} listens on ${flags.host}:${port}`);
    break;
  }
  case 'link': {
    const {port, server} = await LinkServer.start(
      `${flags.host}:${flags.port}`,
      flags.target,
      {state: 'open', delayMs: flags.delayMs, cutSources: []},
    );
    if (flags.faultPort !== undefined) {
      const target = {
        read: () => server.settings,
        change: (changes: object) => server.change(changes),
      };
      await serveFaults(target, flags.host, flags.faultPort);
    }
    console.log(`link to ${flags.target} listens on ${flags.host}:${port}`);
    break;
  }
  default:
    cli.showHelp(2);
}
