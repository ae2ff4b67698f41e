import murmurhash from 'murmurhash';

/**
 * Orders candidates by their rendezvous (highest random weight) score for a
 * key, the highest first. A candidate that is added or removed changes the
 * assignment of only those keys that it gains or loses.
 */
export function rendezvousOrder(
  key: string,
  candidates: readonly string[],
): string[] {
  return candidates
    .map(name => ({name, score: murmurhash.v3(`${key}\u0000${name}`)}))
    .sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1))
    .map(entry => entry.name);
}

const HASH_RANGE = 2 ** 32;

/**
 * Orders candidates as `rendezvousOrder` does, where a candidate of twice the
 * weight is the first one for twice as many keys. Equal weights give the same
 * order.
 */
export function weightedRendezvousOrder(
  key: string,
  weights: ReadonlyMap<string, number>,
): string[] {
  return [...weights]
    .map(([name, weight]) => {
      const hash = murmurhash.v3(`${key}\u0000${name}`);
      return {name, score: -Math.log((hash + 0.5) / HASH_RANGE) / weight};
    })
    .sort((a, b) => a.score - b.score || (a.name < b.name ? -1 : 1))
    .map(entry => entry.name);
}
