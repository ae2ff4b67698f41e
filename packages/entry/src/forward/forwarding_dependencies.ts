import type {Clock} from '@pistachiorill/tasks';
import type {KeepAliveTask} from './keep_alive_task.js';
import type {OwnerClient} from './owner_client.js';

/**
 * Extra time to wait after the deadline, so that a refusal that the owner sends
 * at the deadline still arrives.
 */
export const ANSWER_GRACE_MS = 100;

/** The collaborators that all forwarding executors of a VM share. */
export interface ForwardingDependencies {
  readonly ownerClient: OwnerClient;
  readonly keepAlive: Pick<KeepAliveTask, 'tell'>;
  readonly clock: Clock;
}
