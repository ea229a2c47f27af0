import type {
  EngineView,
  PlacementPolicy,
  PlacementStep,
  PoolView,
  ReplicaView,
  TargetView,
} from '../src/placement/mod.ts';

/**
 * Naive placement: requests in the order of arrival, the first engine with
 * space, eviction of the least recently used replica, a fixed idle time-out,
 * and no regard for the weight store's limits or checkpoint caches.
 */
export class NaivePolicy implements PlacementPolicy {
  /** @param idleMilliseconds Time-out after which a replica is unloaded. */
  constructor(private readonly idleMilliseconds: number) {}

  plan(view: PoolView): readonly PlacementStep[] {
    const steps: PlacementStep[] = [];
    const taken = new Map<string, number>();
    const drained = new Set<ReplicaView>();
    const wanted = [...view.targets.values()]
      .filter(target => isWanted(target, view))
      .sort((first, second) => first.waitingSince - second.waitingSince);
    for (const target of wanted) {
      this.place(target, view, taken, drained, steps);
    }
    for (const engine of view.engines) {
      for (const replica of engine.replicas) {
        if (replica.kind === 'adapter' || drained.has(replica)) continue;
        if (replica.state !== 'loaded' || isBusy(replica, engine, view)) {
          continue;
        }
        if (view.now - lastUse(replica, engine, view) < this.idleMilliseconds) {
          continue;
        }
        drain(replica, engine, 'idle time-out', drained, steps);
      }
    }
    return steps;
  }

  private place(
    target: TargetView,
    view: PoolView,
    taken: Map<string, number>,
    drained: Set<ReplicaView>,
    steps: PlacementStep[],
  ): void {
    const engines = view.engines.filter(engine => {
      return engine.usable && hostsBase(engine, target);
    });
    const needed = target.memoryMegabytes;
    const fit = engines.find(engine => {
      const used = engine.usedMegabytes + (taken.get(engine.name) ?? 0);
      return used + needed <= engine.capacityMegabytes;
    });
    if (fit !== undefined) {
      taken.set(fit.name, (taken.get(fit.name) ?? 0) + needed);
      steps.push({
        kind: 'load',
        target: target.name,
        endpoint: fit.name,
        reason: 'first engine with space',
        expectedMilliseconds: target.loadMilliseconds.remote,
        remote: false,
        teams: [],
        candidates: [],
      });
      return;
    }
    for (const engine of engines) {
      if (this.evictOn(engine, target, view, taken, drained, steps)) return;
    }
  }

  /** Makes room on an engine; false when idle replicas do not suffice. */
  private evictOn(
    engine: EngineView,
    target: TargetView,
    view: PoolView,
    taken: Map<string, number>,
    drained: Set<ReplicaView>,
    steps: PlacementStep[],
  ): boolean {
    const used = engine.usedMegabytes + (taken.get(engine.name) ?? 0);
    let missing = used + target.memoryMegabytes - engine.capacityMegabytes;
    for (const replica of engine.replicas) {
      const leaves =
        replica.state === 'draining' ||
        replica.state === 'unloading' ||
        drained.has(replica);
      if (leaves) missing -= replica.memoryMegabytes;
    }
    const idle = engine.replicas
      .filter(replica => {
        return (
          replica.kind === 'model' &&
          replica.state === 'loaded' &&
          replica.target !== target.baseModel &&
          !drained.has(replica) &&
          !isBusy(replica, engine, view)
        );
      })
      .sort((first, second) => {
        return lastUse(first, engine, view) - lastUse(second, engine, view);
      });
    const chosen: ReplicaView[] = [];
    for (const replica of idle) {
      if (missing <= 0) break;
      chosen.push(replica);
      for (const each of withAdapters(replica, engine)) {
        missing -= each.memoryMegabytes;
      }
    }
    if (missing > 0) return false;
    for (const replica of chosen) {
      drain(replica, engine, 'least recently used', drained, steps);
    }
    const reserved = taken.get(engine.name) ?? 0;
    taken.set(engine.name, reserved + target.memoryMegabytes);
    return true;
  }
}

function isWanted(target: TargetView, view: PoolView): boolean {
  if (target.waiting === 0) return false;
  const count = view.engines.reduce((sum, engine) => {
    return (
      sum +
      engine.replicas.filter(replica => replica.target === target.name).length
    );
  }, 0);
  return count === 0 && count < target.replicaLimit;
}

function hostsBase(engine: EngineView, target: TargetView): boolean {
  if (target.baseModel === null) return true;
  return engine.replicas.some(replica => {
    return replica.target === target.baseModel && replica.state === 'loaded';
  });
}

function withAdapters(
  replica: ReplicaView,
  engine: EngineView,
): readonly ReplicaView[] {
  const adapters = engine.replicas.filter(({baseModel}) => {
    return baseModel === replica.target;
  });
  return [replica, ...adapters];
}

function isBusy(
  replica: ReplicaView,
  engine: EngineView,
  view: PoolView,
): boolean {
  return withAdapters(replica, engine).some(({target, state}) => {
    const known = view.targets.get(target);
    if (state === 'loading' || state === 'unresolved') return true;
    return known !== undefined && (known.waiting > 0 || known.inFlight > 0);
  });
}

function lastUse(
  replica: ReplicaView,
  engine: EngineView,
  view: PoolView,
): number {
  const times = withAdapters(replica, engine).map(({target, since}) => {
    return Math.max(since, view.targets.get(target)?.lastUsedAt ?? since);
  });
  return Math.max(...times);
}

function drain(
  replica: ReplicaView,
  engine: EngineView,
  reason: string,
  drained: Set<ReplicaView>,
  steps: PlacementStep[],
): void {
  for (const each of withAdapters(replica, engine)) {
    if (each.state !== 'loaded' || drained.has(each)) continue;
    drained.add(each);
    const {target, endpoint} = each;
    steps.push({kind: 'drain', target, endpoint, reason, inputs: {}});
  }
}
