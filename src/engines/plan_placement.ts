import type {EnginePoolTerms, ModelTerms} from '../deployment/mod.ts';

/** Where the weights of a load come from. */
export type LoadTier = 'memory' | 'disk' | 'remote';

/** What the manager knows of one engine. */
export interface PlannedEngine {
  readonly id: string;
  /** Models in the accelerator. */
  readonly models: ReadonlySet<string>;
  /** Adapters in the accelerator, with their models' names before a slash. */
  readonly adapters: ReadonlySet<string>;
  /** Model that is on its way to the accelerator. */
  readonly loading: string | undefined;
  /** Time until the engine can take another order; 0 when it can now. */
  readonly busyMilliseconds: number;
  readonly inMemory: ReadonlySet<string>;
  readonly onDisk: ReadonlySet<string>;
  /** Unfinished requests by model, adapters included. */
  readonly inFlight: ReadonlyMap<string, number>;
  /** Models that were loaded so lately that their requests may not be counted yet. */
  readonly fresh: ReadonlySet<string>;
  /** Time since the models' loads, in milliseconds; only of loads by this manager. */
  readonly loadedFor: ReadonlyMap<string, number>;
}

/** Demand for one model, its adapters included, over all hosts. */
export interface ModelDemand {
  /** Requests that wait because no engine holds the model. */
  readonly waiting: number;
  /** Of these, requests that a load from disk still serves within their objective. */
  readonly timely: number;
  /** Requests that wait for an adapter of the model. */
  readonly waitingForAdapters: number;
  /** Rank of the most urgent waiting request; 0 first. */
  readonly priority: number;
  readonly waitedMilliseconds: number;
  /** Requests a second, over some seconds. */
  readonly ratePerSecond: number;
}

/** Input of {@link planPlacement}. */
export interface PlacementInput {
  readonly terms: EnginePoolTerms;
  readonly engines: readonly PlannedEngine[];
  /** Demand by model; models without any are left out. */
  readonly demand: ReadonlyMap<string, ModelDemand>;
  /** Loads from the weight store that may start now. */
  readonly remoteLoadsAllowed: number;
  /** Loads from the weight store that are under way. */
  readonly remoteLoadsRunning: number;
  /** Of these, loads that nobody waits for. */
  readonly preloadsAllowed: number;
}

/** A model to load on an engine, and what has to leave before. */
export interface PlannedLoad {
  readonly engineId: string;
  readonly model: string;
  readonly tier: LoadTier;
  readonly evictions: readonly string[];
  readonly reason: 'waiting' | 'replica' | 'preload';
  readonly expectedMilliseconds: number;
}

/** Rate from which the last replicas of a model are not evicted for others. */
const BUSY_RATE_PER_SECOND = 0.5;

/**
 * Rate from which a model has two replicas whatever its load: a crash of the
 * only engine makes the requests of about a second late.
 */
const REPLICATED_RATE_PER_SECOND = 3;

/**
 * Cost of evicting a replica that only guards against a crash, in milliseconds:
 * an idle rare model goes first, a load from the weight store is worse.
 */
const GUARDING_REPLICA_MILLISECONDS = 3000;

/** Part of a further replica's load below which it may go; avoids swings. */
const REPLICA_HYSTERESIS = 0.25;

/**
 * Share of an engine's slots that one model's requests may take before another
 * replica is wanted. Prompts are read between the tokens of running requests,
 * so first tokens are late long before the slots are full.
 */
const REPLICA_OCCUPANCY = 0.35;

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
const REMOTE_DESPITE_COPY_MILLISECONDS = 3000;

/**
 * Expected wait for the runs of a model that is evicted while in use. Nine of
 * ten measured runs of rare models took less than 2.9 s from their load.
 */
const RUNNING_EVICTION_MILLISECONDS = 2500;

/** The least of such a wait, however long ago the model was loaded. */
const LEAST_RUNNING_EVICTION_MILLISECONDS = 300;

/**
 * Wait of a request that justifies an eviction of a model in use: until then
 * an idle model elsewhere may make room at once.
 */
