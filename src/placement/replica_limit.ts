import type {Authority, Contract} from '../contracts/mod.ts';

/**
 * Most replicas of a model or adapter that may be loaded: what the model
 * allows, and the largest number that a contract with access pays for. An
 * adapter's number is also limited by its base model's placements, since it
 * is loaded beside them.
 */
export function replicaLimit(
  authority: Authority,
  target: string,
  now: Date,
): number {
  const adapter = authority.adapters.get(target);
  if (adapter !== undefined) {
    return Math.min(
      replicaLimit(authority, adapter.baseModel, now),
      largestContract(authority, now, contract =>
        contract.adapters.includes(target),
      ),
    );
  }
  const model = authority.models.get(target);
  if (model === undefined) return 0;
  const paid = largestContract(authority, now, contract => {
    return (
      contract.models.includes(target) ||
      contract.adapters.some(name => {
        return authority.adapters.get(name)?.baseModel === target;
      })
    );
  });
  return Math.min(model.maximumReplicas, paid);
}

function largestContract(
  authority: Authority,
  now: Date,
  grants: (contract: Contract) => boolean,
): number {
  let largest = 0;
  for (const contract of authority.contracts.values()) {
    const ended =
      contract.endsAt !== null && Date.parse(contract.endsAt) <= now.getTime();
    if (ended || !grants(contract)) continue;
    largest = Math.max(largest, contract.maximumReplicas);
  }
  return largest;
}
