/**
 * Orders candidates by rendezvous hashing (highest random weight). Each
 * candidate has its own weight for each key, so adding or removing a candidate
 * reassigns only the keys for which it comes first.
 *
 * @param key Key to assign, such as a lease scope or a team.
 * @param candidates Host ids.
 * @returns The candidates in order of preference.
 * @example
 * ```ts
 * const [owner] = rendezvousOrder('team:gebre', ['host-1', 'host-2']);
 * ```
 */
export function rendezvousOrder(
  key: string,
  candidates: Iterable<string>,
): string[] {
  const keyHash = hashText(key, FNV_OFFSET);
  return [...candidates]
    .map(name => ({name, weight: mix(hashText(name, keyHash))}))
    .sort(
      (left, right) =>
        right.weight - left.weight || (left.name < right.name ? -1 : 1),
    )
    .map(candidate => candidate.name);
}

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** FNV-1a over UTF-16 code units. */
function hashText(text: string, seed: number): number {
  let hash = seed;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return hash >>> 0;
}

/**
 * Finalizer of MurmurHash3; FNV-1a alone mixes the last characters too little.
 */
function mix(hash: number): number {
  let mixed = hash;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
