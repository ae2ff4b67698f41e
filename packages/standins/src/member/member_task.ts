import {fail, ok} from '@pistachiorill/core';
import type {MemberState, Result, StatementResult} from '@pistachiorill/core';
import {Task} from '@pistachiorill/tasks';
import type {Reply} from '@pistachiorill/tasks';
import type {MemberConfig} from './member_config.js';
import type {MemberError} from './member_error.js';
import type {MemberFaults} from './member_faults.js';
import type {MemberJournal} from './member_journal.js';
import type {LogReply} from './member_log.js';
import {MemberLog} from './member_log.js';
import type {MemberMessage} from './member_message.js';
import {toRowsResult} from './rows_result.js';
import type {Storage} from './storage.js';

const LOCK_TIMEOUT_MS = 2_000;
/** Entries in one response to a replica. */
const LOG_BATCH = 500;
const LOG_END_QUERY =
  'SELECT @@group_role, @@group_term, @@group_entry_term, @@group_position';

type StatementReply = Reply<Result<StatementResult, MemberError>>;

/** A write that is blocked by the open write transaction of another session. */
interface BlockedWrite {
  readonly session: number;
  readonly sql: string;
  readonly reply: StatementReply;
  readonly timer: NodeJS.Timeout;
}

interface Session {
  /** `aborted` when a fence has rolled the transaction back. */
  transaction: 'none' | 'open' | 'aborted';
}

/** The member follows a primary (`follow`) or became one itself (`lead`). */
export type RoleChange =
  | {readonly kind: 'follow'; readonly term: number; readonly primary: string}
  | {readonly kind: 'lead'};

/** Called after a change of the member's role or of the primary it follows. */
export type RoleListener = (change: RoleChange) => void;

/**
 * Owns the log, the data and the sessions of one member. At most one write
 * transaction is open at a time; writes of other sessions wait for its end.
 */
