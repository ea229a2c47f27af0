import type {Authority} from '../contracts/mod.ts';

/** Members that a change must reach to be in effect: D in the design. */
export function writeQuorum(memberCount: number): number {
  return Math.floor(memberCount / 2) + 1;
}

/** Members that are enough as evidence: R in the design. */
export function readQuorum(memberCount: number): number {
  return memberCount - writeQuorum(memberCount) + 1;
}

/**
 * Member lists that must agree: the current one, and the one before it while
 * the latest change of the list is not known to be in effect.
 *
 * @param authority State that holds the lists.
 * @param inEffectVersion Version known to be in effect.
 */
export function memberLists(
  authority: Authority,
  inEffectVersion: number,
): readonly (readonly string[])[] {
  const current = [...authority.members.keys()];
  if (
    authority.memberVersion <= inEffectVersion ||
    authority.previousMembers.size === 0
  ) {
    return [current];
  }
  return [current, [...authority.previousMembers]];
}

/**
 * The value that at least `count` of the values reach; negative infinity when
 * there are fewer values.
 */
export function nthLargest(values: readonly number[], count: number): number {
  if (count <= 0) return Infinity;
  if (values.length < count) return -Infinity;
  return [...values].sort((left, right) => right - left)[count - 1]!;
}
