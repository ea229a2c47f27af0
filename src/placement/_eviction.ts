import type {
  EngineView,
  PoolView,
  ReplicaView,
  TargetView,
} from './pool_view.ts';

/** What an engine must unload before a load fits. */
export interface EvictionChoice {
  /** Loaded replicas to drain now. */
  readonly evicts: readonly ReplicaView[];
  /** Expected cost of reloading them. */
  readonly costMilliseconds: number;
  /** Whether the load must wait for replicas to be unloaded. */
  readonly waitsForMemory: boolean;
}

/** A target that is used again within this time costs a reload. */
const REUSE_HORIZON_MILLISECONDS = 60_000;

/** Cost per request on a replica in use, so that idle replicas go first. */
const BUSY_COST_MILLISECONDS = 60_000;

/** Load times for which a replica in use stays loaded at least. */
const MINIMUM_RESIDENCE_LOADS = 2;
/** Milliseconds for which a replica in use stays loaded at least. */
const MINIMUM_RESIDENCE_MILLISECONDS = 2000;

/** Replicas that can only be evicted together. */
interface EvictionUnit {
  /** A model with its adapters on the engine, or a single adapter. */
  readonly replicas: readonly ReplicaView[];
  readonly memoryMegabytes: number;
  readonly costMilliseconds: number;
}

/**
 * Chooses the replicas to evict from an engine for a load of `megabytes`, by
 * the lowest expected cost of reloading them per megabyte.
 *
 * @param reserved Megabytes that the plan's other loads take on the engine.
 * @param keptModel Base model of the load, which must not be evicted.
 * @param drained Keys of the replicas that the plan drains already.
 * @returns Undefined when the load cannot fit.
 */
export function chooseEviction(
  engine: EngineView,
  megabytes: number,
  reserved: number,
  keptModel: string | null,
  view: PoolView,
  drained: ReadonlySet<string>,
  mayEvictBusy: boolean,
): EvictionChoice | undefined {
  if (megabytes + reserved > engine.capacityMegabytes) return undefined;
  const free = engine.capacityMegabytes - engine.usedMegabytes - reserved;
  if (free >= megabytes) {
    return {evicts: [], costMilliseconds: 0, waitsForMemory: false};
  }
  const leaving = engine.replicas
    .filter(replica => {
      const {state} = replica;
      return (
        state === 'draining' ||
        state === 'unloading' ||
        drained.has(replicaKey(replica))
      );
    })
    .reduce((sum, replica) => sum + replica.memoryMegabytes, 0);
  let missing = megabytes - free - leaving;
  if (missing <= 0)
    return {evicts: [], costMilliseconds: 0, waitsForMemory: true};
  const units = evictionUnits(
    engine,
    keptModel,
    view,
    drained,
    mayEvictBusy,
  ).sort((a, b) => {
    return (
      a.costMilliseconds / a.memoryMegabytes -
      b.costMilliseconds / b.memoryMegabytes
    );
  });
  const chosen: EvictionUnit[] = [];
  for (const unit of units) {
    if (missing <= 0) break;
    chosen.push(unit);
    missing -= unit.memoryMegabytes;
  }
  if (missing > 0) return undefined;
  // A large unit chosen last can make smaller ones chosen earlier unnecessary.
  const needed = chosen.filter(unit => {
    if (missing + unit.memoryMegabytes > 0) return true;
    missing += unit.memoryMegabytes;
    return false;
  });
  return {
    evicts: needed.flatMap(unit => unit.replicas),
    costMilliseconds: needed.reduce(
      (sum, unit) => sum + unit.costMilliseconds,
      0,
    ),
    waitsForMemory: true,
  };
}

/**
 * Expected cost of reloading a target on an engine: its load time there times
 * the probability that it is used again within a minute.
 */
export function reloadCost(
  engine: EngineView,
  target: TargetView,
  view: PoolView,
): number {
  const idle = Math.max(0, view.now - target.lastUsedAt);
  const {probability} = target.history.predictUse(
    idle,
    REUSE_HORIZON_MILLISECONDS,
  );
  const tier = engine.tiers.get(target.name) ?? 'remote';
  return probability * target.loadMilliseconds[tier];
}

function evictionUnits(
  engine: EngineView,
  keptModel: string | null,
  view: PoolView,
  drained: ReadonlySet<string>,
  mayEvictBusy: boolean,
): EvictionUnit[] {
  const units: EvictionUnit[] = [];
  for (const replica of engine.replicas) {
    if (replica.state !== 'loaded' || replica.target === keptModel) continue;
    if (drained.has(replicaKey(replica))) continue;
    // Adapters are evicted with their base model, and alone only if that stays.
    if (replica.kind === 'adapter' && replica.baseModel !== keptModel) continue;
    const replicas =
      replica.kind === 'adapter'
        ? [replica]
        : [replica, ...adaptersOn(engine, replica.target)];
    // While an adapter is loading, or may be, its base model cannot be drained.
    if (replicas.some(({state}) => state === 'loading')) continue;
    if (replicas.some(({state}) => state === 'unresolved')) continue;
    const cost = unitCost(engine, replicas, view, mayEvictBusy);
    if (cost === undefined) continue;
    units.push({
      replicas: replicas.filter(({state}) => state === 'loaded'),
      memoryMegabytes: replicas.reduce((sum, each) => {
        return each.state === 'loaded' ? sum + each.memoryMegabytes : sum;
      }, 0),
      costMilliseconds: cost,
    });
  }
  return units;
}

/** Identifies a replica within a pool. */
export function replicaKey(replica: {
  readonly endpoint: string;
  readonly target: string;
}): string {
  return `${replica.endpoint}/${replica.target}`;
}

/** Adapters on an engine that are loaded beside one base model. */
export function adaptersOn(
  engine: EngineView,
  baseModel: string,
): readonly ReplicaView[] {
  return engine.replicas.filter(replica => replica.baseModel === baseModel);
}

function unitCost(
  engine: EngineView,
  replicas: readonly ReplicaView[],
  view: PoolView,
  mayEvictBusy: boolean,
): number | undefined {
  let cost = 0;
  for (const replica of replicas) {
    const target = view.targets.get(replica.target);
    if (target === undefined) continue;
    cost += reloadCost(engine, target, view);
    if (target.inFlight === 0 && target.waiting === 0) continue;
    if (!mayEvictBusy) return undefined;
    const residence = Math.max(
      MINIMUM_RESIDENCE_MILLISECONDS,
      MINIMUM_RESIDENCE_LOADS * target.loadMilliseconds.remote,
    );
    if (view.now - replica.since < residence) return undefined;
    cost += BUSY_COST_MILLISECONDS * (1 + target.inFlight + target.waiting);
  }
  return cost;
}
