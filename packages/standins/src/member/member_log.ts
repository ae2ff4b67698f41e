import {fail, ok} from '@pistachiorill/core';
import type {LogPosition, MemberRole, Result} from '@pistachiorill/core';
import type {LogEntry} from './log_entry.js';
import type {MemberError} from './member_error.js';
import {VolatileJournal} from './member_journal.js';
import type {MemberJournal} from './member_journal.js';

/** The response of a primary to a replica that fetches its log. */
export type LogReply =
  | {readonly kind: 'entries'; readonly entries: readonly LogEntry[]}
  /** The logs differ; the replica must drop its entries after `keep`. */
  | {readonly kind: 'diverged'; readonly keep: number};

/**
 * The replicated log of a member with its role, term and fence. Each change is
 * in the journal before the method returns.
 */
export class MemberLog {
  private readonly entries: LogEntry[];
  private appliedCount = 0;
  role: MemberRole;
  term: number;
  fencedTerm: number;
  fencedOwner: string;
  /** Address of the primary that the member follows; empty without one. */
  primary: string;

  constructor(private readonly journal: MemberJournal = new VolatileJournal()) {
    const {entries, status} = journal.load();
    this.entries = entries;
    this.role = status.role;
    this.term = status.term;
    this.fencedTerm = status.fencedTerm;
    this.fencedOwner = status.fencedOwner;
    this.primary = status.primary;
  }

  /** Position of the last entry in the log. */
  get received(): LogPosition {
    return positionOf(this.entries[this.entries.length - 1]);
  }

  /** Position of the last entry whose statements are in the data. */
  get applied(): LogPosition {
    return positionOf(this.entries[this.appliedCount - 1]);
  }

  /**
   * Makes the member refuse lower terms. A repeated call of the same owner is
   * idempotent.
   */
  fence(term: number, owner: string): Result<void, MemberError> {
    const repeated = term === this.fencedTerm && owner === this.fencedOwner;
    if (term <= this.fencedTerm && !repeated) {
      return staleTerm(
        `fenced at term ${this.fencedTerm} by ${this.fencedOwner}`,
      );
    }
    this.fencedTerm = term;
    this.fencedOwner = owner;
    this.save();
    return ok(undefined);
  }

  /**
   * Starts a term as its primary. The term begins with an empty entry, so that
   * the log ends in this term before any of its writes is acknowledged.
   */
  promote(term: number, owner: string): Result<void, MemberError> {
    if (term !== this.fencedTerm || owner !== this.fencedOwner) {
      return staleTerm(`not fenced at term ${term} by ${owner}`);
    }
    if (this.term === term) {
      return this.isPrimary
        ? ok(undefined)
        : staleTerm(`follows another primary of term ${term}`);
    }
    this.role = 'primary';
    this.term = term;
    this.primary = '';
    this.save();
    this.push([]);
    return ok(undefined);
  }

  /** Becomes a replica of `primary` in `term`. */
  follow(term: number, primary: string): Result<void, MemberError> {
    if (term < this.fencedTerm || (this.isPrimary && term === this.term)) {
      return staleTerm(`cannot follow term ${term}`);
    }
    if (term > this.fencedTerm) {
      this.fencedTerm = term;
      // No owner may promote this member in a term that it follows.
      this.fencedOwner = '';
    }
    this.role = 'replica';
    this.term = term;
    this.primary = primary;
    this.save();
    return ok(undefined);
  }

  get isPrimary(): boolean {
    return this.role === 'primary';
  }

  /** Fails unless the member is a primary that no higher term has fenced. */
  checkWritable(): Result<void, MemberError> {
    if (!this.isPrimary) {
      return fail({kind: 'read-only', detail: 'this member is a replica'});
    }
    if (this.fencedTerm > this.term) {
      return staleTerm(`fenced at term ${this.fencedTerm}`);
    }
    return ok(undefined);
  }

  /** Appends a transaction that this primary has committed and applied. */
  append(statements: readonly string[]): LogEntry {
    const entry = this.push(statements);
    this.appliedCount = this.entries.length;
    return entry;
  }

  private push(statements: readonly string[]): LogEntry {
    const entry = {
      term: this.term,
      position: this.received.position + 1,
      statements,
    };
    this.entries.push(entry);
    this.journal.append([entry]);
    return entry;
  }

  /**
   * Returns up to `limit` entries after `end`, the last position of a replica's
   * log, or how much of its log the replica can keep if the logs differ.
   */
  entriesAfter(end: LogPosition, limit: number): LogReply {
    const same =
      end.position === 0 || this.entries[end.position - 1]?.term === end.term;
    if (same) {
      return {
        kind: 'entries',
        entries: this.entries.slice(end.position, end.position + limit),
      };
    }
    const common = this.entries.findLast(
      entry => entry.position < end.position && entry.term <= end.term,
    );
    return {kind: 'diverged', keep: common?.position ?? 0};
  }

  /** Appends entries from the primary of `term`; skips those out of order. */
  receive(
    term: number,
    entries: readonly LogEntry[],
  ): Result<void, MemberError> {
    if (this.isPrimary || term !== this.term || term < this.fencedTerm) {
      return staleTerm(`replication of term ${term} is refused`);
    }
    const before = this.entries.length;
    for (const entry of entries) {
      if (entry.position === this.received.position + 1) {
        this.entries.push(entry);
      }
    }
    this.journal.append(this.entries.slice(before));
    return ok(undefined);
  }

  /**
   * Drops the entries after `keep`. If applied entries were among them, the
   * data must be rebuilt from the log.
   */
  truncate(keep: number): 'rebuild' | 'unchanged' {
    this.entries.length = Math.min(this.entries.length, keep);
    this.journal.replace(this.entries);
    if (this.appliedCount <= keep) return 'unchanged';
    this.appliedCount = 0;
    return 'rebuild';
  }

  /** Returns the next entry to apply, if there is one. */
  nextToApply(): LogEntry | undefined {
    return this.entries[this.appliedCount];
  }

  /** Counts the entry of `nextToApply` as applied. */
  markApplied(): void {
    this.appliedCount += 1;
  }

  private save(): void {
    const {role, term, fencedTerm, fencedOwner, primary} = this;
    this.journal.save({role, term, fencedTerm, fencedOwner, primary});
  }
}

function positionOf(entry: LogEntry | undefined): LogPosition {
  return {term: entry?.term ?? 0, position: entry?.position ?? 0};
}

function staleTerm(detail: string): Result<never, MemberError> {
  return fail({kind: 'stale-term', detail});
}
