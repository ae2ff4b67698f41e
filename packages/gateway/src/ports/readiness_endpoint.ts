/** Whether the VM should receive new connections. */
export type Readiness = 'ready' | 'not-ready';

/** Reports to the platform's load balancer whether this VM is ready. */
export abstract class ReadinessEndpoint {
  /** Serves the result of `readiness` on an address. */
  abstract listen(address: string, readiness: () => Readiness): void;
  /** Stops listening. */
  abstract close(): void;
}
