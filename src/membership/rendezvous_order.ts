import {rendezvousWeight} from './rendezvous_weight.ts';

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
  return [...candidates]
    .map(name => ({name, weight: rendezvousWeight(key, name)}))
    .sort(
      (left, right) =>
        right.weight - left.weight || (left.name < right.name ? -1 : 1),
    )
    .map(candidate => candidate.name);
}
