import type {Authority} from '../contracts/mod.ts';

/**
 * Number of members that must apply a change for it to be in effect; D in the
 * design.
 */
export function writeQuorum(memberCount: number): number {
  return Math.floor(memberCount / 2) + 1;
}

/**
 * Number of members that must confirm a version as current; R in the design. It
 * overlaps every write quorum in at least one member.
 */
export function readQuorum(memberCount: number): number {
  return memberCount - writeQuorum(memberCount) + 1;
}

/**
 * Member lists that must each have a quorum: the current one, and also the
 * previous one while the latest change of the list is not known to be in
 * effect.
 *
 * @param authority State that contains the lists.
 * @param inEffectVersion Latest version known to be in effect.
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
 * The largest number that at least `count` of the values equal or exceed;
 * negative infinity if there are fewer values, infinity if `count` is not
 * positive.
 */
export function nthLargest(values: readonly number[], count: number): number {
  if (count <= 0) return Infinity;
  if (values.length < count) return -Infinity;
  return [...values].sort((left, right) => right - left)[count - 1]!;
}
