import type {ModelConfiguration} from '../deployment/mod.ts';
import {canTakeQueued, queuedRequests, withOneMore} from './_queued_demand.ts';
import {maximumRemoteLoads} from './_maximum_remote_loads.ts';
import {takesRequestsOf} from './_takes_requests_of.ts';
import {effectiveWait, loadBenefit} from './load_benefit.ts';
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
 * Cost of evicting a standby replica (one kept only in case an engine crashes),
 * in milliseconds. Higher than the cost of evicting an idle, rarely used model
 * and lower than that of a load from the weight store.
 */
const STANDBY_EVICTION_COST_MILLISECONDS = 3000;

/**
 * Time a request waits before its model is loaded from the weight store even
 * though an engine that is busy or full has a copy on disk. About half the time
 * of a load from the store, so that waiting for the copy never takes much
 * longer than loading from the store at once.
 */
const IGNORE_COPY_AFTER_MILLISECONDS = 3000;

/**
 * Expected time for the running requests of a model to finish before it can be
 * evicted. Nine of ten requests to rarely used models finish within 2.9 s of
 * the model's load.
 */
const EXPECTED_DRAIN_MILLISECONDS = 2500;

/** Lower bound of that time, however long ago the model was loaded. */
const MINIMUM_DRAIN_MILLISECONDS = 300;

/**
 * Time a request waits before a model in use may be evicted for it. Until then,
 * an idle model may become available for eviction on another engine.
 */
const EVICT_IN_USE_AFTER_MILLISECONDS = 2000;

/**
 * Cost of evicting a required replica that no request waits for, in
 * milliseconds per request a second: the longest load that the eviction may
 * cause later takes 20 s.
 */
const EVICTION_COST_PER_REQUEST_RATE = 20_000;

/**
 * The same for a replica beyond the required and standby ones; only orders these
 * among each other.
 */
const SPARE_EVICTION_COST_PER_REQUEST_RATE = 0.01;

/**
 * Cost of evicting the only replica of a model without any known request, so that
 * spare replicas of other models go first.
 */
const MINIMUM_EVICTION_COST_MILLISECONDS = 10;

/**
 * Cost of loading a model on an engine that cannot take its requests, in milliseconds;
 * longer than any load.
 */
const LIMITED_ENGINE_COST_MILLISECONDS = 30_000;

/** State of one call of {@link planPlacement}. */
export class PlacementPlan {
  readonly loads: PlannedLoad[] = [];
  /** Duration of the load planned for each engine in this round. */
  private readonly assignedMilliseconds = new Map<string, number>();
  /** Whether requests wait for any model. */
  private readonly hasWaitingRequests: boolean;
  /** Replicas and unfinished requests of each model, over all engines. */
  private readonly replicas = new Map<string, number>();
  private readonly inFlight = new Map<string, number>();
  /** Loads of each model that are in progress or planned. */
  private readonly loading = new Map<string, number>();
  /** Cached replica ranges by model. */
  private readonly replicaRanges = new Map<string, ReplicaRange>();
  private remoteLoads: number;
  private preloads: number;

  constructor(private readonly input: PlacementInput) {
    this.hasWaitingRequests = [...input.demand.values()].some(
      ({waiting}) => waiting > 0,
    );
    const maximumRunning = this.hasWaitingRequests
      ? maximumRemoteLoads(input)
      : Number.POSITIVE_INFINITY;
    this.remoteLoads = Math.min(
      input.remoteLoadsAllowed,
      maximumRunning - input.remoteLoadsRunning,
    );
    this.preloads = input.preloadsAllowed;
    for (const engine of input.engines) {
      for (const model of engine.models) {
        if (this.hasRoom(engine, model)) increase(this.replicas, model, 1);
      }
      for (const [model, requests] of engine.inFlight) {
        increase(this.inFlight, model, requests);
      }
      if (engine.loading !== undefined)
        increase(this.loading, engine.loading, 1);
    }
  }

  /** Plans loads of models for which requests wait, in order of benefit. */
  loadWaitingModels(): void {
    const waiting = [...this.input.demand]
      .filter(([model, demand]) => demand.waiting > 0 && !this.isLoading(model))
      .sort(([, left], [, right]) => loadBenefit(right) - loadBenefit(left));
    for (const [model] of waiting) {
      if (this.replicasOf(model) > 0) continue;
      this.planLoad(model, 'waiting');
    }
  }

  /**
   * Plans further replicas of models whose replicas are at capacity. With
   * `loadsReplicasTogether`, those that a model lacks are loaded at the same time, one
   * for each model in turn, so that a model that has just become busy is not limited to
   * one more engine for each load time.
   */
  addReplicas(): void {
    const short = [...this.input.demand]
      .filter(([model]) => this.needsReplica(model))
      .sort(([, left], [, right]) => right.ratePerSecond - left.ratePerSecond)
      .map(([model]) => model);
    let remaining = short.filter(model => this.planLoad(model, 'replica'));
    if (this.input.loadsReplicasTogether !== true) return;
    while (remaining.length > 0) {
      remaining = remaining.filter(
        model => this.needsReplica(model) && this.planLoad(model, 'replica'),
      );
    }
  }

