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
}

/** When requests for models without a replica can be served. */
export interface LoadForecast {
  /** Expected milliseconds until awaited models are ready. */
  readonly readyIn: ReadonlyMap<string, number>;
  /**
   * Models that no engine has a copy of and that cannot be loaded from the weight
   * store at present.
   */
  readonly unavailable: ReadonlySet<string>;
}

/**
 * Estimates when the models that requests wait for will be ready. Designed for
 * more rarely used models than the engines and the weight store can load in
 * time: a host refuses at once what will not be ready before its caller gives up,
 * in place of holding it until then.
 *
 * The loads are laid out in the order of their benefit, each on the engine with a
 * copy that is free first. An estimate is too low when running requests delay an
 * eviction, so it never refuses a request that could have been served.
 */
export function forecastLoads(input: ForecastInput): LoadForecast {
  const {pool, engines, demand} = input;
  const readyIn = new Map<string, number>();
  const unavailable = new Set<string>();
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
  const awaited = [...demand]
    .filter(([, {waiting}]) => waiting > 0)
    .sort(([, left], [, right]) => loadBenefit(right) - loadBenefit(left));
  let remoteLoads = input.remoteLoadsAllowed;
  for (const [name] of awaited) {
    const model = pool.models.get(name);
    if (model === undefined || loaded.has(name) || readyIn.has(name)) continue;
    const holders = copies.get(name);
    if (holders === undefined && remoteLoads <= 0) continue;
    const first = (holders ?? engines).reduce<EngineSnapshot | undefined>(
      (best, engine) =>
        best === undefined ||
        (freeIn.get(engine.id) ?? 0) < (freeIn.get(best.id) ?? 0)
          ? engine
          : best,
      undefined,
    );
    if (first === undefined) continue;
    if (holders === undefined) remoteLoads--;
    const tier = nearestTier(first, name);
    const ready =
      (freeIn.get(first.id) ?? 0) + expectedLoadMilliseconds(model, tier);
    freeIn.set(first.id, ready);
    readyIn.set(name, ready);
  }
  if (remoteLoads <= 0) {
    for (const name of pool.models.keys()) {
      const isKnown = loaded.has(name) || readyIn.has(name) || copies.has(name);
      if (!isKnown) unavailable.add(name);
    }
  }
  return {readyIn, unavailable};
}
