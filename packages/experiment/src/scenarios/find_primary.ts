import {performance} from 'node:perf_hooks';
import {rendezvousOrder} from '@pistachiorill/core';
import type {MemberState} from '@pistachiorill/core';
import {databaseNames, memberName} from '@pistachiorill/launcher';
import type {Fleet, Profile} from '@pistachiorill/launcher';

const FIND_TIMEOUT_MS = 3_000;
const FIND_INTERVAL_MS = 50;

/** A member that responded, with the state that it reported. */
export interface RespondingMember {
  readonly name: string;
  readonly state: MemberState;
}

/** Returns the database of the first workspace, which is a large one. */
export function busiestDatabase(profile: Profile): string {
  const workspace = profile.workspaces[0]?.name ?? '';
  return rendezvousOrder(workspace, databaseNames(profile))[0] ?? '';
}

/** Returns the members that respond, the one with the longest log first. */
export async function reachableMembers(
  fleet: Fleet,
  database: string,
): Promise<RespondingMember[]> {
  const names = fleet.profile.dataCentres.map(dataCentre =>
    memberName(database, dataCentre),
  );
  const states = await Promise.all(
    names.map(async name => ({name, state: await fleet.stateOf(name)})),
  );
  return states
    .flatMap(({name, state}) => (state ? [{name, state}] : []))
    .sort((a, b) => compareLogs(b.state, a.state));
}

/** Returns the responding primary with the highest term, if there is one. */
export async function findPrimary(
  fleet: Fleet,
  database: string,
): Promise<RespondingMember | undefined> {
  const members = await reachableMembers(fleet, database);
  return members
    .filter(({state}) => state.role === 'primary')
    .sort((a, b) => b.state.term - a.state.term)[0];
}

/**
 * Retries `findPrimary` until a timeout, as the VMs may hold all connections
 * that a member accepts.
 */
export async function waitForPrimary(
  fleet: Fleet,
  database: string,
): Promise<RespondingMember | undefined> {
  const until = performance.now() + FIND_TIMEOUT_MS;
  for (;;) {
    const primary = await findPrimary(fleet, database);
    if (primary || performance.now() > until) return primary;
    await new Promise(resolve => setTimeout(resolve, FIND_INTERVAL_MS));
  }
}

function compareLogs(a: MemberState, b: MemberState): number {
  return (
    a.received.term - b.received.term ||
    a.received.position - b.received.position
  );
}
