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

/** Inputs of {@link buildView}. */
export interface PoolViewInputs {
  readonly now: number;
  readonly date: Date;
  readonly authority: Authority;
  readonly pool: Pool;
  readonly pollers: readonly EnginePoller[];
  /** Monotonic time at which this controller began to observe use. */
  readonly startedAt: number;
  readonly unusableReason: (poller: EnginePoller) => string | undefined;
  readonly demand: DemandTable;
  /**
   * Targets whose waiting requests were refused because of their deadlines,
   * with the time until which they are still loaded for the callers' retries.
   */
  readonly refusedUntil: ReadonlyMap<string, number>;
  readonly usage: UsageTracker;
  readonly storeSpeed: number;
  readonly nextStoreStartAt: number;
}

/** Builds the snapshot of one pool on which the policy decides. */
export function buildView(inputs: PoolViewInputs): PoolView {
  const engines = inputs.pollers.map(poller => engineView(inputs, poller));
  return {
    now: inputs.now,
    pool: inputs.pool,
    engines,
    targets: targetViews(inputs),
    store: storeView(inputs, engines),
    recentLoadTimeByTeam: inputs.usage.recentLoadTimeByTeam(),
  };
}

function engineView(inputs: PoolViewInputs, poller: EnginePoller): EngineView {
  const {authority, now} = inputs;
  const {listing} = poller.ledger;
  const reason = inputs.unusableReason(poller);
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

function targetViews(inputs: PoolViewInputs): ReadonlyMap<string, TargetView> {
  const {authority, pool} = inputs;
  const targets = new Map<string, TargetView>();
  for (const adapter of authority.adapters.values()) {
    const base = authority.models.get(adapter.baseModel);
    if (base?.pool !== pool.name) continue;
    const {loadMilliseconds} = adapter;
    targets.set(
      adapter.name,
      targetView(inputs, {
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
        teams: inputs.demand.demandFor(adapter.name),
      }),
    );
  }
  const adapters = [...targets.values()];
  for (const model of authority.models.values()) {
    if (model.pool !== pool.name) continue;
    // A request that waits for an adapter also waits for its base model.
    const own = inputs.demand.demandFor(model.name);
    const teams = adapters
      .filter(adapter => adapter.baseModel === model.name)
      .reduce((sum, adapter) => sum.concat(adapter.teams), [...own]);
    const since = adapters
      .filter(({baseModel, waiting}) => baseModel === model.name && waiting > 0)
      .map(adapter => adapter.waitingSince);
    const view = targetView(inputs, {
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
  inputs: PoolViewInputs,
  description: TargetDescription,
): TargetView {
  const {authority, date, demand, now, usage} = inputs;
  const {name, teams} = description;
  const refused = (inputs.refusedUntil.get(name) ?? -Infinity) > now;
  const waiting = sum(teams, team => team.waiting);
  const history = usage.historyOf(name);
  return {
    name,
    kind: description.kind,
    baseModel: description.baseModel,
    version: description.version,
    memoryMegabytes: description.memoryMegabytes,
    loadMilliseconds: description.loadMilliseconds,
    replicaLimit: replicaLimit(authority, name, date),
    teams,
    waiting: waiting === 0 && refused ? 1 : waiting,
    inFlight: sum(teams, team => team.inFlight),
    deadlineAt: Math.min(Infinity, ...teams.map(team => team.deadlineAt)),
    waitingSince: waiting > 0 ? demand.waitingSinceOf(name) : now,
    lastUsedAt: history.lastUsedAt ?? inputs.startedAt,
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
  inputs: PoolViewInputs,
  engines: readonly EngineView[],
): StoreView {
  const remote = new Set<string>();
  for (const {ledger} of inputs.pollers) {
    for (const order of ledger.openOrders) {
      if (order.kind === 'load' && order.remote) remote.add(order.orderId);
    }
  }
  const pendingLoads = engines
    .flatMap(engine => engine.replicas)
    .filter(({state}) => state === 'loading' || state === 'unresolved');
  const remoteLoads = pendingLoads.filter(({orderId}) => remote.has(orderId));
  return {
    speed: inputs.storeSpeed,
    inFlight: remoteLoads.length,
    endsInMilliseconds: remoteLoads.map(load => load.readyInMilliseconds),
    nextStartAt: inputs.nextStoreStartAt,
    adapterInFlight: pendingLoads.filter(({kind}) => kind === 'adapter').length,
  };
}
