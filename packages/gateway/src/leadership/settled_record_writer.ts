import {eraOf} from '@pistachiorill/core';
import type {LeadershipRecord} from '@pistachiorill/core';
import {sleep} from '@pistachiorill/tasks';
import {encodeLeadership, leadershipKey} from '../fleet/fleet_rows.js';
import type {FleetView} from '../fleet/fleet_view.js';
import {STORE_RETRY_MS} from './coordinator_lease_holder.js';
import type {PrimaryChangeDependencies} from './primary_change_dependencies.js';
import type {ChangeAnnouncement} from './primary_stopper.js';

/** A record that names the primary of a group. */
export type SettledRecord = Extract<LeadershipRecord, {phase: 'settled'}>;

/**
 * The row of a group during a primary change, as far as this VM has read it: the
 * announcement of the change, the record that ends it, or a later record.
 */
export type ChangeRecordState = 'announced' | 'settled' | 'superseded';

/**
 * How the write of a settled record ended. `superseded`: the announcement was
 * replaced by another record. `not-written`: no attempt has taken effect, and
 * none can. `unknown`: an attempt may have taken effect, or may still.
 */
export type RecordWriteOutcome =
  'written' | 'superseded' | 'not-written' | 'unknown';

/** Collaborators of the writer. */
export interface SettledRecordWriterDependencies extends Pick<
  PrimaryChangeDependencies,
  'view' | 'transact'
> {
  readonly group: string;
  /** Whether the change may take more time. */
  readonly isWithinTimeLimit: () => boolean;
  readonly onStep: (step: string, details: object) => void;
}

/** Returns the state of the group's row after a change was announced. */
export function changeRecordState(
  group: string,
  announced: Pick<ChangeAnnouncement, 'version'>,
  settled: SettledRecord | undefined,
  {rows, version}: Pick<FleetView, 'rows' | 'version'>,
): ChangeRecordState {
  const current = rows.leadership.get(group);
  if (version < announced.version) return 'announced';
  if (current?.version === announced.version) return 'announced';
  const record = current?.record;
  const isSettled =
    record?.phase === 'settled' &&
    record.primary === settled?.primary &&
    record.term === settled.term;
  return isSettled ? 'settled' : 'superseded';
}

/**
 * Replaces the announcement of a primary change by the record that ends it. The
 * store may apply a write that it has not answered at any later time, as long as
 * its conditions hold. The write is therefore repeated until the outcome of all
 * attempts is known: an attempt that succeeds makes the others fail.
 */
export class SettledRecordWriter {
  constructor(private readonly deps: SettledRecordWriterDependencies) {}

  /**
   * Writes the record if the announcement is unchanged. `conditions` returns the
   * versions that other rows must have, or undefined if this VM must not write.
   */
  async write(
    settled: SettledRecord,
    announced: ChangeAnnouncement,
    conditions: () => ReadonlyMap<string, number> | undefined,
  ): Promise<RecordWriteOutcome> {
    const {group, view, transact, isWithinTimeLimit, onStep} = this.deps;
    const key = leadershipKey(group);
    let unanswered: 'none' | 'some' = 'none';
    while (isWithinTimeLimit()) {
      if (this.isSuperseded(announced, settled)) return 'superseded';
      const state = changeRecordState(group, announced, settled, view());
      if (state === 'settled') return 'written';
      const others = conditions();
      if (!others) break;
      const era = eraOf(view().version);
      const result = await transact({
        expected: new Map([[key, announced.version], ...others]),
        puts: new Map([[key, encodeLeadership(settled, era)]]),
      });
      if (result.ok) return 'written';
      const {err} = result;
      if (err.kind === 'unknown-outcome') unanswered = 'some';
      onStep('record-failed', {record: settled, unanswered, err});
      await sleep(STORE_RETRY_MS);
    }
    return unanswered === 'none' ? 'not-written' : 'unknown';
  }

  /**
   * Whether the record was written again since the announcement of this change,
   * so that another VM carries on with it or has ended it.
   */
  isSuperseded(
    announced: ChangeAnnouncement,
    settled?: SettledRecord,
  ): boolean {
    const {group, onStep} = this.deps;
    const view = this.deps.view();
    const state = changeRecordState(group, announced, settled, view);
    if (state !== 'superseded') return false;
    const current = view.rows.leadership.get(group);
    onStep('superseded', {
      announced: announced.version,
      version: current?.version,
      record: current?.record,
      coordinator: view.rows.duty?.value.holder,
    });
    return true;
  }
}
