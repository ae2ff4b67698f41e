import type {
  BackendServer,
  Configuration,
  ServiceState,
} from './configuration.js';

/** Why a VM accepts no new work. */
export type DrainReason = 'stopping' | 'listed-leaving' | 'data-centre-out';

/** The conditions that decide whether a VM accepts new work. */
export interface DrainInput {
  readonly stop: 'requested' | 'not-requested';
  /**
   * The state of the VM in the platform's list. A VM that is missing from the
   * list may still be alive, so it continues to serve.
   */
  readonly platformState: 'live' | 'leaving' | 'not-listed';
  readonly dataCentre: string;
  /** Undefined until the first configuration is applied. */
  readonly configuration: Configuration | undefined;
}

/**
 * Returns the reasons to drain. A VM without a reason serves, and one whose
 * last reason ends serves again.
 */
export function drainReasons(input: DrainInput): readonly DrainReason[] {
  const reasons: DrainReason[] = [];
  if (input.stop === 'requested') reasons.push('stopping');
  if (input.platformState === 'leaving') reasons.push('listed-leaving');
  if (
    input.configuration &&
    stateOf(input.configuration, input.dataCentre) === 'out'
  ) {
    reasons.push('data-centre-out');
  }
  return reasons;
}

/** Returns whether new statements may be sent to a member. */
export function acceptsNewStatements(
  server: BackendServer,
  configuration: Configuration,
): boolean {
  return (
    server.state === 'in-service' &&
    stateOf(configuration, server.dataCentre) === 'in-service'
  );
}

/**
 * Returns the state of a data centre. One that the document does not name is
 * out of service.
 */
function stateOf(
  configuration: Configuration,
  dataCentre: string,
): ServiceState {
  const found = configuration.dataCentres.find(d => d.name === dataCentre);
  return found?.state ?? 'out';
}
