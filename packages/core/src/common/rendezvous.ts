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
