import {fail} from '@pistachiorill/core';
import type {PrimaryObservation} from '@pistachiorill/core';
import {ControlConnections, isResponding} from './control_connections.js';
import type {MemberLinkFactory} from '../ports/member_link.js';
import type {StatusResult} from './database_message.js';
import type {MemberTable} from './member_table.js';

/** Queries the status of a group's members, and probes those that failed. */
export class MemberProbes {
  private readonly control: ControlConnections;
  /** Members with a pending probe. */
  private readonly probing = new Set<string>();

  constructor(
    group: string,
    links: MemberLinkFactory,
    private readonly members: MemberTable,
  ) {
    this.control = new ControlConnections(group, links);
  }

  /** Queries a member's status. */
  async status(member: string): Promise<StatusResult> {
    const listed = this.members.listed(member);
    if (!listed) {
      return fail({kind: 'not-sent', detail: 'the member is not listed'});
    }
    return this.control.status(listed);
  }

  /** Demotes a member if it leads in a term lower than `term`. */
  async stepDown(member: string, term: number): Promise<void> {
    const listed = this.members.listed(member);
    if (listed) await this.control.stepDown(listed, term);
  }

  /** Observes a primary; queries its status unless it responded recently. */
  async observe(primary: string, now: number): Promise<PrimaryObservation> {
    if (!this.members.listed(primary)) return 'unknown';
    const seen = this.members.observation(primary, now);
    if (seen === 'reachable') return seen;
    const status = await this.status(primary);
    const isReplica = status.ok && status.value.role === 'replica';
    const isReachable = isResponding(status) && !isReplica;
    return isReachable ? 'reachable' : 'unreachable';
  }

  /** Returns the failed members to probe now, each until its probe ended. */
  start(now: number): readonly string[] {
    const due = this.members
      .membersToProbe(now)
      .map(listed => listed.member)
      .filter(member => !this.probing.has(member));
    for (const member of due) this.probing.add(member);
    return due;
  }

  /** Records the end of a probe; returns whether the member responded. */
  ended(
    member: string,
    status: StatusResult,
    now: number,
  ): 'responded' | 'failed' {
    this.probing.delete(member);
    if (!isResponding(status)) {
      this.members.failed(member, now);
      return 'failed';
    }
    this.members.recovered(member, now);
    return 'responded';
  }
}
