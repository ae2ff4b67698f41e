import {AcknowledgementPolicy} from './acknowledgement_policy.js';
import type {RequiredProof} from './acknowledgement_policy.js';
import type {Route} from './route.js';

/** Requires the proof that the route configures. */
export class RouteAcknowledgementPolicy extends AcknowledgementPolicy {
  override proofFor(route: Route): RequiredProof {
    return route.acknowledge;
  }
}
