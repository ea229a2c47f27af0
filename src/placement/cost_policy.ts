import {
  adaptersOn,
  chooseEviction,
  reloadCost,
  replicaKey,
} from './_eviction.ts';
import {estimateOn, StoreForecast} from './_load_estimates.ts';
import type {
  PlacementEstimate,
  PlacementPolicy,
  PlacementStep,
} from './placement_policy.ts';
import type {
  EngineView,
  PoolView,
  ReplicaView,
  TargetView,
} from './pool_view.ts';

/** Options of {@link CostPolicy}. */
export interface CostPolicyOptions {
  /**
   * Milliseconds of one idle accelerator that are worth as much as one
   * millisecond of cold start. @default 100
   */
  reloadWeight?: number;
  /**
   * Requests in flight per replica above which another replica is loaded.
   * @default 32
   */
  replicaConcurrency?: number;
  /**
   * Milliseconds that requests for a target must have waited before its load
   * may evict replicas that are in use. @default 1000
   */
  busyEvictionDelayMilliseconds?: number;
}

/**
 * Horizons, in milliseconds, over which the cost of keeping an idle replica is
 * compared with the cost of reloading it.
 */
const HORIZONS = [
  1000, 3000, 10_000, 30_000, 60_000, 120_000, 300_000, 900_000, 3_600_000,
];

/** How long before the planned start of a load its evictions begin. */
const EVICTION_LEAD_MILLISECONDS = 300;

/** Minimum time without use before a replica may be unloaded as idle. */
const MINIMUM_IDLE_MILLISECONDS = 1000;

/** State that accumulates while one plan is built. */
interface PlanState {
  readonly store: StoreForecast;
  /** Megabytes that the plan's loads take, by engine. */
  readonly reserved: Map<string, number>;
  /** Keys of the replicas that the plan drains. */
  readonly drained: Set<string>;
  readonly steps: PlacementStep[];
  /** Expected milliseconds until a planned or deferred target is ready. */
  readonly readyIn: Map<string, number>;
  adapterLoads: number;
}

/**
 * Places each target where its expected time to first token is lowest, starts
 * loads in order of deadline and fairness between teams, and unloads replicas
 * whose idle memory is expected to cost more than a reload.
 */
export class CostPolicy implements PlacementPolicy {
  constructor(private readonly options: CostPolicyOptions = {}) {}

  plan(view: PoolView): readonly PlacementStep[] {
    const planned: PlanState = {
      store: new StoreForecast(view),
      reserved: new Map(),
      drained: new Set(),
      steps: [],
      readyIn: new Map(),
      adapterLoads: view.store.adapterInFlight,
    };
    this.drainSurplus(view, planned);
    for (const target of this.targetsToLoad(view)) {
      this.placeTarget(target, view, planned);
    }
    this.drainIdle(view, planned);
    return planned.steps;
  }

  /** Targets that need a load, most urgent first. */
  private targetsToLoad(view: PoolView): readonly TargetView[] {
    const wanted = [...view.targets.values()].filter(target => {
      return this.needsLoad(target, view);
    });
    const keys = new Map(wanted.map(target => [target, urgency(target, view)]));
    return wanted.sort((first, second) => {
      // Base models come first because adapters can only be loaded beside them.
      if (first.kind !== second.kind) return first.kind === 'model' ? -1 : 1;
      const difference = keys.get(first)! - keys.get(second)!;
      if (difference !== 0) return difference;
      if (first.waitingSince !== second.waitingSince) {
        return first.waitingSince - second.waitingSince;
      }
      return first.name < second.name ? -1 : 1;
    });
  }

  private needsLoad(target: TargetView, view: PoolView): boolean {
    const replicas = replicasOf(target, view);
    if (replicas.length >= target.replicaLimit) return false;
    if (replicas.some(({state}) => isLoadPending(state))) return false;
    const loaded = replicas.filter(replica => {
      return replica.state === 'loaded' && isUsable(replica.endpoint, view);
    });
    if (loaded.length === 0) return target.waiting > 0;
    const {replicaConcurrency = 32} = this.options;
    return target.inFlight > replicaConcurrency * loaded.length;
  }

