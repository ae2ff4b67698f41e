import type {Clock, Reply} from '@pistachiorill/tasks';
import type {Logger} from '@pistachiorill/telemetry';
import type {RelayedConfiguration} from '../peers/gateway_handlers.js';
import type {ConfigurationRequest} from '../peers/gateway_router.js';
import type {PeerSet} from '../peers/peer_set.js';
import type {WatcherChoice} from '../peers/watcher_choice.js';
import type {
  ConfigurationSource,
  OperatorState,
} from '../ports/configuration_source.js';

/** Messages that the configuration task handles. */
export type ConfigurationMessage =
  | {readonly kind: 'start'}
  /** The store or a peer sent a state, which may be an old one. */
  | {
      readonly kind: 'received';
      readonly state: OperatorState;
      readonly from: 'store' | 'peer';
    }
  /** The store confirmed through a watcher that the state was the newest. */
  | {readonly kind: 'confirmed'; readonly at: number}
  /** A peer asks for this VM's state. */
  | {
      readonly kind: 'relay';
      readonly request: ConfigurationRequest;
      readonly reply: Reply<RelayedConfiguration | undefined>;
    }
  /** The time has come to decide again which state is in force. */
  | {readonly kind: 'decide'}
  | {readonly kind: 'stop'};

/** Collaborators of the configuration task. */
export interface ConfigurationDependencies {
  readonly source: ConfigurationSource;
  readonly peers: PeerSet;
  /** The watcher that this VM follows, if it does not watch the store itself. */
  readonly watcher: WatcherChoice;
  /** The store's version of this process's registration, once it is known. */
  readonly registeredAt: () => number | undefined;
  readonly clock: Clock;
  /** The time within which a change must be in force on this VM. */
  readonly applyWithinMs: number;
  /** Called when the store confirms which state is the newest. */
  readonly onConfirmed: () => void;
  readonly onApplied: (state: OperatorState) => void;
  readonly onStoreFailure: (call: string) => void;
  readonly log: Logger;
  readonly onFailed: (err: unknown) => void;
}