const RUNNING_EVICTION_AFTER_MILLISECONDS = 2000;

/** Longest load that a replica nobody waits for may cost. */
const LOAD_PENALTY_PER_REQUEST_RATE = 20_000;

/** Time over which the arrivals for a waiting model count as served by its load. */
const GAIN_SECONDS = 2;

/** Wait by which the requests for a model weigh twice as much, so that none starves. */
const AGEING_MILLISECONDS = 2000;

/**
 * Weight of a request that will be late whatever is loaded, against one that
 * can still be punctual. With more demand than turns of engines, an order by
 * age alone makes every request late.
 */
const LATE_WEIGHT = 0.5;

/** Weight of one rank of priority against the number of requests. */
const PRIORITY_BASE = 1.3;

/**
 * What a load of a model gains: the requests that it serves soon, more urgent
 * and older ones weighing more. Many requests for a model that has just become
 * busy go before single ones for rare models, whose weight grows as they wait.
 */
export function gain(demand: ModelDemand): number {
  const late = (demand.waiting - demand.timely) * LATE_WEIGHT;
  const arriving = demand.ratePerSecond * GAIN_SECONDS;
  const served = demand.timely + late + arriving;
  const ageing = 1 + demand.waitedMilliseconds / AGEING_MILLISECONDS;
  return (served * ageing) / PRIORITY_BASE ** demand.priority;
}

/** Replicas of a model below which some are added, and above which some may go. */
export interface ReplicaRange {
  readonly fewest: number;
  readonly most: number;
  /** Replicas that the runs need; those beyond guard against a crash. */
  readonly needed: number;
}

/** Replicas that the demand for a model calls for; the range avoids swings. */
export function wantedReplicas(
  terms: EnginePoolTerms,
  ratePerSecond: number,
  inFlight: number,
): ReplicaRange {
  if (ratePerSecond < BUSY_RATE_PER_SECOND)
    return {fewest: 1, most: 1, needed: 1};
  const load = inFlight / Math.max(1, terms.slots * REPLICA_OCCUPANCY);
  const least = ratePerSecond < REPLICATED_RATE_PER_SECOND ? 1 : 2;
  const needed = 1 + Math.floor(load + REPLICA_HYSTERESIS);
  return {
    fewest: Math.max(least, 1 + Math.floor(load)),
    most: Math.max(least, needed),
    needed,
  };
}

/**
 * Decides which models to load where. Answers the pattern in which many rare
 * models are asked for at once beside a few busy ones: waiting requests share
 * one load, the engine with the nearest copy is taken, busy models keep their
 * replicas, and models that no engine has a copy of are fetched ahead while
 * the weight store is idle.
 *
 * @returns At most one load for each engine that is free.
 */
export function planPlacement(input: PlacementInput): readonly PlannedLoad[] {
  const plan = new PlacementPlan(input);
  plan.serveWaiting();
  plan.addReplicas();
  plan.preload();
  return plan.loads;
}

class PlacementPlan {
  readonly loads: PlannedLoad[] = [];
  private readonly taken = new Set<string>();
  private remoteLoads: number;
  private preloads: number;

  constructor(private readonly input: PlacementInput) {
    const mostRunning = this.hasWaiting()
      ? Math.max(1, Math.floor(input.engines.length * REMOTE_SHARE))
      : Number.POSITIVE_INFINITY;
    this.remoteLoads = Math.min(
      input.remoteLoadsAllowed,
      mostRunning - input.remoteLoadsRunning,
    );
    this.preloads = input.preloadsAllowed;
  }

  /** Loads models for which requests wait, those with the most to gain first. */
  serveWaiting(): void {
    const waiting = [...this.input.demand]
      .filter(([model, demand]) => demand.waiting > 0 && !this.isComing(model))
      .sort(([, left], [, right]) => gain(right) - gain(left));
    for (const [model] of waiting) {
      if (this.replicasOf(model) > 0) continue;
      this.add(model, 'waiting');
    }
  }

