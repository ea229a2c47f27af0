import type {ModelConfiguration} from '../deployment/mod.ts';
import {loadBenefit} from './load_benefit.ts';
import {expectedLoadMilliseconds, nearestTier} from './load_tier.ts';
import type {PlacementInput} from './plan_placement.ts';
import type {EngineSnapshot} from './engine_snapshot.ts';
import type {PlannedLoad} from './planned_load.ts';
import {
  BUSY_RATE_PER_SECOND,
  type ReplicaRange,
  desiredReplicas,
} from './desired_replicas.ts';

/**
 * Cost of evicting a replica that only guards against a crash, in milliseconds:
 * an idle rare model goes first, a load from the weight store is worse.
 */
const STANDBY_EVICTION_COST_MILLISECONDS = 3000;

/**
 * Share of the engines that may load from the weight store while requests wait:
 * such a load takes an engine's turn as long as several loads from its disk.
 */
const REMOTE_SHARE = 1 / 3;

/**
 * Wait of a request from which its model is loaded from the weight store though
 * an engine that has no turn or room for it now has a copy on disk. About half
 * of a load from the store, so that waiting for the copy is never much longer.
 */
const IGNORE_COPY_AFTER_MILLISECONDS = 3000;

/**
 * Expected wait for the runs of a model that is evicted while in use. Nine of
 * ten measured runs of rare models took less than 2.9 s from their load.
 */
const EXPECTED_DRAIN_MILLISECONDS = 2500;

/** The least of such a wait, however long ago the model was loaded. */
const MINIMUM_DRAIN_MILLISECONDS = 300;

/**
 * Wait of a request that justifies an eviction of a model in use: until then
 * an idle model elsewhere may make room at once.
 */
const EVICT_IN_USE_AFTER_MILLISECONDS = 2000;

/** Longest load that a replica nobody waits for may cost. */
const EVICTION_COST_PER_REQUEST_RATE = 20_000;

/** One round of {@link planPlacement}. */
export class PlacementPlan {
  readonly loads: PlannedLoad[] = [];
  private readonly assignedEngines = new Set<string>();
  /** Whether requests wait for any model. */
  private readonly hasWaitingRequests: boolean;
  /** Replicas that the demand calls for, of the models looked at so far. */
  private readonly replicaRanges = new Map<string, ReplicaRange>();
  private remoteLoads: number;
  private preloads: number;

  constructor(private readonly input: PlacementInput) {
    this.hasWaitingRequests = [...input.demand.values()].some(
      ({waiting}) => waiting > 0,
    );
    const maximumRunning = this.hasWaitingRequests
      ? Math.max(1, Math.floor(input.engines.length * REMOTE_SHARE))
      : Number.POSITIVE_INFINITY;
    this.remoteLoads = Math.min(
      input.remoteLoadsAllowed,
      maximumRunning - input.remoteLoadsRunning,
    );
    this.preloads = input.preloadsAllowed;
  }

  /** Loads models for which requests wait, those with the most to gain first. */
  loadWaitingModels(): void {
    const waiting = [...this.input.demand]
      .filter(([model, demand]) => demand.waiting > 0 && !this.isLoading(model))
      .sort(([, left], [, right]) => loadBenefit(right) - loadBenefit(left));
    for (const [model] of waiting) {
      if (this.replicasOf(model) > 0) continue;
      this.planLoad(model, 'waiting');
    }
  }

  /** Adds replicas of models whose requests fill those that there are. */
  addReplicas(): void {
    const short = [...this.input.demand]
      .filter(([model]) => !this.isLoading(model) && this.needsReplica(model))
      .sort(([, left], [, right]) => right.ratePerSecond - left.ratePerSecond);
    for (const [model] of short) this.planLoad(model, 'replica');
  }

