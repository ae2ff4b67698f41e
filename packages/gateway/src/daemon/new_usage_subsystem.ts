import type {GatewayMetrics} from '../telemetry/gateway_metrics.js';
import {UsageSubsystem} from '../usage/usage_subsystem.js';

type UsageDependencies = ConstructorParameters<typeof UsageSubsystem>[0];

/** The services of the VM that the subsystem uses. */
type UsageServices = Pick<
  UsageDependencies,
  | 'vm'
  | 'incarnation'
  | 'view'
  | 'transact'
  | 'peers'
  | 'reporter'
  | 'clock'
  | 'log'
  | 'onFailed'
> & {readonly metrics: GatewayMetrics};

/** Creates the usage reports of a VM, if the deployment has them. */
export function newUsageSubsystem(
  bounds: UsageDependencies['bounds'] | undefined,
  {metrics, ...services}: UsageServices,
): UsageSubsystem | undefined {
  return (
    bounds &&
    new UsageSubsystem({
      ...services,
      bounds,
      wallClock: () => Date.now(),
      startedAt: services.clock(),
      onOutcome: outcome => metrics.usageReported(outcome),
      onMissing: vms => metrics.usageMissing(vms),
    })
  );
}
