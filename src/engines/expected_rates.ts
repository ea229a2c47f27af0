/**
 * Request rates to assume for the models of a pool whose requests are not known
 * yet, at the start of a deployment or of a manager: a model on several engines
 * was busy when it was placed. Otherwise, loads ahead of the first requests evict
 * the models that are about to be needed most.
 *
 * @returns Requests a second by model: the number of replicas where there are two
 *   or more.
 */
export function expectedRates(
  engines: Iterable<{readonly models: ReadonlySet<string>}>,
): ReadonlyMap<string, number> {
  const replicas = new Map<string, number>();
  for (const {models} of engines) {
    for (const model of models) {
      replicas.set(model, (replicas.get(model) ?? 0) + 1);
    }
  }
  return new Map([...replicas].filter(([, count]) => count >= 2));
}