  /** Plans loads of models of which no engine has a copy. */
  preload(): void {
    for (const model of this.input.pool.models.keys()) {
      if (this.preloads <= 0 || this.remoteLoads <= 0) return;
      if (this.isLoading(model) || this.hasCopy(model)) continue;
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
    // If the cheapest engine is busy, waiting for it still takes less time than
    // loading on another engine, so nothing is planned in this round.
    const [best] = options;
    if (best === undefined || best.isBusy) return false;
    if (best.load.tier === 'remote') this.remoteLoads--;
    this.assignedMilliseconds.set(
      best.load.engineId,
      best.load.expectedMilliseconds,
    );
    this.loads.push(best.load);
    increase(this.loading, model, 1);
    for (const evicted of best.load.evictions) {
      increase(this.replicas, evicted, -1);
    }
    return true;
  }

  private evaluateEngine(
    engine: EngineSnapshot,
    model: ModelConfiguration,
    reason: PlannedLoad['reason'],
  ) {
    if (engine.models.has(model.name)) return undefined;
    const isFurther = reason === 'replica';
    if (isFurther && !canTakeQueued(this.input, engine, model.name))
      return undefined;
    const busyMilliseconds =
      engine.busyMilliseconds + (this.assignedMilliseconds.get(engine.id) ?? 0);
    const isBusy = busyMilliseconds > 0;
    if (isBusy && reason !== 'waiting') return undefined;
    const tier = nearestTier(engine, model.name);
    if (tier === 'remote' && this.remoteLoads <= 0) return undefined;
    // A load from the weight store blocks the engine for seconds, so a further
    // replica is not loaded from there while requests wait for other models.
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
      busyMilliseconds + evictions.wait + loadMilliseconds;
    const copies = engine.onDisk.size + engine.inMemory.size;
    return {
      isBusy,
      // At equal cost, prefers the engine with the fewest local copies, which
      // spreads copies over the engines.
      cost:
        expectedMilliseconds +
        evictions.cost +
        copies +
        (takesRequestsOf(this.input, engine, model.name)
          ? 0
          : LIMITED_ENGINE_COST_MILLISECONDS),
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

  /** Models to evict to make room for `model`; undefined if it cannot fit. */
  private evictionsFor(
    engine: EngineSnapshot,
    model: ModelConfiguration,
    reason: PlannedLoad['reason'],
  ): {models: string[]; cost: number; wait: number} | undefined {
    let free = this.input.pool.weightsMegabytes - this.usedMegabytes(engine);
    const result = {models: [] as string[], cost: 0, wait: 0};
    const waited = this.waitOf(model.name);
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
    const {waiting = 0, waitingForAdapters = 0, returning = 0} = demand ?? {};
    const isAwaited = waiting + waitingForAdapters + returning > 0;
    return {
      // Models that requests wait for or return for, models loaded a moment ago,
      // and required replicas of busy models are never evicted.
      allowed:
        !isAwaited &&
        !engine.recentlyLoaded.has(model) &&
        (isSpare || isStandby || !isBusyModel),
      cost: this.costOfLoss(rate, isSpare, isStandby),
      wait: running > 0 ? expectedDrain(engine.loadAges.get(model)) : 0,
    };
  }

  /** Expected later cost of losing a replica, in milliseconds. */
  private costOfLoss(
    rate: number,
    isSpare: boolean,
    isStandby: boolean,
  ): number {
    if (isSpare) return rate * SPARE_EVICTION_COST_PER_REQUEST_RATE;
    if (isStandby) return STANDBY_EVICTION_COST_MILLISECONDS;
    return (
      MINIMUM_EVICTION_COST_MILLISECONDS + rate * EVICTION_COST_PER_REQUEST_RATE
    );
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

  /**
   * Whether an engine has room for the requests for one of its models. Callers wait or
   * are refused only if none of its engines has, so one with a limit has not.
   */
  private hasRoom({requestsPerSecond}: EngineSnapshot, model: string): boolean {
    const waiting = this.input.demand.get(model)?.waiting ?? 0;
    return requestsPerSecond === undefined || waiting === 0;
  }

  /** Standby replicas are added only while no request waits. */
  private needsReplica(model: string): boolean {
    if (this.isLoading(model) && this.input.loadsReplicasTogether !== true)
      return false;
    const loading = this.loading.get(model) ?? 0;
    const replicas = this.replicasOf(model) + loading;
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
    const inFlight = this.inFlight.get(model) ?? 0;
    const queued = queuedRequests(this.input, model);
    const range = desiredReplicas(this.input.pool, rate, inFlight, queued);
    const wanted =
      queued === 0 ? range : withOneMore(range, this.replicasOf(model));
    this.replicaRanges.set(model, wanted);
    return wanted;
  }

  /** Whether to wait until another engine that has a local copy becomes available. */
  private shouldWaitForCopy({name}: ModelConfiguration): boolean {
    const waited = this.waitOf(name);
    const others = this.input.engines.filter(({models}) => !models.has(name));
    return (
      waited < IGNORE_COPY_AFTER_MILLISECONDS &&
      others.some(engine => nearestTier(engine, name) !== 'remote')
    );
  }

  private hasCopy(model: string): boolean {
    return this.input.engines.some(
      engine => nearestTier(engine, model) !== 'remote',
    );
  }

  /** Milliseconds for which requests for a model count as waiting. */
  private waitOf(model: string): number {
    const demand = this.input.demand.get(model);
    return demand === undefined ? 0 : effectiveWait(demand);
  }

  private replicasOf(model: string): number {
    return this.replicas.get(model) ?? 0;
  }

  private isLoading(model: string): boolean {
    return this.loading.has(model);
  }
}

function increase(
  counts: Map<string, number>,
  key: string,
  amount: number,
): void {
  counts.set(key, (counts.get(key) ?? 0) + amount);
}

/**
 * Expected time until the running requests of a model have finished, given that
 * most of them started when it was loaded.
 */
function expectedDrain(loadedFor = 0): number {
  return Math.max(
    MINIMUM_DRAIN_MILLISECONDS,
    EXPECTED_DRAIN_MILLISECONDS - loadedFor,
  );
}
