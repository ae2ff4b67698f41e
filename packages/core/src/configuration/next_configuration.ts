/** A version that a VM has received, from the row or from a peer. */
export interface ConfigurationVersion {
  readonly version: number;
  readonly hash: string;
}

/**
 * Returns the highest received version that is above the applied one. Answers
 * arrive late and out of order, so a lower version is never applied, whatever
 * its source.
 */
export function nextConfiguration(
  appliedVersion: number,
  received: ReadonlyArray<ConfigurationVersion | undefined>,
): ConfigurationVersion | undefined {
  return received
    .filter(item => item !== undefined)
    .filter(item => item.version > appliedVersion)
    .sort((a, b) => b.version - a.version)[0];
}