  private placeTarget(
    target: TargetView,
    view: PoolView,
    planned: PlanState,
  ): void {
    const engines = view.engines.filter(engine => {
      return engine.usable && hasBaseModel(engine, target, planned);
    });
    if (target.kind === 'adapter' && engines.length === 0) {
      const readyInMilliseconds =
        (planned.readyIn.get(target.baseModel ?? '') ??
          readyInOf(target.baseModel, view) ??
          0) + target.loadMilliseconds.remote;
      defer(planned, target, 'base model is not loaded', readyInMilliseconds);
      return;
    }
    const allowed = engines.filter(engine => {
      return (target.avoidedEngines.get(engine.name) ?? 0) <= view.now;
    });
    if (allowed.length === 0) {
      const retryAt = Math.min(...target.avoidedEngines.values());
      const failed = engines.length > 0;
      const reason = failed ? 'the load failed' : 'no engine can be used';
      const wait = failed ? Math.max(0, retryAt - view.now) : 1000;
      defer(planned, target, reason, wait + target.loadMilliseconds.remote);
      return;
    }
    const options = this.estimates(target, allowed, view, planned);
    const best = options[0];
    if (best === undefined) {
      const wait =
        memoryWaitMilliseconds(view) + target.loadMilliseconds.remote;
      defer(planned, target, 'no engine has memory', wait);
      return;
    }
    this.startOrDefer(target, options, view, planned);
  }

  private startOrDefer(
    target: TargetView,
    options: readonly PlacementOption[],
    view: PoolView,
    planned: PlanState,
  ): void {
    const {estimate, evicts, waitsForMemory} = options[0]!;
    const {endpoint} = estimate;
    const remote = target.kind === 'model' && estimate.tier === 'remote';
    const candidates = options.map(option => option.estimate);
    const ready = estimate.totalMilliseconds - estimate.evictionMilliseconds;
    planned.readyIn.set(target.name, ready);
    if (remote) planned.store.start(estimate.loadMilliseconds);
    reserve(planned, endpoint, target.memoryMegabytes);
    const storeBusy = estimate.storeMilliseconds > 0;
    if (estimate.storeMilliseconds <= EVICTION_LEAD_MILLISECONDS) {
      for (const replica of evicts) {
        drain(planned, replica, `makes room for ${target.name}`, {
          evictionMilliseconds: estimate.evictionMilliseconds,
        });
      }
    }
    const adapterLimit = view.pool.adapterConcurrentLoads;
    if (target.kind === 'adapter' && planned.adapterLoads >= adapterLimit) {
      defer(planned, target, 'adapter loading is busy', ready, candidates);
    } else if (storeBusy) {
      defer(planned, target, 'weight store is busy', ready, candidates);
    } else if (waitsForMemory) {
      defer(planned, target, 'memory is being freed', ready, candidates);
    } else {
      if (target.kind === 'adapter') planned.adapterLoads++;
      planned.steps.push({
        kind: 'load',
        target: target.name,
        endpoint,
        reason: target.waiting > 0 ? 'requests wait' : 'replicas are busy',
        expectedMilliseconds: estimate.loadMilliseconds,
        remote,
        teams: target.teams
          .filter(({waiting}) => waiting > 0)
          .map(({team}) => team),
        candidates,
      });
    }
  }

  private estimates(
    target: TargetView,
    engines: readonly EngineView[],
    view: PoolView,
    planned: PlanState,
  ): readonly PlacementOption[] {
    const {busyEvictionDelayMilliseconds = 1000} = this.options;
    const waited = view.now - target.waitingSince;
    const idleOnly = optionsOf(target, engines, view, planned, false);
    if (idleOnly.length > 0) return idleOnly;
    if (waited < busyEvictionDelayMilliseconds) return [];
    return optionsOf(target, engines, view, planned, true);
  }

