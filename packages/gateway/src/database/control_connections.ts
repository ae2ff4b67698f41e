import {fail, ok} from '@pistachiorill/core';
import type {ListedMember} from '../ports/member_directory.js';
import type {MemberCommand, MemberLinks} from '../ports/member_link.js';
import type {StatusResult} from './database_message.js';

/** How long a member may take for each step of a control command. */
const CONTROL_TIMEOUT_MS = 300;
/** What a member is told in place of a workspace. */
const CONTROL_NAME = '-';

/**
 * Sends control commands to members, each on a connection of its own, which
 * shows whether the member can be reached anew.
 */
export class ControlConnections {
  constructor(private readonly links: MemberLinks) {}

  status(group: string, listed: ListedMember): Promise<StatusResult> {
    return this.send(group, listed, {kind: 'status'});
  }

  stepDown(
    group: string,
    listed: ListedMember,
    term: number,
  ): Promise<StatusResult> {
    return this.send(group, listed, {kind: 'step-down', term});
  }

  private async send(
    group: string,
    {member, address}: ListedMember,
    command: MemberCommand,
  ): Promise<StatusResult> {
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
