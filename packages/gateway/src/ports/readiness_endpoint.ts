/** Whether the VM should get new connections. */
export type Readiness = 'ready' | 'not-ready';

/** Tells the platform's balancer whether to send connections to this VM. */
export abstract class ReadinessEndpoint {
  abstract listen(address: string, readiness: () => Readiness): void;
  abstract close(): void;
}
