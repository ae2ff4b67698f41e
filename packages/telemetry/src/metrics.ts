import {Counter, Gauge, Histogram, Registry} from 'prom-client';

const LATENCY_BUCKETS_S = [
  0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5,
];

/** The metrics of one process. */
export class Metrics {
  readonly registry = new Registry();

  readonly statements = new Counter({
    name: 'pistachiorill_statements_total',
    help: 'Statements by workspace and outcome.',
    labelNames: ['workspace', 'outcome'],
    registers: [this.registry],
  });

  readonly statementSeconds = new Histogram({
    name: 'pistachiorill_statement_seconds',
    help: 'Time from the arrival of a statement to its reply.',
    labelNames: ['access'],
    buckets: LATENCY_BUCKETS_S,
    registers: [this.registry],
  });

  readonly reads = new Counter({
    name: 'pistachiorill_reads_total',
    help: 'Reads by the role of the member that served them.',
    labelNames: ['served_by'],
    registers: [this.registry],
  });

  readonly processCpuSeconds = new Gauge({
    name: 'pistachiorill_process_cpu_seconds',
    help: 'CPU time of the process, user and system.',
    registers: [this.registry],
    collect() {
      const {user, system} = process.cpuUsage();
      this.set((user + system) / 1e6);
    },
  });

  readonly residentBytes = new Gauge({
    name: 'pistachiorill_resident_bytes',
    help: 'Resident memory of the process.',
    registers: [this.registry],
    collect() {
      this.set(process.memoryUsage.rss());
    },
  });

  readonly configurationVersion = new Gauge({
    name: 'pistachiorill_configuration_version',
    help: 'The configuration version that is applied.',
    registers: [this.registry],
  });

  readonly limitsExceeded = new Counter({
    name: 'pistachiorill_limits_exceeded_total',
    help: 'Requests refused and connections closed by entry point and limit.',
    labelNames: ['entry', 'limit'],
    registers: [this.registry],
  });

  readonly clientConnections = new Gauge({
    name: 'pistachiorill_client_connections',
    help: 'Open connections of clients.',
    registers: [this.registry],
  });

  readonly clientConnectionLimit = new Gauge({
    name: 'pistachiorill_client_connection_limit',
    help: 'The most connections of clients that this VM accepts.',
    registers: [this.registry],
  });

  readonly draining = new Gauge({
    name: 'pistachiorill_draining',
    help: 'Whether the VM takes no new work: 1 while it drains, else 0.',
    registers: [this.registry],
  });

  readonly configurationReadTime = new Gauge({
    name: 'pistachiorill_configuration_read_time_seconds',
    help: 'Wall-clock time of the last read of the version row.',
    registers: [this.registry],
  });

  readonly auditBuffered = new Gauge({
    name: 'pistachiorill_audit_buffered',
    help: 'Audit entries that the object store has not taken yet.',
    registers: [this.registry],
  });
}
