import type {RelayedConfiguration} from '../peers/gateway_handlers.js';
import type {ConfigurationRequest} from '../peers/gateway_router.js';
import type {OperatorStates} from './operator_states.js';

/** Times of a relay, by the clock of the VM that answers. */
export interface RelayTimes {
  /** When the store last confirmed which state is the newest, if it has. */
  readonly confirmedAt: number | undefined;
  readonly receivedAt: number;
  readonly now: number;
}

/** Returns the newest state for a peer, if the store has confirmed one. */
export function relayConfiguration(
  states: OperatorStates,
  {newerThan, maxLength = Infinity}: ConfigurationRequest,
  {confirmedAt, receivedAt, now}: RelayTimes,
): RelayedConfiguration | undefined {
  if (!states.newest || confirmedAt === undefined) return undefined;
  const {revision, encoded} = states.newest;
  const earlier = states.encodedEarlierFor(newerThan);
  const length = encoded.length + (earlier?.length ?? 0);
  const isSent = revision > newerThan && length <= maxLength;
  return {
    revision,
    encoded: isSent ? encoded : undefined,
    earlier: isSent ? earlier : undefined,
    confirmedAgoMs: now - confirmedAt,
    heldMs: now - receivedAt,
  };
}
