import {createHash} from 'node:crypto';
import {
  GONE_AFTER_MS,
  MAX_LIST_GAP_MS,
  completenessAfter,
  continueObservation,
  missingSince,
  observedMs,
  presenceOfMissing,
} from '@pistachiorill/core';
import type {ListCompleteness, ObservationPeriod} from '@pistachiorill/core';
import type {ListedMember} from '../ports/member_directory.js';

/**
 * Where a list comes from: the store itself, the watcher that reads it for this
 * VM, or, while the store is unavailable, any peer, whose list may be old.
 */
export type ListSource = 'store' | 'watcher' | 'peer';

/** A list as it was received. */
export interface ReceivedList {
  readonly members: readonly ListedMember[];
  /** The names of those that the last list from the store lacked. */
  readonly missing: readonly string[];
  readonly from: ListSource;
  /** The period of its sender's lists from the store, of which it is the last. */
  readonly observed: ObservationPeriod;
}

/** A VM's list of members, and what may be concluded from it. */
export interface DirectoryView {
  /** The members that are listed, or missing and not gone yet. */
  readonly members: readonly ListedMember[];
  /** The names of those that the last list from the store lacked. */
  readonly missing: ReadonlySet<string>;
  /** The period in which lists were read from the store without a gap. */
  readonly observed: ObservationPeriod;
  readonly completeness: ListCompleteness;
}

/** What changed with a list; `presence` if only members went missing or back. */
export type ListChange = 'members' | 'presence' | 'none';

/** A member of the list, and when lists began to lack it, if they do. */
interface KnownMember {
  readonly listed: ListedMember;
  readonly missingSince: number | undefined;
}

/** The members of all groups by the lists that this VM has received. */
export class MemberList {
  private readonly known = new Map<string, KnownMember>();
  private observed: ObservationPeriod | undefined;
  /** Broken by a list that could not be read since the last one from the store. */
  private continuity: 'unbroken' | 'broken' = 'unbroken';
  private completeness: ListCompleteness = 'partial';
  private currentView: DirectoryView | undefined;
  private currentDigest = '';
  /** The current view as JSON, to notice changes. */
  private encoded = {members: '', missing: ''};

  /** Undefined before the first list. */
  get view(): DirectoryView | undefined {
    return this.currentView;
  }

  /** Changes with the members and with those that are missing. */
  get digest(): string {
    return this.currentDigest;
  }

  /** When the store held the current list. */
  get asOf(): number {
    return this.observed?.until ?? -Infinity;
  }

  /** Merges a list, unless a newer one was merged before. */
  merge(list: ReceivedList): ListChange {
    // An older list would undo newer changes, such as that a member is leaving.
    if (list.observed.until <= this.asOf) return 'none';
    const observed = this.extendPeriod(list);
    this.observed = observed;
    const missing = new Set(list.missing);
    for (const listed of list.members) {
      const {member} = listed;
      const since = missing.has(member)
        ? missingSince(this.known.get(member)?.missingSince, observed)
        : undefined;
      this.known.set(member, {listed, missingSince: since});
    }
    if (list.from !== 'peer') this.dropGone(list, observed);
    this.completeness = completenessAfter(this.completeness, observed);
    return this.updateView(observed);
  }

  /**
   * Records that the store did not answer. Entries may be back two seconds after it
   * does, however short the outage was.
   */
  interrupt(): void {
    this.continuity = 'broken';
  }

  /**
   * Returns the period up to a list. Another VM tells its own period, which began
   * after its last outage.
   */
  private extendPeriod({from, observed}: ReceivedList): ObservationPeriod {
    if (from !== 'store') {
      return continueObservation(this.observed, observed, 0);
    }
    const before = this.continuity === 'broken' ? undefined : this.observed;
    this.continuity = 'unbroken';
    return continueObservation(before, observed, MAX_LIST_GAP_MS);
  }

  /**
   * Drops members that a list lacks once they are gone. The list of another VM
   * lacks a member that is gone, or one that this VM has never read if it started
   * just after an outage of the store; such a member is only missing.
   */
  private dropGone(list: ReceivedList, observed: ObservationPeriod): void {
    const names = new Set(list.members.map(item => item.member));
    const isConclusive = observedMs(list.observed) >= GONE_AFTER_MS;
    for (const [name, known] of this.known) {
      if (names.has(name)) continue;
      const since = missingSince(known.missingSince, observed);
      const isGone = presenceOfMissing(since, observed) === 'gone';
      if (isConclusive || isGone) this.known.delete(name);
      else this.known.set(name, {...known, missingSince: since});
    }
  }

  private updateView(observed: ObservationPeriod): ListChange {
    const items = [...this.known.values()];
    const members = items.map(item => item.listed);
    const missing = items
      .filter(item => item.missingSince !== undefined)
      .map(item => item.listed.member);
    this.currentView = {
      members,
      missing: new Set(missing),
      observed,
      completeness: this.completeness,
    };
    const before = this.encoded;
    this.encoded = {
      members: JSON.stringify(members),
      missing: JSON.stringify(missing),
    };
    const isSame = before.members === this.encoded.members;
    if (isSame && before.missing === this.encoded.missing) return 'none';
    this.currentDigest = createHash('sha256')
      .update(this.encoded.members)
      .update(this.encoded.missing)
      .digest('base64');
    return isSame ? 'presence' : 'members';
  }
}
