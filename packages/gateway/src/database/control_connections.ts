import {fail, ok} from '@pistachiorill/core';
import type {ListedMember} from '../ports/member_directory.js';
import type {MemberCommand, MemberLinks} from '../ports/member_link.js';
import type {StatusResult} from './database_message.js';

/** How long a member may take for each step of a control command. */
const CONTROL_TIMEOUT_MS = 300;
/** What a member is told in place of a workspace. */
const CONTROL_NAME = '-';

/** Whether a member answered at all; one without a free slot did. */
export function answersNow(status: StatusResult): boolean {
  if (status.ok || status.err === 'unreadable') return true;
  return (
    status.err.kind === 'rejected' && status.err.error.kind !== 'wrong-member'
  );
}

/**
 * Sends control commands to members, each on a connection of its own, which
 * shows whether the member can be reached anew.
 */
export class ControlConnections {
  constructor(
    private readonly group: string,
    private readonly links: MemberLinks,
  ) {}

  status(listed: ListedMember): Promise<StatusResult> {
    return this.send(listed, {kind: 'status'});
  }

  stepDown(listed: ListedMember, term: number): Promise<StatusResult> {
    return this.send(listed, {kind: 'step-down', term});
  }

  private async send(
    {member, address}: ListedMember,
    command: MemberCommand,
  ): Promise<StatusResult> {
    const {group} = this;
    const link = this.links.create({member, address, group}, CONTROL_NAME);
    try {
      const opened = await link.open(CONTROL_TIMEOUT_MS);
      if (!opened.ok) return opened;
      const sent = await link.run({command}, CONTROL_TIMEOUT_MS);
      if (!sent.ok) return sent;
      const {outcome} = sent.value;
      if (outcome.kind === 'error') {
        return fail({kind: 'rejected', error: outcome.error});
      }
      const status = link.statusOf(sent.value);
      return status ? ok(status) : fail('unreadable');
    } finally {
      link.close();
    }
  }
}
