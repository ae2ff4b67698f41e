import {setTimeout as delay} from 'node:timers/promises';
import type {Server} from 'node:http';
import PQueue from 'p-queue';
import {fail} from '@pistachiorill/core';
import type {Result, StatementResult} from '@pistachiorill/core';
import {
  MysqlServer,
  ServerConnection,
  splitAddress,
  matchesVerifier,
  computeVerifier,
} from '@pistachiorill/mysql';
import type {
  ClientError,
  HandshakeRequest,
  RawServerConnection,
} from '@pistachiorill/mysql';
import {ask} from '@pistachiorill/tasks';
import {serveFaults} from '../fault_server.js';
import {runControlStatement} from './control_statement.js';
import type {MemberConfig} from './member_config.js';
import {MemberFaults} from './member_faults.js';
import {FileJournal, VolatileJournal} from './member_journal.js';
import {mysqlErrorOf} from './member_error.js';
import type {MemberError} from './member_error.js';
import {MemberTask} from './member_task.js';
import {ReplicationTask} from './replication_task.js';
import {Storage} from './storage.js';

type SessionRole = 'pending' | 'data' | 'control';

/** The MySQL server of one stand-in member. */
export class MemberServer {
  private readonly server: MysqlServer;
  private readonly slots: PQueue;
  private readonly open = new Set<ServerConnection>();
  private readonly replication: ReplicationTask;
  private readonly task: MemberTask;
  private readonly faults: MemberFaults;
  private faultServer: Server | undefined;

  private constructor(
    private readonly cfg: MemberConfig,
    storage: Storage,
  ) {
    this.slots = new PQueue({concurrency: cfg.slots});
    this.faults = new MemberFaults({
      receiveLagMs: 0,
      applyLagMs: cfg.applyLagMs,
      activity: 'running',
      cutFrom: [],
    });
    this.replication = new ReplicationTask(
      {user: cfg.controlUser, password: cfg.controlPassword},
      message => this.task.tell(message),
      this.faults,
      cfg.name,
    );
    this.task = new MemberTask(
      cfg,
      storage,
      cfg.dataFolder === undefined
        ? new VolatileJournal()
        : new FileJournal(cfg.dataFolder),
      this.faults,
      change => this.replication.change(change),
    );
    this.server = new MysqlServer((raw, id) => this.accept(raw, id));
  }

  /** Starts a member and returns its port, as the requested one may be 0. */
  static async start(
    cfg: MemberConfig,
  ): Promise<{port: number; server: MemberServer}> {
    const member = new MemberServer(cfg, await Storage.create());
    const port = await member.server.listen(cfg.address);
    if (cfg.faultPort !== undefined) {
      const {host} = splitAddress(cfg.address);
      const target = {
        read: () => member.faults.settings,
        change: (changes: object) => member.faults.change(changes),
      };
      member.faultServer = await serveFaults(target, host, cfg.faultPort);
    }
    member.task.resume();
    return {port, server: member};
  }

  /** Stops replication, the servers and all open connections. */
  close(): void {
    this.server.close();
    this.faultServer?.close();
    this.replication.change({kind: 'lead'});
    for (const connection of this.open) connection.close();
  }

  private accept(raw: RawServerConnection, id: number): void {
    let role: SessionRole = 'pending';
    let sessionOpened: Promise<Result<void, MemberError>> | undefined;
    const queue = new PQueue({concurrency: 1});
    const connection = new ServerConnection(raw, id, {
      onHandshake: req => {
        const found = this.authenticate(req);
        if (typeof found !== 'string') return found;
        role = found;
        // The limit also covers the control connections of the VMs, but not
        // those of the other members.
        sessionOpened = ask(reply =>
          this.task.tell({kind: 'open-session', session: id, reply}),
        );
        return undefined;
      },
      onQuery: sql => {
        void queue.add(async () => {
          const admitted = await sessionOpened;
          const result = admitted?.ok
            ? await this.run(role, id, sql)
            : fail(admitted?.err ?? UNAUTHENTICATED);
          send(connection, result);
          if (admitted && !admitted.ok) connection.close();
        });
      },
      onUnsupported: () => send(connection, fail(NOT_SUPPORTED)),
      onClose: () => {
        this.open.delete(connection);
        this.task.tell({kind: 'close-session', session: id});
      },
    });
    this.open.add(connection);
    setTimeout(() => {
      void this.faults
        .waitUntilRunning()
        .then(() => connection.handshake('8.0.0-standin'));
    }, this.cfg.connectDelayMs);
  }

  private authenticate(req: HandshakeRequest): SessionRole | ClientError {
    const {cfg} = this;
    const passwords: ReadonlyArray<readonly [SessionRole, string, string]> = [
      ['data', cfg.dataUser, cfg.dataPassword],
      ['control', cfg.controlUser, cfg.controlPassword],
    ];
    for (const [role, user, password] of passwords) {
      const verifier = computeVerifier(password);
      if (
        req.user === user &&
        matchesVerifier(req.answer, req.challenge, verifier)
      ) {
        return role;
      }
    }
    return {errno: 1045, sqlState: '28000', message: 'access denied'};
  }

  private async run(
    role: SessionRole,
    session: number,
    sql: string,
  ): Promise<Result<StatementResult, MemberError>> {
    await this.faults.waitUntilRunning();
    if (role === 'control') {
      return runControlStatement(sql, message => this.task.tell(message));
    }
    await this.slots.add(() => delay(this.cfg.statementMs));
    return ask(reply =>
      this.task.tell({kind: 'statement', session, sql, reply}),
    );
  }
}

const UNAUTHENTICATED: MemberError = {
  kind: 'access-denied',
  detail: 'access denied',
};

const NOT_SUPPORTED: MemberError = {
  kind: 'statement',
  detail: 'not supported',
};

function send(
  connection: ServerConnection,
  result: Result<StatementResult, MemberError>,
): void {
  if (result.ok) {
    connection.sendResult(result.value);
    return;
  }
  connection.sendError({
    ...mysqlErrorOf(result.err),
    message: result.err.detail,
  });
}