  /** Adds replicas of models whose requests fill those that there are. */
  addReplicas(): void {
    const isWaiting = this.hasWaiting();
    const short = [...this.input.demand]
      .filter(
        ([model]) =>
          !this.isComing(model) &&
          this.replicasOf(model) > 0 &&
          this.replicasOf(model) < this.wanted(model).fewest &&
          (!isWaiting || this.replicasOf(model) < this.wanted(model).needed),
      )
      .sort(([, left], [, right]) => right.ratePerSecond - left.ratePerSecond);
    for (const [model] of short) this.add(model, 'replica');
  }

  /** Fetches models that no engine has a copy of. */
  preload(): void {
    const missing = [...this.input.terms.models.keys()].filter(
      model =>
        !this.isComing(model) &&
        this.input.engines.every(engine => tierOn(engine, model) === 'remote'),
    );
    for (const model of missing) {
      if (this.preloads <= 0 || this.remoteLoads <= 0) return;
      if (this.add(model, 'preload')) this.preloads--;
    }
  }

  private add(model: string, reason: PlannedLoad['reason']): boolean {
    const terms = this.input.terms.models.get(model);
    if (terms === undefined) return false;
    const options = this.input.engines
      .map(engine => this.optionOn(engine, terms, reason))
      .filter(option => option !== undefined)
      .sort((left, right) => left.cost - right.cost);
    // The best engine may be busy for a moment; waiting for it beats a long
    // load elsewhere, so nothing is started now.
    const [best] = options;
    if (best === undefined || best.isBusy) return false;
    if (best.load.tier === 'remote') this.remoteLoads--;
    this.taken.add(best.load.engineId);
    this.loads.push(best.load);
    return true;
  }

  private optionOn(
    engine: PlannedEngine,
    model: ModelTerms,
    reason: PlannedLoad['reason'],
  ) {
    if (engine.models.has(model.name)) return undefined;
    const isBusy = engine.busyMilliseconds > 0 || this.taken.has(engine.id);
    if (isBusy && reason !== 'waiting') return undefined;
    const tier = tierOn(engine, model.name);
    if (tier === 'remote' && this.remoteLoads <= 0) return undefined;
    // A remote load takes the engine's turn for seconds, which requests that
    // wait for other models need more.
    if (tier === 'remote' && reason === 'replica' && this.hasWaiting()) {
      return undefined;
    }
    if (tier === 'remote' && reason === 'waiting' && this.hasCopy(model)) {
      return undefined;
    }
    const evictions = this.evictionsFor(engine, model, reason);
    if (evictions === undefined) return undefined;
    const loadMilliseconds = loadTime(model, tier);
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
    engine: PlannedEngine,
    model: ModelTerms,
    reason: PlannedLoad['reason'],
  ): {models: string[]; cost: number; wait: number} | undefined {
    let free = this.input.terms.weightsMegabytes - this.usedMegabytes(engine);
    const result = {models: [] as string[], cost: 0, wait: 0};
    const waited = this.input.demand.get(model.name)?.waitedMilliseconds ?? 0;
    const mayWait =
      reason === 'waiting' && waited >= RUNNING_EVICTION_AFTER_MILLISECONDS;
    const victims = [...engine.models]
      .map(name => ({name, ...this.evictionCost(engine, name)}))
      .filter(victim => victim.allowed)
      .filter(victim => mayWait || victim.wait === 0)
      .sort((left, right) => left.cost + left.wait - right.cost - right.wait);
    for (const victim of victims) {
      if (free >= model.weightsMegabytes) break;
      const terms = this.input.terms.models.get(victim.name);
      free +=
        (terms?.weightsMegabytes ?? 0) + this.adaptersOf(engine, victim.name);
      result.models.push(victim.name);
      result.cost += victim.cost;
      result.wait = Math.max(result.wait, victim.wait);
    }
    return free >= model.weightsMegabytes ? result : undefined;
  }

