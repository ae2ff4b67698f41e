import type {Registry} from 'prom-client';
import type {LimitReporter} from '../callers/limit_reporter.js';
import {ProbeServer} from './probe_server.js';

/** Serves the metrics in text format on every path. */
export function serveMetrics(
  address: string,
  registry: Registry,
  limits: LimitReporter,
): ProbeServer {
  const server = new ProbeServer('metrics', limits, async () => ({
    status: 200,
    contentType: registry.contentType,
    body: await registry.metrics(),
  }));
  server.listen(address);
  return server;
}
