import {evaluateSuspicion, selectObservers} from '@pistachiorill/core';
import type {PrimaryObservation, SuspicionOutcome} from '@pistachiorill/core';
import {ask} from '@pistachiorill/tasks';
import type {DatabaseTask} from '../database/database_task.js';
import {dataCentresOf} from '../fleet/fleet_rows.js';
import type {LeadershipDependencies} from './leadership_task.js';

/** Leaves a peer time to try to reach the primary before it answers. */
export const OBSERVATION_TIMEOUT_MS = 800;

/** What the collection of observations uses. */
export type VerdictDependencies = Pick<
  LeadershipDependencies,
  'view' | 'peers' | 'log'
>;

type Observations = Array<PrimaryObservation | 'vm-down'>;

/** Collects the VMs' observations of a primary and evaluates them. */
export async function collectVerdict(
  group: string,
  primary: string,
  database: DatabaseTask,
  deps: VerdictDependencies,
): Promise<SuspicionOutcome> {
  const {peers, view, log} = deps;
  const observers = selectObservers(dataCentresOf(view().rows));
  const asked = peers.names.filter(name => observers.includes(name));
  const [own, views] = await Promise.all([
    ask<PrimaryObservation>(reply => database.tell({kind: 'sight', reply})),
    askForObservations(asked, group, deps),
  ]);
  views.unshift(own);
  const unknown = views.filter(item => item === 'unknown').length;
  if (unknown * 2 > views.length) {
    // The observers may be cut off, unlike other VMs.
    const others = peers.names.filter(name => !asked.includes(name));
    views.push(...(await askForObservations(others, group, deps)));
  }
  const verdict = evaluateSuspicion(views);
  log.info(
    {event: 'primary.judged', group, primary, views, verdict},
    'evaluated the observations of a suspected primary',
  );
  return verdict;
}

function askForObservations(
  names: readonly string[],
  group: string,
  {peers}: VerdictDependencies,
): Promise<Observations> {
  return Promise.all(
    names.map(async name => {
      const answer = await peers.sight(name, group, OBSERVATION_TIMEOUT_MS);
      if (answer.ok) return answer.value;
      const isDown = answer.err.detail.includes('ECONNREFUSED');
      return isDown ? 'vm-down' : 'unknown';
    }),
  );
}