  /** Drains outdated replicas and those above the replica limit. */
  private drainSurplus(view: PoolView, planned: PlanState): void {
    const counts = new Map<string, number>();
    for (const engine of view.engines) {
      for (const {target} of engine.replicas) {
        counts.set(target, (counts.get(target) ?? 0) + 1);
      }
    }
    for (const engine of view.engines) {
      for (const replica of engine.replicas) {
        if (replica.state !== 'loaded') continue;
        const target = view.targets.get(replica.target);
        const count = counts.get(replica.target) ?? 0;
        const reason = surplusReason(replica, target, engine, count);
        if (reason === undefined) continue;
        counts.set(replica.target, count - 1);
        drain(planned, replica, reason, {
          count,
          decided: target?.replicaLimit ?? 0,
        });
        for (const adapter of adaptersOn(engine, replica.target)) {
          if (adapter.state !== 'loaded') continue;
          drain(planned, adapter, 'its base model leaves', {});
        }
      }
    }
  }

  /** Drains replicas whose idle memory costs more than a reload. */
  private drainIdle(view: PoolView, planned: PlanState): void {
    for (const engine of view.engines) {
      if (!engine.usable) continue;
      for (const replica of engine.replicas) {
        if (replica.state !== 'loaded') continue;
        const target = view.targets.get(replica.target);
        if (target === undefined || !this.isIdle(replica, engine, view)) {
          continue;
        }
        const inputs = this.evaluateIdle(target, engine, view);
        if (inputs.keep) continue;
        drain(planned, replica, 'idle time costs more than a load', inputs);
        for (const adapter of adaptersOn(engine, replica.target)) {
          if (adapter.state !== 'loaded') continue;
          drain(planned, adapter, 'its base model leaves', {});
        }
      }
    }
  }

  private isIdle(
    replica: ReplicaView,
    engine: EngineView,
    view: PoolView,
  ): boolean {
    const group = [replica, ...adaptersOn(engine, replica.target)];
    return group.every(({target, state, since}) => {
      if (isLoadPending(state)) return false;
      const known = view.targets.get(target);
      if (known === undefined) return true;
      return (
        known.waiting === 0 &&
        known.inFlight === 0 &&
        view.now - Math.max(since, known.lastUsedAt) >=
          MINIMUM_IDLE_MILLISECONDS
      );
    });
  }

  private evaluateIdle(
    target: TargetView,
    engine: EngineView,
    view: PoolView,
  ): {keep: boolean} & Record<string, unknown> {
    const {reloadWeight = 100} = this.options;
    const idle = view.now - target.lastUsedAt;
    const share = target.memoryMegabytes / engine.capacityMegabytes;
    const tier = engine.tiers.get(target.name) ?? 'remote';
    const reload = target.loadMilliseconds[tier] * reloadWeight;
    let best = 0;
    let bestHorizon = 0;
    for (const horizon of HORIZONS) {
      const {probability, expectedMilliseconds} = target.history.predictUse(
        idle,
        horizon,
      );
      const gain = probability * reload - share * expectedMilliseconds;
      if (gain <= best) continue;
      best = gain;
      bestHorizon = horizon;
    }
    return {
      keep: best > 0,
      idleMilliseconds: idle,
      memoryShare: share,
      reloadMilliseconds: reload,
      expectedReloadMilliseconds: reloadCost(engine, target, view),
      horizonMilliseconds: bestHorizon,
    };
  }
}

/** An engine on which a target fits, with the evictions that it takes. */
interface PlacementOption {
  readonly estimate: PlacementEstimate;
  readonly evicts: readonly ReplicaView[];
  readonly waitsForMemory: boolean;
}

