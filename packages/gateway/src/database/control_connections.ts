import {fail, ok} from '@pistachiorill/core';
import type {ListedMember} from '../ports/member_directory.js';
import type {MemberCommand, MemberLinkFactory} from '../ports/member_link.js';
import type {StatusResult} from './database_message.js';

/** The time limit of each step: to connect, and to run the command. */
const CONTROL_TIMEOUT_MS = 300;
/** Sent to a member in place of a workspace. */
const CONTROL_WORKSPACE = '-';

/**
 * Whether a member responded at all. One that rejects the request does, for
 * example because it has no free slot; another member at its address doesn't
 * count.
 */
export function isResponding(status: StatusResult): boolean {
  if (status.ok || status.err === 'unreadable') return true;
  return (
    status.err.kind === 'rejected' && status.err.error.kind !== 'wrong-member'
  );
}

/**
 * Sends control commands to members. Each command opens a connection of its
 * own, which also checks that the member accepts new connections.
 */
export class ControlConnections {
  constructor(
    private readonly group: string,
    private readonly links: MemberLinkFactory,
  ) {}

  /** Queries the member's status. */
  status(listed: ListedMember): Promise<StatusResult> {
    return this.send(listed, {kind: 'status'});
  }

  /** Demotes the member if it leads in a term lower than `term`. */
  stepDown(listed: ListedMember, term: number): Promise<StatusResult> {
    return this.send(listed, {kind: 'step-down', term});
  }

  private async send(
    {member, address}: ListedMember,
    command: MemberCommand,
  ): Promise<StatusResult> {
    const {group} = this;
    const link = this.links.create({member, address, group}, CONTROL_WORKSPACE);
    try {
      const opened = await link.open(CONTROL_TIMEOUT_MS);
      if (!opened.ok) return opened;
      const sent = await link.run({command}, CONTROL_TIMEOUT_MS);
      if (!sent.ok) return sent;
      const {outcome} = sent.value;
      if (outcome.kind === 'error') {
        return fail({kind: 'rejected', error: outcome.error});
      }
      const status = link.parseStatus(sent.value);
      return status ? ok(status) : fail('unreadable');
    } finally {
      link.close();
    }
  }
}