  private evictionCost(engine: PlannedEngine, model: string) {
    const demand = this.input.demand.get(model);
    const rate = demand?.ratePerSecond ?? 0;
    const replicas = this.replicasOf(model);
    const {most, needed} = this.wanted(model);
    const isSpare = replicas > most;
    const isGuarding = !isSpare && replicas > needed;
    const isBusyModel = rate >= BUSY_RATE_PER_SECOND;
    const running = engine.inFlight.get(model) ?? 0;
    const isAwaited =
      (demand?.waiting ?? 0) + (demand?.waitingForAdapters ?? 0) > 0;
    return {
      // The last replicas of a busy model stay; so does what requests wait for.
      allowed:
        !isAwaited &&
        !engine.fresh.has(model) &&
        (isSpare || isGuarding || !isBusyModel),
      cost: this.keepingCost(rate, isSpare, isGuarding),
      wait: running > 0 ? runningEviction(engine.loadedFor.get(model)) : 0,
    };
  }

  /** What the loss of a replica costs later, in milliseconds. */
  private keepingCost(
    rate: number,
    isSpare: boolean,
    isGuarding: boolean,
  ): number {
    if (isSpare) return rate;
    if (isGuarding) return GUARDING_REPLICA_MILLISECONDS;
    return rate * LOAD_PENALTY_PER_REQUEST_RATE;
  }

  private usedMegabytes(engine: PlannedEngine): number {
    let used = 0;
    for (const name of engine.models) {
      const terms = this.input.terms.models.get(name);
      used += (terms?.weightsMegabytes ?? 0) + this.adaptersOf(engine, name);
    }
    return used;
  }

  private adaptersOf(engine: PlannedEngine, model: string): number {
    const megabytes = this.input.terms.models.get(model)?.adapterMegabytes ?? 0;
    const count = [...engine.adapters].filter(adapter =>
      adapter.startsWith(`${model}/`),
    ).length;
    return count * megabytes;
  }

  private hasWaiting(): boolean {
    return [...this.input.demand.values()].some(({waiting}) => waiting > 0);
  }

  private wanted(model: string): ReplicaRange {
    const rate = this.input.demand.get(model)?.ratePerSecond ?? 0;
    const inFlight = this.input.engines.reduce(
      (sum, engine) => sum + (engine.inFlight.get(model) ?? 0),
      0,
    );
    return wantedReplicas(this.input.terms, rate, inFlight);
  }

  /** Whether some engine has a copy that is worth a short wait for its turn. */
  private hasCopy({name}: ModelTerms): boolean {
    const waited = this.input.demand.get(name)?.waitedMilliseconds ?? 0;
    return (
      waited < REMOTE_DESPITE_COPY_MILLISECONDS &&
      this.input.engines.some(engine => tierOn(engine, name) !== 'remote')
    );
  }

  private replicasOf(model: string): number {
    return this.input.engines.filter(engine => engine.models.has(model)).length;
  }

  private isComing(model: string): boolean {
    return (
      this.input.engines.some(engine => engine.loading === model) ||
      this.loads.some(load => load.model === model)
    );
  }
}

/** Expected wait for the runs of a model, most of which began with its load. */
function runningEviction(loadedFor = 0): number {
  return Math.max(
    LEAST_RUNNING_EVICTION_MILLISECONDS,
    RUNNING_EVICTION_MILLISECONDS - loadedFor,
  );
}

/** The nearest copy of a model's weights for an engine. */
export function tierOn(
  engine: Pick<PlannedEngine, 'models' | 'inMemory' | 'onDisk'>,
  model: string,
): LoadTier {
  if (engine.models.has(model) || engine.inMemory.has(model)) return 'memory';
  return engine.onDisk.has(model) ? 'disk' : 'remote';
}

/** Expected time of a load, in milliseconds. */
export function loadTime(model: ModelTerms, tier: LoadTier): number {
  switch (tier) {
    case 'memory':
      return model.memoryLoadMilliseconds;
    case 'disk':
      return model.diskLoadMilliseconds;
    case 'remote':
      return model.remoteLoadMilliseconds;
  }
}