function optionsOf(
  target: TargetView,
  engines: readonly EngineView[],
  view: PoolView,
  planned: PlanState,
  mayEvictBusy: boolean,
): readonly PlacementOption[] {
  const options: PlacementOption[] = [];
  for (const engine of engines) {
    const eviction = chooseEviction(
      engine,
      target.memoryMegabytes,
      planned.reserved.get(engine.name) ?? 0,
      target.baseModel,
      view,
      planned.drained,
      mayEvictBusy,
    );
    if (eviction === undefined) continue;
    const {evicts, waitsForMemory} = eviction;
    const estimate = estimateOn(engine, target, view, planned.store, eviction);
    options.push({estimate, evicts, waitsForMemory});
  }
  return options.sort((first, second) => {
    return first.estimate.totalMilliseconds - second.estimate.totalMilliseconds;
  });
}

/**
 * Sort key of a load, lowest first: the deadline of a team's waiting requests
 * plus the load time that was recently charged to the team, so that teams that
 * received less go first.
 */
function urgency(target: TargetView, view: PoolView): number {
  const waiting = target.teams.filter(team => team.waiting > 0);
  if (waiting.length === 0) return target.deadlineAt;
  return Math.min(
    ...waiting.map(({team, deadlineAt}) => {
      return deadlineAt + (view.recentLoadTimeByTeam.get(team) ?? 0);
    }),
  );
}

function surplusReason(
  replica: ReplicaView,
  target: TargetView | undefined,
  engine: EngineView,
  count: number,
): string | undefined {
  if (target === undefined) return 'it is not configured';
  if (engine.reason === 'leaving') return 'the engine is leaving';
  if (replica.version !== target.version) return 'its version is replaced';
  if (count > target.replicaLimit) return 'more replicas than decided';
  return undefined;
}

function replicasOf(target: TargetView, view: PoolView): ReplicaView[] {
  return view.engines.flatMap(engine => {
    return engine.replicas.filter(replica => replica.target === target.name);
  });
}

function isLoadPending(state: ReplicaView['state']): boolean {
  return state === 'loading' || state === 'unresolved';
}

function isUsable(name: string, view: PoolView): boolean {
  return view.engines.some(engine => engine.name === name && engine.usable);
}

function hasBaseModel(
  engine: EngineView,
  target: TargetView,
  planned: PlanState,
): boolean {
  if (target.baseModel === null) return true;
  return engine.replicas.some(replica => {
    return (
      replica.target === target.baseModel &&
      replica.state === 'loaded' &&
      !planned.drained.has(replicaKey(replica))
    );
  });
}

function readyInOf(target: string | null, view: PoolView): number | undefined {
  const remaining = view.engines
    .flatMap(engine => engine.replicas)
    .filter(
      replica => replica.target === target && isLoadPending(replica.state),
    )
    .map(replica => replica.readyInMilliseconds);
  return remaining.length === 0 ? undefined : Math.min(...remaining);
}

function memoryWaitMilliseconds(view: PoolView): number {
  const ends = view.store.endsInMilliseconds;
  return ends.length === 0 ? 1000 : Math.min(...ends);
}

function reserve(
  planned: PlanState,
  endpoint: string,
  megabytes: number,
): void {
  const reserved = planned.reserved.get(endpoint) ?? 0;
  planned.reserved.set(endpoint, reserved + megabytes);
}

function drain(
  planned: PlanState,
  replica: ReplicaView,
  reason: string,
  inputs: Readonly<Record<string, unknown>>,
): void {
  const key = replicaKey(replica);
  if (planned.drained.has(key)) return;
  planned.drained.add(key);
  const {target, endpoint} = replica;
  planned.steps.push({kind: 'drain', target, endpoint, reason, inputs});
}

function defer(
  planned: PlanState,
  target: TargetView,
  reason: string,
  readyInMilliseconds: number,
  candidates: readonly PlacementEstimate[] = [],
): void {
  planned.readyIn.set(target.name, readyInMilliseconds);
  planned.steps.push({
    kind: 'defer',
    target: target.name,
    reason,
    readyInMilliseconds,
    candidates,
  });
}
