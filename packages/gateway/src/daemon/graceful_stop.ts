import {sleep} from '@pistachiorill/tasks';
import type {Clock} from '@pistachiorill/tasks';
import type {Logger} from '@pistachiorill/telemetry';
import type {CallerServer} from '../ports/caller_link.js';
import type {SessionMessage} from '../session/session_message.js';

/** How long the load balancer takes to send new connections to other VMs. */
const BALANCER_REROUTE_MS = 2_300;
/** The part of the grace period that is reserved for leaving and closing. */
const EXIT_RESERVE_MS = 700;
const IDLE_CHECK_MS = 50;
/** The time limit for leaving the fleet. */
const LEAVE_TIMEOUT_MS = 400;
/** Callers that were asked to close at the end have this time to do so. */
const LAST_CLOSE_MS = 250;
/** The process exits this long before SIGKILL, even if answers are not sent. */
const EXIT_MARGIN_MS = 300;

/** What a VM ends before its process exits. */
export interface GracefulStopDependencies {
  readonly graceMs: number;
  /** The open sessions, which remove themselves. */
  readonly sessions: ReadonlySet<{tell(message: SessionMessage): void}>;
  readonly callers: CallerServer;
  /** Runs statements for other VMs. */
  readonly owner: {
    readonly isBusy: boolean;
    tell(message: {kind: 'drain' | 'abort-transactions'}): void;
  };
  /** Ends all statements, also at other VMs, and the use of primaries. */
  readonly closeDatabases: () => void;
  /** Removes the VM's registration. */
  readonly leaveFleet: () => Promise<void>;
  readonly clock: Clock;
  readonly log: Logger;
}

/**
 * Ends all sessions within the grace period. Idle ones end once the load balancer
 * sends new connections elsewhere, open transactions are rolled back after half
 * of the period, and requests still under way at its end are answered.
 */
export async function stopGracefully(
  deps: GracefulStopDependencies,
): Promise<void> {
  const {graceMs, sessions, callers, owner, clock, log} = deps;
  const startedAt = clock();
  log.info({event: 'gateway.draining', graceMs}, 'gateway is draining');
  owner.tell({kind: 'drain'});
  await sleep(Math.min(BALANCER_REROUTE_MS, graceMs / 2));
  for (const session of sessions) session.tell({kind: 'drain'});
  const callersEnded = callers.close();
  await waitForSessions(deps, startedAt + graceMs / 2);
  for (const session of sessions) session.tell({kind: 'abort-transaction'});
  owner.tell({kind: 'abort-transactions'});
  await waitForSessions(deps, startedAt + graceMs - EXIT_RESERVE_MS);
  const remaining = sessions.size;
  // No primary lease may remain in use once this VM's row is removed.
  deps.closeDatabases();
  for (const session of sessions) session.tell({kind: 'close'});
  const left = Promise.race([deps.leaveFleet(), sleep(LEAVE_TIMEOUT_MS)]);
  await waitForSessions(deps, clock() + LAST_CLOSE_MS);
  for (const session of sessions) session.tell({kind: 'disconnect'});
  const exitBy = startedAt + graceMs - EXIT_MARGIN_MS;
  await Promise.all([
    Promise.race([callersEnded, sleep(Math.max(0, exitBy - clock()))]),
    left,
  ]);
  log.info(
    {
      event: 'gateway.stopped',
      tookMs: Math.round(clock() - startedAt),
      remaining,
      openSessions: sessions.size,
    },
    'gateway stopped',
  );
}

async function waitForSessions(
  {sessions, owner, clock}: GracefulStopDependencies,
  until: number,
): Promise<void> {
  while ((sessions.size > 0 || owner.isBusy) && clock() < until) {
    await sleep(IDLE_CHECK_MS);
  }
}
