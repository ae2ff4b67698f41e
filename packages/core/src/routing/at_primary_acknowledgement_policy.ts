import {AcknowledgementPolicy} from './acknowledgement_policy.js';
import type {RequiredProof} from './acknowledgement_policy.js';

/**
 * Acknowledges a write as soon as the primary has committed it. Serves as the
 * baseline of experiments: a failover can lose such a write.
 */
export class AtPrimaryAcknowledgementPolicy extends AcknowledgementPolicy {
  override proofFor(): RequiredProof {
    return 'nothing';
  }
}
