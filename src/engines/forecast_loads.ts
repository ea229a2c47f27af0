import type {EnginePoolConfiguration} from '../deployment/mod.ts';
import type {EngineSnapshot} from './engine_snapshot.ts';
import {loadBenefit} from './load_benefit.ts';
import {expectedLoadMilliseconds, nearestTier} from './load_tier.ts';
import type {ModelDemand} from './model_demand.ts';

/** Input of {@link forecastLoads}. */
export interface ForecastInput {
  readonly pool: EnginePoolConfiguration;
  readonly engines: readonly EngineSnapshot[];
  /** Demand by model; models without demand are omitted. */
  readonly demand: ReadonlyMap<string, ModelDemand>;
  /** Further loads from the weight store that may start now. */
  readonly remoteLoadsAllowed: number;
  /** Milliseconds until each load from the weight store in progress has ended. */
  readonly remoteLoadsEndIn: readonly number[];
}

/** When requests for models without a replica can be served. */
export interface LoadForecast {
  /** Expected milliseconds until awaited models are ready. */
  readonly readyIn: ReadonlyMap<string, number>;
  /** Models that only the weight store has and that are not being loaded. */
  readonly remoteOnly: ReadonlySet<string>;
  /** Expected milliseconds until one of those is ready if it is asked for now. */
  readonly remoteReadyIn: number;
}

/** Forecast of a pool without any. */
export const NO_FORECAST: LoadForecast = {
  readyIn: new Map(),
  remoteOnly: new Set(),
  remoteReadyIn: 0,
};

/**
 * Estimates when the models that requests wait for will be ready. Designed for
 * more rarely used models than the engines and the weight store can load in
 * time: a host refuses at once what will not be ready before its caller gives up,
 * in place of holding it until then.
 *
 * The loads are laid out in the order of their benefit, each on the engine with a
 * copy that is free first, or in the next free slot of the weight store. An estimate is too low when running requests delay an
 * eviction, so it never refuses a request that could have been served.
 */
export function forecastLoads(input: ForecastInput): LoadForecast {
  const {pool, engines, demand} = input;
  const readyIn = new Map<string, number>();
  const freeIn = new Map<string, number>();
  const copies = new Map<string, EngineSnapshot[]>();
  const loaded = new Set<string>();
  for (const engine of engines) {
    freeIn.set(engine.id, engine.busyMilliseconds);
    for (const model of engine.models) loaded.add(model);
    if (engine.loading !== undefined) {
      const known = readyIn.get(engine.loading) ?? Number.POSITIVE_INFINITY;
      readyIn.set(engine.loading, Math.min(known, engine.busyMilliseconds));
    }
    for (const model of new Set([...engine.inMemory, ...engine.onDisk])) {
      const holders = copies.get(model);
      if (holders === undefined) copies.set(model, [engine]);
      else holders.push(engine);
    }
  }
  const loading = new Set(readyIn.keys());
  const awaited = [...demand]
    .filter(([, {waiting}]) => waiting > 0)
    .sort(([, left], [, right]) => loadBenefit(right) - loadBenefit(left));
  const remoteSlots = [
    ...Array.from({length: input.remoteLoadsAllowed}, () => 0),
    ...input.remoteLoadsEndIn,
  ];
  for (const [name] of awaited) {
    const model = pool.models.get(name);
    if (model === undefined || loaded.has(name) || readyIn.has(name)) continue;
    const holders = copies.get(name);
    const first = freeFirst(holders ?? engines, freeIn);
    if (first === undefined) continue;
    const slot = holders === undefined ? takeFirst(remoteSlots) : 0;
    if (slot === undefined) continue;
    const startsIn = Math.max(slot, freeIn.get(first.id) ?? 0);
    const tier = nearestTier(first, name);
    const ready = startsIn + expectedLoadMilliseconds(model, tier);
    if (holders === undefined) remoteSlots.push(ready);
    freeIn.set(first.id, ready);
    readyIn.set(name, ready);
  }
  const remoteOnly = new Set(
    [...pool.models.keys()].filter(
      name => !loaded.has(name) && !loading.has(name) && !copies.has(name),
    ),
  );
  const remoteLoad = Math.max(
    0,
    ...[...remoteOnly].map(
      name => pool.models.get(name)?.remoteLoadMilliseconds ?? 0,
    ),
  );
  return {
    readyIn,
    remoteOnly,
    // Without a known slot the estimate is too low: peers reject infinite times.
    remoteReadyIn:
      (remoteSlots.length === 0 ? 0 : Math.min(...remoteSlots)) + remoteLoad,
  };
}

/** Removes and returns the smallest number. */
function takeFirst(numbers: number[]): number | undefined {
  if (numbers.length === 0) return undefined;
  const index = numbers.indexOf(Math.min(...numbers));
  return numbers.splice(index, 1)[0];
}

function freeFirst(
  engines: readonly EngineSnapshot[],
  freeIn: ReadonlyMap<string, number>,
): EngineSnapshot | undefined {
  return engines.reduce<EngineSnapshot | undefined>(
    (best, engine) =>
      best === undefined ||
      (freeIn.get(engine.id) ?? 0) < (freeIn.get(best.id) ?? 0)
        ? engine
        : best,
    undefined,
  );
}
