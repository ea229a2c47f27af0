import type {Authority, Pool} from '../contracts/mod.ts';
import type {DemandTable} from './_demand_table.ts';
import type {EnginePoller} from './_engine_poller.ts';
import type {UsageTracker} from './_usage_tracker.ts';
import {replicaLimit} from './replica_limit.ts';
import type {
  EngineView,
  PoolView,
  StoreView,
  TargetView,
  TeamDemand,
} from './pool_view.ts';

/** What a view is built from. */
export interface PoolViewInputs {
  readonly now: number;
  readonly date: Date;
  readonly authority: Authority;
  readonly pool: Pool;
  readonly pollers: readonly EnginePoller[];
  /** Monotonic time since which this holder observes use. */
  readonly startedAt: number;
  readonly unusableReason: (poller: EnginePoller) => string | undefined;
  readonly demand: DemandTable;
  /** Targets whose waiting requests were refused, with the time until which
   * a load is still worthwhile for the callers' next tries. */
  readonly refusedUntil: ReadonlyMap<string, number>;
  readonly usage: UsageTracker;
  readonly storeSpeed: number;
  readonly nextStoreStartAt: number;
}

/** Builds the policy's view of one pool. */
export function buildView(sources: PoolViewInputs): PoolView {
  const engines = sources.pollers.map(poller => engineView(sources, poller));
  return {
    now: sources.now,
    pool: sources.pool,
    engines,
    targets: targetViews(sources),
    store: storeView(sources, engines),
    recentLoadTimeByTeam: sources.usage.recentLoadTimeByTeam(),
  };
}

function engineView(sources: PoolViewInputs, poller: EnginePoller): EngineView {
  const {authority, now} = sources;
  const {listing} = poller.ledger;
  const reason = sources.unusableReason(poller);
  const capacities = [
    authority.endpoints.get(poller.name)?.memoryMegabytes ?? 0,
  ];
  if (listing !== undefined) capacities.push(listing.memoryMegabytes);
  const replicas = poller.ledger.replicas(now).map(replica => ({
    ...replica,
    baseModel:
      replica.baseModel ??
      authority.adapters.get(replica.target)?.baseModel ??
      null,
  }));
  return {
    name: poller.name,
    capacityMegabytes: Math.min(...capacities.filter(value => value > 0)),
    usedMegabytes: poller.ledger.usedMegabytes(now),
    usable: reason === undefined,
    reason,
    replicas,
    tiers: new Map(
      (listing?.checkpoints ?? [])
        .filter(({name, version}) => isCurrent(authority, name, version))
        .map(({name, tier}) => [name, tier]),
    ),
    running: listing?.load.running ?? 0,
    queued: listing?.load.queued ?? 0,
  };
}

function isCurrent(
  authority: Authority,
  name: string,
  version: string,
): boolean {
  const entity = authority.models.get(name) ?? authority.adapters.get(name);
  return entity?.version === version;
}

function targetViews(sources: PoolViewInputs): ReadonlyMap<string, TargetView> {
  const {authority, pool} = sources;
  const targets = new Map<string, TargetView>();
  for (const adapter of authority.adapters.values()) {
    const base = authority.models.get(adapter.baseModel);
    if (base?.pool !== pool.name) continue;
    const {loadMilliseconds} = adapter;
    targets.set(
      adapter.name,
      targetView(sources, {
        name: adapter.name,
        kind: 'adapter',
        baseModel: adapter.baseModel,
        version: adapter.version,
        memoryMegabytes: adapter.memoryMegabytes,
        loadMilliseconds: {
          memory: loadMilliseconds,
          disk: loadMilliseconds,
          remote: loadMilliseconds,
        },
        teams: sources.demand.demandFor(adapter.name),
      }),
    );
  }
  const adapters = [...targets.values()];
  for (const model of authority.models.values()) {
    if (model.pool !== pool.name) continue;
    // Whoever waits for an adapter waits for its base model too.
    const own = sources.demand.demandFor(model.name);
    const teams = adapters
      .filter(adapter => adapter.baseModel === model.name)
      .reduce((sum, adapter) => sum.concat(adapter.teams), [...own]);
    const since = adapters
      .filter(({baseModel, waiting}) => baseModel === model.name && waiting > 0)
      .map(adapter => adapter.waitingSince);
    const view = targetView(sources, {
      ...model,
      kind: 'model',
      baseModel: null,
      teams,
    });
    targets.set(model.name, {
      ...view,
      waitingSince: Math.min(view.waitingSince, ...since),
    });
  }
  return targets;
}

type TargetDescription = Pick<
  TargetView,
  | 'name'
  | 'kind'
  | 'baseModel'
  | 'version'
  | 'memoryMegabytes'
  | 'loadMilliseconds'
  | 'teams'
>;

function targetView(
  sources: PoolViewInputs,
  facts: TargetDescription,
): TargetView {
  const {authority, date, demand, now, usage} = sources;
  const {name, teams} = facts;
  const refused = (sources.refusedUntil.get(name) ?? -Infinity) > now;
  const waiting = sum(teams, team => team.waiting);
  const history = usage.historyOf(name);
  return {
    name,
    kind: facts.kind,
    baseModel: facts.baseModel,
    version: facts.version,
    memoryMegabytes: facts.memoryMegabytes,
    loadMilliseconds: facts.loadMilliseconds,
    replicaLimit: replicaLimit(authority, name, date),
    teams,
    waiting: waiting === 0 && refused ? 1 : waiting,
    inFlight: sum(teams, team => team.inFlight),
    deadlineAt: Math.min(Infinity, ...teams.map(team => team.deadlineAt)),
    waitingSince: waiting > 0 ? demand.waitingSinceOf(name) : now,
    lastUsedAt: history.lastUsedAt ?? sources.startedAt,
    history,
    avoidedEngines: usage.avoidedEngines(name),
  };
}

function sum(
  teams: readonly TeamDemand[],
  value: (team: TeamDemand) => number,
): number {
  return teams.reduce((total, team) => total + value(team), 0);
}

function storeView(
  sources: PoolViewInputs,
  engines: readonly EngineView[],
): StoreView {
  const remote = new Set<string>();
  for (const {ledger} of sources.pollers) {
    for (const order of ledger.openOrders) {
      if (order.kind === 'load' && order.remote) remote.add(order.orderId);
    }
  }
  const coming = engines
    .flatMap(engine => engine.replicas)
    .filter(({state}) => state === 'loading' || state === 'unresolved');
  const remoteLoads = coming.filter(({orderId}) => remote.has(orderId));
  return {
    speed: sources.storeSpeed,
    inFlight: remoteLoads.length,
    endsInMilliseconds: remoteLoads.map(load => load.readyInMilliseconds),
    nextStartAt: sources.nextStoreStartAt,
    adapterInFlight: coming.filter(({kind}) => kind === 'adapter').length,
  };
}