export class MemberTask extends Task<MemberMessage> {
  private readonly log: MemberLog;
  private readonly sessions = new Map<number, Session>();
  private blockedWrites: BlockedWrite[] = [];
  /** The session with the open write transaction. */
  private writerSession: number | undefined;
  /** Statements that the open write transaction has executed. */
  private written: string[] = [];
  private applyTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly cfg: MemberConfig,
    private readonly storage: Storage,
    journal: MemberJournal,
    private readonly faults: MemberFaults,
    private readonly onRoleChange: RoleListener,
  ) {
    super();
    this.log = new MemberLog(journal);
    this.applyAll();
  }

  /** Resumes the replication that a restart interrupted. */
  resume(): void {
    const {term, primary} = this.log;
    if (primary !== '') this.onRoleChange({kind: 'follow', term, primary});
  }

  protected override handle(message: MemberMessage): void {
    switch (message.kind) {
      case 'statement':
        this.statement(message.session, message.sql, message.reply);
        return;
      case 'open-session':
        message.reply.answer(this.openSession(message.session));
        return;
      case 'close-session':
        this.closeSession(message.session);
        return;
      case 'state':
        message.reply.answer(ok(this.state()));
        return;
      case 'fence':
        this.replyWithState(
          this.log.fence(message.term, message.owner),
          message,
        );
        if (!this.log.checkWritable().ok) this.abortWriter();
        return;
      case 'promote':
        this.promote(message.term, message.owner, message.reply);
        return;
      case 'follow':
        this.follow(message.term, message.primary, message.reply);
        return;
      case 'read-log':
        message.reply.answer(this.readLog(message.term, message.end));
        return;
      case 'replicated':
        this.applyLogReply(message.term, message.log);
        message.reply.answer(this.log.received);
        return;
      case 'apply-next':
        this.applyNext();
        return;
    }
  }

  protected override onFailure(err: unknown): void {
    console.error(`member ${this.cfg.name} failed: ${String(err)}`);
  }

  private openSession(id: number): Result<void, MemberError> {
    if (this.sessions.size >= this.cfg.connectionLimit) {
      return fail({
        kind: 'too-many-connections',
        detail: `limit ${this.cfg.connectionLimit}`,
      });
    }
    this.sessions.set(id, {transaction: 'none'});
    return ok(undefined);
  }

  private closeSession(id: number): void {
    this.sessions.delete(id);
    this.blockedWrites = this.blockedWrites.filter(write => {
      if (write.session !== id) return true;
      clearTimeout(write.timer);
      return false;
    });
    if (this.writerSession === id) this.endWrite('rollback');
  }

  private statement(id: number, sql: string, reply: StatementReply): void {
    const session = this.sessions.get(id);
    if (!session) return;
    const keyword = leadingKeyword(sql);
    if (keyword === 'BEGIN' || keyword === 'START') {
      if (this.writerSession === id) this.endWrite('commit');
      session.transaction = 'open';
      reply.answer(ok(DONE));
    } else if (keyword === 'COMMIT' || keyword === 'ROLLBACK') {
      reply.answer(this.endTransaction(id, session, keyword));
    } else if (session.transaction === 'aborted') {
      reply.answer(readOnly('the transaction was rolled back'));
    } else if (keyword === 'SELECT') {
      reply.answer(this.select(id, sql));
    } else {
      this.write(id, sql, reply);
    }
  }

  private select(
    id: number,
    sql: string,
  ): Result<StatementResult, MemberError> {
    if (withoutComments(sql) === LOG_END_QUERY) return ok(this.selectLogEnd());
    return this.writerSession === id
      ? this.storage.readUncommitted(sql)
      : this.storage.read(sql);
  }

  private selectLogEnd(): StatementResult {
    const {role, term, received} = this.log;
    return toRowsResult(
      ['group_role', 'group_term', 'group_entry_term', 'group_position'],
      [[role, term, received.term, received.position]],
    );
  }

  private write(id: number, sql: string, reply: StatementReply): void {
    const writable = this.log.checkWritable();
    if (!writable.ok) {
      reply.answer(writable);
      return;
    }
    if (this.writerSession !== undefined && this.writerSession !== id) {
      const timer = setTimeout(() => {
        this.blockedWrites = this.blockedWrites.filter(
          item => item.reply !== reply,
        );
        reply.answer(
          fail({kind: 'lock-timeout', detail: 'Lock wait timeout exceeded'}),
        );
      }, LOCK_TIMEOUT_MS);
      this.blockedWrites.push({session: id, sql, reply, timer});
      return;
    }
    if (this.writerSession === undefined) {
      this.writerSession = id;
      this.storage.begin();
    }
    const result = this.storage.write(sql);
    if (result.ok) this.written.push(sql);
    if (this.sessions.get(id)?.transaction === 'none') {
      this.endWrite(result.ok ? 'commit' : 'rollback');
    }
    reply.answer(result);
  }

  private endTransaction(
    id: number,
    session: Session,
    keyword: 'COMMIT' | 'ROLLBACK',
  ): Result<StatementResult, MemberError> {
    const aborted = session.transaction === 'aborted';
    session.transaction = 'none';
    if (keyword === 'COMMIT' && aborted) {
      return readOnly('the transaction was rolled back');
    }
    if (this.writerSession === id) {
      this.endWrite(keyword === 'COMMIT' ? 'commit' : 'rollback');
    }
    return ok(DONE);
  }

  private endWrite(how: 'commit' | 'rollback'): void {
    if (how === 'commit' && this.written.length > 0) {
      this.storage.commit(this.written);
      this.log.append(this.written);
    } else {
      this.storage.rollback();
    }
    this.writerSession = undefined;
    this.written = [];
    // Blocked writes run now. After a fence each of them is refused at once
    // instead of waiting for its timeout.
    while (this.writerSession === undefined) {
      const next = this.blockedWrites.shift();
      if (!next) return;
      clearTimeout(next.timer);
      this.write(next.session, next.sql, next.reply);
    }
  }

  /** Rolls back the open write transaction, which a fence or a new role ended. */
  private abortWriter(): void {
    if (this.writerSession === undefined) return;
    const session = this.sessions.get(this.writerSession);
    if (session) session.transaction = 'aborted';
    this.endWrite('rollback');
  }

  /** Replies to a control call with the state that it led to. */
  private replyWithState(
    result: Result<void, MemberError>,
    message: {readonly reply: Reply<Result<MemberState, MemberError>>},
  ): void {
    message.reply.answer(result.ok ? ok(this.state()) : result);
  }

  private promote(
    term: number,
    owner: string,
    reply: Reply<Result<MemberState, MemberError>>,
  ): void {
    const result = this.log.promote(term, owner);
    // A primary must apply all received entries before it commits new ones.
    if (result.ok) {
      this.applyAll();
      this.onRoleChange({kind: 'lead'});
    }
    this.replyWithState(result, {reply});
  }

  private follow(
    term: number,
    primary: string,
    reply: Reply<Result<MemberState, MemberError>>,
  ): void {
    // A repeated call must not interrupt the replication that is running.
    const repeated =
      !this.log.isPrimary &&
      this.log.term === term &&
      this.log.primary === primary;
    const result = this.log.follow(term, primary);
    if (result.ok && !repeated) {
      this.abortWriter();
      this.onRoleChange({kind: 'follow', term, primary});
    }
    this.replyWithState(result, {reply});
  }

  private readLog(
    term: number,
    end: {term: number; position: number},
  ): Result<LogReply, MemberError> {
    if (!this.log.isPrimary || this.log.term !== term) {
      return fail({kind: 'stale-term', detail: 'not the primary of this term'});
    }
    return ok(this.log.entriesAfter(end, LOG_BATCH));
  }

  private applyLogReply(term: number, reply: LogReply): void {
    if (reply.kind === 'diverged') {
      if (this.log.isPrimary || this.log.term !== term) return;
      if (this.log.truncate(reply.keep) === 'rebuild') {
        this.storage.reset();
        this.applyAll();
      }
      return;
    }
    if (this.log.receive(term, reply.entries).ok) this.scheduleApply();
  }

  private scheduleApply(): void {
    if (this.applyTimer || !this.log.nextToApply()) return;
    this.applyTimer = setTimeout(() => {
      this.applyTimer = undefined;
      this.tell({kind: 'apply-next'});
    }, this.faults.settings.applyLagMs);
  }

  private applyNext(): void {
    if (!this.log.isPrimary) this.applyAll();
  }

  private applyAll(): void {
    let entry = this.log.nextToApply();
    while (entry) {
      this.storage.apply(entry.statements);
      this.log.markApplied();
      entry = this.log.nextToApply();
    }
  }

  private state(): MemberState {
    return {
      role: this.log.role,
      term: this.log.term,
      received: this.log.received,
      applied: this.log.applied,
      fencedTerm: this.log.fencedTerm,
      fencedOwner: this.log.fencedOwner,
      connections: this.sessions.size,
      connectionLimit: this.cfg.connectionLimit,
      slots: this.cfg.slots,
    };
  }
}

const DONE: StatementResult = {kind: 'done', affectedRows: 0, insertId: 0};

function readOnly(detail: string): Result<never, MemberError> {
  return fail({kind: 'read-only', detail});
}

/** Removes comments and surrounding blanks. */
function withoutComments(sql: string): string {
  return sql.replace(/\/\*[\s\S]*?\*\//g, ' ').trim();
}

function leadingKeyword(sql: string): string {
  return /^[A-Za-z]+/.exec(withoutComments(sql))?.[0].toUpperCase() ?? '';
}