  /** Fetches models that no engine has a copy of. */
  preload(): void {
    const missing = [...this.input.pool.models.keys()].filter(
      model =>
        !this.isLoading(model) &&
        this.input.engines.every(
          engine => nearestTier(engine, model) === 'remote',
        ),
    );
    for (const model of missing) {
      if (this.preloads <= 0 || this.remoteLoads <= 0) return;
      if (this.planLoad(model, 'preload')) this.preloads--;
    }
  }

  private planLoad(model: string, reason: PlannedLoad['reason']): boolean {
    const configuration = this.input.pool.models.get(model);
    if (configuration === undefined) return false;
    const options = this.input.engines
      .map(engine => this.evaluateEngine(engine, configuration, reason))
      .filter(option => option !== undefined)
      .sort((left, right) => left.cost - right.cost);
    // The best engine may be busy for a moment; waiting for it beats a long
    // load elsewhere, so nothing is started now.
    const [best] = options;
    if (best === undefined || best.isBusy) return false;
    if (best.load.tier === 'remote') this.remoteLoads--;
    this.assignedEngines.add(best.load.engineId);
    this.loads.push(best.load);
    return true;
  }

  private evaluateEngine(
    engine: EngineSnapshot,
    model: ModelConfiguration,
    reason: PlannedLoad['reason'],
  ) {
    if (engine.models.has(model.name)) return undefined;
    const isBusy =
      engine.busyMilliseconds > 0 || this.assignedEngines.has(engine.id);
    if (isBusy && reason !== 'waiting') return undefined;
    const tier = nearestTier(engine, model.name);
    if (tier === 'remote' && this.remoteLoads <= 0) return undefined;
    // A remote load takes the engine's turn for seconds, which requests that
    // wait for other models need more.
    if (tier === 'remote' && reason === 'replica' && this.hasWaitingRequests) {
      return undefined;
    }
    if (
      tier === 'remote' &&
      reason === 'waiting' &&
      this.shouldWaitForCopy(model)
    ) {
      return undefined;
    }
    const evictions = this.evictionsFor(engine, model, reason);
    if (evictions === undefined) return undefined;
    const loadMilliseconds = expectedLoadMilliseconds(model, tier);
    const expectedMilliseconds =
      engine.busyMilliseconds + evictions.wait + loadMilliseconds;
    const copies = engine.onDisk.size + engine.inMemory.size;
    return {
      isBusy,
      // Copies spread over the engines' disks when all else is equal.
      cost: expectedMilliseconds + evictions.cost + copies,
      load: {
        engineId: engine.id,
        model: model.name,
        tier,
        evictions: evictions.models,
        reason,
        expectedMilliseconds,
      } satisfies PlannedLoad,
    };
  }

  /** Models to evict so that another fits; undefined when it cannot fit. */
  private evictionsFor(
    engine: EngineSnapshot,
    model: ModelConfiguration,
    reason: PlannedLoad['reason'],
  ): {models: string[]; cost: number; wait: number} | undefined {
    let free = this.input.pool.weightsMegabytes - this.usedMegabytes(engine);
    const result = {models: [] as string[], cost: 0, wait: 0};
    const waited = this.input.demand.get(model.name)?.waitedMilliseconds ?? 0;
    const mayEvictInUse =
      reason === 'waiting' && waited >= EVICT_IN_USE_AFTER_MILLISECONDS;
    const victims = [...engine.models]
      .map(name => ({name, ...this.evictionCost(engine, name)}))
      .filter(victim => victim.allowed)
      .filter(victim => mayEvictInUse || victim.wait === 0)
      .sort((left, right) => left.cost + left.wait - right.cost - right.wait);
    for (const victim of victims) {
      if (free >= model.weightsMegabytes) break;
      const configuration = this.input.pool.models.get(victim.name);
      free +=
        (configuration?.weightsMegabytes ?? 0) +
        this.adapterMegabytesOf(engine, victim.name);
      result.models.push(victim.name);
      result.cost += victim.cost;
      result.wait = Math.max(result.wait, victim.wait);
    }
    return free >= model.weightsMegabytes ? result : undefined;
  }

