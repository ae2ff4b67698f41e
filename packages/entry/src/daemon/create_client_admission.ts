import {ResultBudget} from '@pistachiorill/core';
import type {ProcessSettings} from '@pistachiorill/document';
import type {PeerServerLimits} from '@pistachiorill/peers';
import type {Clock} from '@pistachiorill/tasks';
import type {Logger, Metrics} from '@pistachiorill/telemetry';
import {ClientRegistry} from '../caller/client_registry.js';
import {LimitReporter} from '../caller/limit_reporter.js';
import type {StatusServerLimits} from '../http/status_server.js';
import {
  clientLimitsOf,
  peerLimitsOf,
  statusLimitsOf,
} from './machine_limits.js';

/** Connections beyond the limit that get an error before they are closed. */
const REFUSABLE_CONNECTIONS = 16;

/** The limits of a process and the owners of what its clients share. */
export interface ClientAdmission {
  readonly clients: ClientRegistry;
  readonly results: ResultBudget;
  /** More sockets of clients are closed without an error. */
  readonly maxSockets: number;
  readonly peerLimits: PeerServerLimits;
  readonly statusLimits: StatusServerLimits;
}

/** The collaborators of `createClientAdmission`. */
export interface ClientAdmissionDependencies {
  readonly settings: ProcessSettings;
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: Metrics;
}

/** Derives the limits and creates what applies them. */
export function createClientAdmission({
  settings,
  clock,
  log,
  metrics,
}: ClientAdmissionDependencies): ClientAdmission {
  const limits = clientLimitsOf(settings);
  const reporter = new LimitReporter(clock, log, metrics);
  return {
    clients: new ClientRegistry({limits, clock, reporter, metrics}),
    results: new ResultBudget(limits.resultBytes, limits.resultsBytes),
    maxSockets: limits.clientConnections + REFUSABLE_CONNECTIONS,
    peerLimits: {
      ...peerLimitsOf(limits),
      onExceeded: (limit, address) => reporter.report('peers', limit, address),
    },
    statusLimits: {
      ...statusLimitsOf(limits),
      onExceeded: (limit, address) => reporter.report('http', limit, address),
    },
  };
}
