import type {EngineSnapshot} from './engine_snapshot.ts';
import type {PlacementInput} from './plan_placement.ts';

/**
 * Whether an engine can take the requests of a further model beside those of its own
 * models, which it shares with the other engines that have them.
 */
export function takesRequestsOf(
  {engines, demand}: PlacementInput,
  engine: EngineSnapshot,
  model: string,
): boolean {
  if (engine.requestsPerSecond === undefined) return true;
  const rateOf = (name: string) => demand.get(name)?.ratePerSecond ?? 0;
  let expected = rateOf(model);
  for (const held of engine.models) {
    const holders = engines.filter(({models}) => models.has(held)).length;
    expected += rateOf(held) / Math.max(1, holders);
  }
  return expected <= engine.requestsPerSecond;
}