  private evictionCost(engine: EngineSnapshot, model: string) {
    const demand = this.input.demand.get(model);
    const rate = demand?.ratePerSecond ?? 0;
    const replicas = this.replicasOf(model);
    const {maximum, required} = this.desiredRange(model);
    const isSpare = replicas > maximum;
    const isStandby = !isSpare && replicas > required;
    const isBusyModel = rate >= BUSY_RATE_PER_SECOND;
    const running = engine.inFlight.get(model) ?? 0;
    const isAwaited =
      (demand?.waiting ?? 0) + (demand?.waitingForAdapters ?? 0) > 0;
    return {
      // The last replicas of a busy model stay; so does what requests wait for.
      allowed:
        !isAwaited &&
        !engine.recentlyLoaded.has(model) &&
        (isSpare || isStandby || !isBusyModel),
      cost: this.costOfLoss(rate, isSpare, isStandby),
      wait: running > 0 ? expectedDrain(engine.loadAges.get(model)) : 0,
    };
  }

  /** What the loss of a replica costs later, in milliseconds. */
  private costOfLoss(
    rate: number,
    isSpare: boolean,
    isStandby: boolean,
  ): number {
    if (isSpare) return rate;
    if (isStandby) return STANDBY_EVICTION_COST_MILLISECONDS;
    return rate * EVICTION_COST_PER_REQUEST_RATE;
  }

  private usedMegabytes(engine: EngineSnapshot): number {
    let used = 0;
    for (const name of engine.models) {
      const configuration = this.input.pool.models.get(name);
      used +=
        (configuration?.weightsMegabytes ?? 0) +
        this.adapterMegabytesOf(engine, name);
    }
    return used;
  }

  private adapterMegabytesOf(engine: EngineSnapshot, model: string): number {
    const megabytes = this.input.pool.models.get(model)?.adapterMegabytes ?? 0;
    const count = [...engine.adapters].filter(adapter =>
      adapter.startsWith(`${model}/`),
    ).length;
    return count * megabytes;
  }

  /** Guarding replicas are only added while nobody waits. */
  private needsReplica(model: string): boolean {
    const replicas = this.replicasOf(model);
    const {minimum, required} = this.desiredRange(model);
    const minimumNow = this.hasWaitingRequests
      ? Math.min(minimum, required)
      : minimum;
    return replicas > 0 && replicas < minimumNow;
  }

  private desiredRange(model: string): ReplicaRange {
    const known = this.replicaRanges.get(model);
    if (known !== undefined) return known;
    const rate = this.input.demand.get(model)?.ratePerSecond ?? 0;
    const inFlight = this.input.engines.reduce(
      (sum, engine) => sum + (engine.inFlight.get(model) ?? 0),
      0,
    );
    const range = desiredReplicas(this.input.pool, rate, inFlight);
    this.replicaRanges.set(model, range);
    return range;
  }

  /** Whether some engine has a copy that is worth a short wait for its turn. */
  private shouldWaitForCopy({name}: ModelConfiguration): boolean {
    const waited = this.input.demand.get(name)?.waitedMilliseconds ?? 0;
    return (
      waited < IGNORE_COPY_AFTER_MILLISECONDS &&
      this.input.engines.some(engine => nearestTier(engine, name) !== 'remote')
    );
  }

  private replicasOf(model: string): number {
    return this.input.engines.filter(engine => engine.models.has(model)).length;
  }

  private isLoading(model: string): boolean {
    return (
      this.input.engines.some(engine => engine.loading === model) ||
      this.loads.some(load => load.model === model)
    );
  }
}

/** Expected wait for the runs of a model, most of which began with its load. */
function expectedDrain(loadedFor = 0): number {
  return Math.max(
    MINIMUM_DRAIN_MILLISECONDS,
    EXPECTED_DRAIN_MILLISECONDS - loadedFor,
  );
}
