import {
  appendFileSync,
  existsSync,
  mkdirSync,
  readFileSync,
  renameSync,
  writeFileSync,
} from 'node:fs';
import {join} from 'node:path';
import type {MemberRole} from '@pistachiorill/core';
import type {LogEntry} from './log_entry.js';

/** The persistent state of a member other than its log. */
export interface MemberStatus {
  readonly role: MemberRole;
  readonly term: number;
  /** The member refuses every lower term. */
  readonly fencedTerm: number;
  /** The only owner that may promote the member in `fencedTerm`. */
  readonly fencedOwner: string;
  /** Address of the primary that the member follows; empty without one. */
  readonly primary: string;
}

/** The state of a member that was never fenced or promoted. */
export const INITIAL_STATUS: MemberStatus = {
  role: 'replica',
  term: 0,
  fencedTerm: 0,
  fencedOwner: '',
  primary: '',
};

/**
 * Stores the log, term and fence of a member. A member may report an entry or
 * a fence only after it is in the journal, since failover relies on both.
 */
export abstract class MemberJournal {
  abstract load(): {entries: LogEntry[]; status: MemberStatus};
  /** Adds entries at the end of the stored log. */
  abstract append(entries: readonly LogEntry[]): void;
  /** Replaces the whole stored log. */
  abstract replace(entries: readonly LogEntry[]): void;
  abstract save(status: MemberStatus): void;
}

/** Stores nothing; for members that are never restarted. */
export class VolatileJournal extends MemberJournal {
  override load(): {entries: LogEntry[]; status: MemberStatus} {
    return {entries: [], status: INITIAL_STATUS};
  }

  override append(): void {}
  override replace(): void {}
  override save(): void {}
}

/** Stores the log in one file of a folder and the other state in a second. */
export class FileJournal extends MemberJournal {
  private readonly logFile: string;
  private readonly statusFile: string;

  constructor(folder: string) {
    super();
    mkdirSync(folder, {recursive: true});
    this.logFile = join(folder, 'log.jsonl');
    this.statusFile = join(folder, 'standing.json');
  }

  override load(): {entries: LogEntry[]; status: MemberStatus} {
    // A kill can truncate the last line. Its entry was not reported yet, so it
    // is dropped.
    const lines = readIfPresent(this.logFile).split('\n').slice(0, -1);
    const status = readIfPresent(this.statusFile);
    const entries = lines.map(line => JSON.parse(line) as LogEntry);
    this.replace(entries);
    return {
      entries,
      status:
        status === '' ? INITIAL_STATUS : (JSON.parse(status) as MemberStatus),
    };
  }

  override append(entries: readonly LogEntry[]): void {
    if (entries.length > 0) appendFileSync(this.logFile, encode(entries));
  }

  override replace(entries: readonly LogEntry[]): void {
    writeAtomically(this.logFile, encode(entries));
  }

  override save(status: MemberStatus): void {
    writeAtomically(this.statusFile, JSON.stringify(status));
  }
}

function encode(entries: readonly LogEntry[]): string {
  return entries.map(entry => `${JSON.stringify(entry)}\n`).join('');
}

function readIfPresent(file: string): string {
  return existsSync(file) ? readFileSync(file, 'utf8') : '';
}

/** Replaces a file by renaming, so that a kill leaves no partial content. */
function writeAtomically(file: string, text: string): void {
  writeFileSync(`${file}.new`, text);
  renameSync(`${file}.new`, file);
}
