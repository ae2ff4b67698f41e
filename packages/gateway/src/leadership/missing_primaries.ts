import {missingSince, presenceOfMissing} from '@pistachiorill/core';
import type {MemberPresence} from '@pistachiorill/core';
import type {Logger} from '@pistachiorill/telemetry';
import type {DirectoryView} from '../operators/member_list.js';

/** A recorded primary that lists lack. */
interface MissingPrimary {
  readonly primary: string;
  /** Since when all lists have lacked it. */
  readonly since: number;
  readonly presence: MemberPresence;
}

/**
 * Remembers since when lists lack recorded primaries, and logs when one goes
 * missing, is gone or is back. A primary that is gone stays so until it is listed.
 */
export class MissingPrimaries {
  private readonly byGroup = new Map<string, MissingPrimary>();

  constructor(private readonly log: Logger) {}

  /** Returns whether the recorded primary of a group is gone. */
  review(
    group: string,
    primary: string,
    {members, missing, observed}: DirectoryView,
  ): MemberPresence {
    const isListed =
      !missing.has(primary) && members.some(item => item.member === primary);
    const known = this.byGroup.get(group);
    const before = known?.primary === primary ? known : undefined;
    if (isListed) {
      this.byGroup.delete(group);
      if (before) this.logChange(group, {...before, presence: 'listed'});
      return 'listed';
    }
    if (before?.presence === 'gone') return 'gone';
    const since = missingSince(before?.since, observed);
    const presence = presenceOfMissing(since, observed);
    const current = {primary, since, presence} as const;
    this.byGroup.set(group, current);
    if (before?.presence !== presence) {
      this.logChange(group, current, Math.round(observed.until - since));
    }
    return presence;
  }

  private logChange(
    group: string,
    {primary, presence}: MissingPrimary,
    missingMs?: number,
  ): void {
    this.log.info(
      {event: 'primary.missing', group, primary, presence, missingMs},
      'presence of the recorded primary in the list of members changed',
    );
  }
}
