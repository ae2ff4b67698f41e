import type {Acknowledgement, Route} from './route.js';

/**
 * The proof that a write requires before it is acknowledged: `nothing` if the
 * reply of the primary is enough.
 */
export type RequiredProof = Acknowledgement | 'nothing';

/** Decides which proof the acknowledgement of a write waits for. */
export abstract class AcknowledgementPolicy {
  /** Returns the proof that a write on the route requires. */
  abstract proofFor(route: Route): RequiredProof;
}
