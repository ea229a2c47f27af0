import type {Authority, Contract} from '../contracts/mod.ts';

/**
 * Maximum number of replicas of a model or adapter: the smaller of the model's
 * own maximum and the largest maximum of any current contract that grants
 * access. An adapter cannot have more replicas than its base model, since each
 * one is loaded beside a replica of the base model.
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
