const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Weight of a candidate for a key, from 0 to below 1; the same in every process.
 *
 * @param key Key to assign, such as a lease scope or the address of a caller.
 * @param candidate Host id.
 */
export function rendezvousWeight(key: string, candidate: string): number {
  const keyHash = hashText(key, FNV_OFFSET);
  return mix(hashText(candidate, keyHash)) / 2 ** 32;
}

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
