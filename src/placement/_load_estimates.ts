import type {CheckpointTier} from '../contracts/mod.ts';
import type {EvictionChoice} from './_eviction.ts';
import type {PlacementEstimate} from './placement_policy.ts';
import type {EngineView, PoolView, TargetView} from './pool_view.ts';

/** Assumed service time of one queued request, in milliseconds. */
const QUEUED_REQUEST_MILLISECONDS = 200;

/** Assumed time until all hosts release a replica and it is unloaded. */
const EVICTION_MILLISECONDS = 150;

/** Predicts when the weight store can start loads, given the planned ones. */
export class StoreForecast {
  private readonly ends: number[];
  private nextStartIn: number;

  constructor(private readonly view: PoolView) {
    const {store, now} = view;
    this.ends = [...store.endsInMilliseconds].sort((a, b) => a - b);
    this.nextStartIn = Math.max(0, store.nextStartAt - now);
  }

  /** Milliseconds until the next load may start. */
  get waitMilliseconds(): number {
    const {storeConcurrentLoads} = this.view.pool;
    const busy = this.ends.length - storeConcurrentLoads;
    const freeIn = busy < 0 ? 0 : (this.ends[busy] ?? 0);
    return Math.max(this.nextStartIn, freeIn);
  }

  /** Adds a load that starts as soon as the store allows it. */
  start(loadMilliseconds: number): void {
    const startIn = this.waitMilliseconds;
    this.nextStartIn = startIn + 1000 / this.view.pool.storeLoadsPerSecond;
    this.ends.push(startIn + loadMilliseconds);
    this.ends.sort((a, b) => a - b);
  }
}

/** Nearest tier from which an engine can load a target's checkpoint. */
export function tierOf(engine: EngineView, target: TargetView): CheckpointTier {
  return engine.tiers.get(target.name) ?? 'remote';
}

/** Load time on an engine at the weight store's measured speed. */
export function loadMillisecondsOn(
  engine: EngineView,
  target: TargetView,
  view: PoolView,
): number {
  const tier = tierOf(engine, target);
  const milliseconds = target.loadMilliseconds[tier];
  if (target.kind === 'adapter') {
    const {adapterConcurrentLoads} = view.pool;
    const excess = (view.store.adapterInFlight + 1) / adapterConcurrentLoads;
    return milliseconds * Math.max(1, excess);
  }
  return tier === 'remote' ? milliseconds / view.store.speed : milliseconds;
}

/** Expected time to the first token of a target on an engine. */
export function estimateOn(
  engine: EngineView,
  target: TargetView,
  view: PoolView,
  store: StoreForecast,
  eviction: EvictionChoice,
): PlacementEstimate {
  const tier = tierOf(engine, target);
  const usesStore = target.kind === 'model' && tier === 'remote';
  const storeMilliseconds = usesStore ? store.waitMilliseconds : 0;
  const loadMilliseconds = loadMillisecondsOn(engine, target, view);
  const queueMilliseconds = engine.queued * QUEUED_REQUEST_MILLISECONDS;
  const evictionTime = eviction.waitsForMemory ? EVICTION_MILLISECONDS : 0;
  return {
    endpoint: engine.name,
    tier,
    storeMilliseconds,
    loadMilliseconds,
    queueMilliseconds,
    evictionMilliseconds: eviction.costMilliseconds,
    evicts: eviction.evicts.map(replica => replica.target),
    totalMilliseconds:
      Math.max(storeMilliseconds, evictionTime) +
      loadMilliseconds +
      queueMilliseconds +
      eviction.costMilliseconds,
  };
}
