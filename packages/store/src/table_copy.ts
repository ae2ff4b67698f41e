import {describeVersion} from '@pistachiorill/core';
import type {TableReadResult, TableRow} from './transactional_store.js';

/** Whether an answer was applied, or is older than the copy. */
export type CopyUpdate = 'applied' | 'stale';

/** The rows that changed after a version, or all rows if `after` is 0. */
export interface TableChanges extends TableAnswer {
  readonly after: number;
}

/** Older removals are forgotten beyond this many. */
const MAX_KNOWN_REMOVALS = 1_000;

type TableAnswer = Pick<TableReadResult, 'rows' | 'removed' | 'version'>;

/**
 * A local copy of a table. It holds all rows as of its version, and possibly
 * newer ones that this process wrote itself. It never goes back to an older
 * version: a store that lost its history may answer from an older state. Once
 * the store has gone back to an earlier copy, its versions are of a newer era,
 * and thus higher than all before.
 */
export class TableCopy {
  private readonly rows = new Map<string, TableRow>();
  private currentVersion = 0;
  /** By key, a version at which the row was gone already. */
  private readonly removals = new Map<string, number>();
  /** All removals after this version are known. */
  private removalsKnownSince = 0;

  /** The version as of which the copy is complete. */
  get version(): number {
    return this.currentVersion;
  }

  /** Returns all rows. */
  values(): readonly TableRow[] {
    return [...this.rows.values()];
  }

  /** Returns the row of a key, if there is one. */
  get(key: string): TableRow | undefined {
    return this.rows.get(key);
  }

  /** Returns what changed after a version of the copy; all rows if unknown. */
  changesAfter(after: number): TableChanges {
    const version = this.currentVersion;
    const isKnown = after >= this.removalsKnownSince && after <= version;
    if (!isKnown) return {rows: this.values(), removed: [], version, after: 0};
    const rows = this.values().filter(row => row.version > after);
    const removed = [...this.removals]
      .filter(([, removedBy]) => removedBy > after)
      .map(([key]) => key);
    return {rows, removed, version, after};
  }

  /** Replaces the rows by those of a full read; rows that are newer stay. */
  replace(read: Omit<TableAnswer, 'removed'>): CopyUpdate {
    if (this.isStale(read)) return 'stale';
    for (const {key, version} of this.values()) {
      if (version <= read.version) this.rows.delete(key);
    }
    for (const row of read.rows) this.put(row);
    this.currentVersion = read.version;
    this.forgetRemovals();
    return 'applied';
  }

  /** Applies the changes that follow the version of the copy. */
  update({rows, removed, version}: TableAnswer): CopyUpdate {
    if (version < this.currentVersion) return 'stale';
    for (const row of rows) this.put(row);
    for (const key of removed) {
      const known = this.rows.get(key);
      if (known && known.version > version) continue;
      this.rows.delete(key);
      this.removals.set(key, version);
    }
    this.currentVersion = version;
    if (this.removals.size > MAX_KNOWN_REMOVALS) this.forgetRemovals();
    return 'applied';
  }

  /** Stores a row that this process wrote, unless the copy has a newer one. */
  put(row: TableRow): void {
    const known = this.rows.get(row.key);
    if (known && known.version >= row.version) return;
    this.rows.set(row.key, row);
    this.removals.delete(row.key);
  }

  /** Removes a row that this process removed from the table. */
  remove(key: string): void {
    this.rows.delete(key);
  }

  private forgetRemovals(): void {
    this.removals.clear();
    this.removalsKnownSince = this.currentVersion;
  }

  /**
   * Whether a full read is older than the copy. Its rows are compared too, as a
   * replica of the store may report the version of another one.
   */
  private isStale({rows, version}: Omit<TableAnswer, 'removed'>): boolean {
    if (version < this.currentVersion) return true;
    return rows.some(row => {
      const known = this.rows.get(row.key)?.version ?? 0;
      return row.version < known && known <= version;
    });
  }
}

/** Describes an answer that is older than the copy, for logs. */
export function describeStaleAnswer(
  copy: TableCopy,
  answer: Pick<TableReadResult, 'version'>,
): string {
  const given = describeVersion(answer.version);
  return `stale answer: version ${given}, known ${describeVersion(copy.version)}`;
}
