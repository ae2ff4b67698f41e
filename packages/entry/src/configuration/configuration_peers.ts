import type {ConfigurationVersion} from '@pistachiorill/core';

/** Fetches the configuration from other VMs while the store is unavailable. */
export abstract class ConfigurationPeers {
  /** Returns the highest version applied by the peers that were asked. */
  abstract fetchLatestVersion(): Promise<ConfigurationVersion | undefined>;

  /** Returns the body of a document, if a peer that was asked has it. */
  abstract body(hash: string): Promise<string | undefined>;
}
