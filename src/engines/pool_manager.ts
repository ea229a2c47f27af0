import type {EnginePoolConfiguration} from '../deployment/mod.ts';
import {sleep} from '../time/mod.ts';
import {describeReplicas, ReplicaAnnouncer} from './replica_announcer.ts';
import {AdapterLoader} from './_adapter_loader.ts';
import {demandByModel} from './_demand_by_model.ts';
import {DetachedLoads} from './_detached_loads.ts';
import {EngineReporter} from './_engine_reporter.ts';
import {formerOrderTime, mayOrderAny} from './_former_orders.ts';
import {OrderDispatcher} from './_order_dispatcher.ts';
import {preloadConcurrency} from './_preload_concurrency.ts';
import {snapshotEngines} from './_snapshot_engines.ts';
import {splitTarget} from './_split_target.ts';
import {ArrivalRates} from './arrival_rates.ts';
import {EngineState, type PendingOrder} from './engine_state.ts';
import {expectedRates} from './expected_rates.ts';
import {
  forecastLoads,
  type LoadForecast,
  NO_FORECAST,
} from './forecast_loads.ts';
import {expectedLoadMilliseconds} from './load_tier.ts';
import {planPlacement} from './plan_placement.ts';
import type {PlannedLoad} from './planned_load.ts';
import type {PoolManagerOptions} from './pool_manager_options.ts';
import {RemoteLoadBudget} from './remote_load_budget.ts';
import type {ReplicaAnnouncement} from './replica_map.ts';
import type {ReplicaState} from './replica_state.ts';
import {UnmetDemand} from './unmet_demand.ts';

/** Interval between placement rounds. */
const ROUND_MILLISECONDS = 150;

/**
 * Ratio of the pause between rounds to the time that a round takes, so that rounds
 * use at most a fifth of the processor even if each request asks for one.
 */
const PAUSE_PER_ROUND_TIME = 4;

/** Bound of that pause, so that a round slowed down by other work delays no load. */
const MAXIMUM_ROUND_PAUSE_MILLISECONDS = 100;

/** Interval between rounds on a host that does not manage the pool. */
const IDLE_ROUND_MILLISECONDS = 1000;

/** Loads and unloads the models of one pool while this host holds its lease. */
export class PoolManager {
  private readonly stopping = new AbortController();
  private readonly engines = new Map<string, EngineState>();
  private readonly rates = new ArrivalRates();
  private readonly unmet = new UnmetDemand();
  private readonly orders: OrderDispatcher;
  private readonly reporter: EngineReporter;
  private readonly adapters: AdapterLoader;
  private readonly announcer: ReplicaAnnouncer;
  private readonly detachedLoads = new DetachedLoads();
  private budget: RemoteLoadBudget | undefined;
  private epoch: number | undefined;
  private wake: () => void = () => undefined;
  private forecast: LoadForecast = NO_FORECAST;
  private forecastAt = 0;

  constructor(private readonly options: PoolManagerOptions) {
    const onChange = () => this.announceChanges();
    this.announcer = new ReplicaAnnouncer({...options, onDue: onChange});
    this.orders = new OrderDispatcher({
      ...options,
      epoch: () => this.epoch,
      isKnown: engine => this.isManaged(engine),
      onChange,
    });
    this.reporter = new EngineReporter({
      ...options,
      signal: this.stopping.signal,
      onReport: (engine, pending) => {
        engine.formerOrderAt ??= formerOrderTime(engine, options);
        this.recordSettledOrder(
          engine,
          pending,
          options.clock.monotonicMilliseconds(),
        );
      },
      onDropped: () => this.budget?.abandon(),
      wake: () => this.wake(),
    });
    this.adapters = new AdapterLoader({
      ...options,
      orders: this.orders,
      onChange,
    });
  }

  /** Starts the next round without waiting for the interval. */
  notify(): void {
    if (this.options.lease.isHeld()) this.wake();
  }

  /** Manages the pool until {@link stop}. */
  async run(): Promise<void> {
    const {signal} = this.stopping;
    const {clock} = this.options;
    while (!signal.aborted) {
      const startedAt = clock.monotonicMilliseconds();
      this.round();
      const took = clock.monotonicMilliseconds() - startedAt;
      const pause = Math.min(
        took * PAUSE_PER_ROUND_TIME,
        MAXIMUM_ROUND_PAUSE_MILLISECONDS,
      );
      await sleep(clock, pause, signal);
      await this.nextRound();
    }
  }

  /** Stops the rounds, so that nothing more is ordered or announced. */
  stop(): void {
    this.stopping.abort();
    this.endTerm();
    this.wake();
  }

  private async nextRound(): Promise<void> {
    const round = new AbortController();
    this.wake = () => round.abort();
    const pause = this.options.lease.isHeld()
      ? ROUND_MILLISECONDS
      : IDLE_ROUND_MILLISECONDS;
    await sleep(this.options.clock, pause, round.signal);
  }

  private round(): void {
    const {lease, clock} = this.options;
    const service = this.options.service();
    const pool = service?.engines;
    const now = clock.monotonicMilliseconds();
    if (service === undefined || pool === undefined) return;
    if (lease.epoch === undefined || !lease.isHeld()) {
      this.endTerm();
      return;
    }
    this.rates.update(this.options.load.arrivals(service.name), now);
    const isNewTerm = lease.epoch !== this.epoch;
    if (isNewTerm) this.startTerm(lease.epoch, pool, now);
    this.applyRows(service.name, now);
    if (isNewTerm) this.rates.expect(expectedRates(this.engines.values()));
    this.announceChanges();
    if (!mayOrderAny(lease, this.engines.values())) return;
    if (this.budget === undefined) return;
    const {load} = this.options;
    const inFlight = load.inFlight();
    const waiting = load.waiting(service.name);
    const awaited = waiting.filter(({isServable}) => !isServable);
    this.unmet.update({
      awaited: awaited.map(({target}) => splitTarget(target).model),
      isLoaded: model => this.isLoaded(model),
      now,
    });
    const demand = demandByModel({
      pool,
      waiting,
      rateOf: model => this.rates.of(model),
      isLoaded: model => this.isLoaded(model),
      unmetOf: model => this.unmet.ageOf(model, now),
    });
    this.reporter.recheckHolders([...this.engines.values()], demand, now);
    const engines = snapshotEngines(
      this.engines.values(),
      inFlight,
      now,
      incarnation => this.options.limits.rateOf(incarnation),
      engine => lease.orderDelay(engine.formerOrderAt),
    );
    this.detachedLoads.takeEnded(now, () => this.budget?.abandon());
    const remoteLoadsAllowed = this.budget.allowed(now);
    const loads = planPlacement({
      pool,
      engines,
      demand,
      remoteLoadsAllowed,
      remoteLoadsRunning: this.budget.active,
      loadsReplicasTogether: this.options.loadsReplicasTogether ?? false,
      preloadsAllowed: Math.max(
        0,
        preloadConcurrency(demand) - this.budget.active,
      ),
    });
    this.forecast = forecastLoads({
      pool,
      engines,
      demand,
      remoteLoadsAllowed,
      remoteLoadsEndIn: [
        ...[...this.engines.values()].flatMap(({pending}) =>
          pending?.tier === 'remote'
            ? [Math.max(0, pending.expectedAt - now)]
            : [],
        ),
        ...this.detachedLoads.endIn(now),
      ],
    });
    this.forecastAt = now;
    for (const planned of loads) void this.executeLoad(planned, pool);
    this.adapters.startLoads(
      [...this.engines.values()].filter(engine =>
        lease.mayOrder(engine.formerOrderAt),
      ),
      awaited,
      inFlight,
      pool,
    );
  }

  private endTerm(): void {
    this.engines.clear();
    this.detachedLoads.clear();
    this.unmet.clear();
    this.announcer.reset();
    this.forecast = NO_FORECAST;
    this.epoch = undefined;
    this.budget = undefined;
  }

  private startTerm(
    epoch: number,
    pool: EnginePoolConfiguration,
    now: number,
  ): void {
    this.endTerm();
    this.epoch = epoch;
    this.budget = new RemoteLoadBudget({
      loadsPerSecond: pool.loadsPerSecond,
      // Until then, loads that a former manager has started count as well.
      startsAt: now + Math.max(0, this.options.lease.orderDelay(undefined)),
    });
    this.options.logger.event('leaseActive', {
      service: this.options.service()?.name,
      epoch,
    });
  }

  /**
   * Updates the engines from their rows and removes those without a usable row.
   */
  private applyRows(service: string, now: number): void {
    const usable = this.options.registry.usable(service);
    const ids = new Set(usable.map(({record}) => record.id));
    for (const [id, engine] of this.engines) {
      if (ids.has(id)) continue;
      this.releaseRemoteLoad(engine);
      // A report that is still awaited must not settle the order once more.
      engine.pending = undefined;
      this.engines.delete(id);
    }
    for (const {record} of usable) {
      const known = this.engines.get(record.id);
      if (known === undefined || known.record.startedAt !== record.startedAt) {
        if (known?.pending?.tier === 'remote') this.budget?.abandon();
        this.engines.set(record.id, new EngineState(record));
        continue;
      }
      const {pending} = known;
      known.applyRow(record);
      this.recordSettledOrder(known, pending, now);
    }
    // An earlier report might lack an order that a former manager has just sent.
    if (now < this.options.lease.engineReportsFrom) return;
    for (const engine of this.engines.values())
      this.reporter.requestIfNeeded(engine, now);
  }

  /** Records the completion of an order. */
  private recordSettledOrder(
    engine: EngineState,
    pending: PendingOrder | undefined,
    now: number,
  ): void {
    if (pending === undefined || engine.pending !== undefined) return;
    if (pending.operation === 'load') engine.loadedAt.set(pending.model, now);
    const took = now - pending.startedAt;
    if (pending.tier === 'remote') {
      this.budget?.end(took, pending.expectedAt - pending.startedAt);
    }
    this.options.logger.event('orderSettled', {
      endpoint: engine.record.id,
      operation: pending.operation,
      model: pending.model,
      tier: pending.tier,
      tookMilliseconds: Math.round(took),
    });
    this.wake();
  }

  /** Whether orders may be sent to an engine. Its row may be gone or evacuated since. */
  private isManaged(engine: EngineState): boolean {
    const {record} = engine;
    return (
      this.engines.get(record.id) === engine &&
      !this.options.registry.isEvacuated(record)
    );
  }

  /**
   * Takes the load of an engine that is no longer managed off the budget: at once if
   * the engine is gone, else when the load will have ended, since it goes on.
   */
  private releaseRemoteLoad({record, pending}: EngineState): void {
    if (pending?.tier !== 'remote') return;
    if (this.options.registry.isEvacuated(record))
      this.detachedLoads.add(pending.expectedAt);
    else this.budget?.abandon();
  }

  private isLoaded(model: string): boolean {
    return [...this.engines.values()].some(
      engine => engine.models.has(model) && !engine.isUnreachable,
    );
  }

  /** Performs the evictions of a planned load one by one, then the load. */
  private async executeLoad(
    load: PlannedLoad,
    pool: EnginePoolConfiguration,
  ): Promise<void> {
    const engine = this.engines.get(load.engineId);
    const model = pool.models.get(load.model);
    if (engine === undefined || model === undefined || engine.isLocked) return;
    const {clock, logger} = this.options;
    const {epoch} = this;
    logger.event('loadDecided', {...load, epoch});
    engine.isLocked = true;
    engine.reservedFor = load.model;
    if (load.tier === 'remote')
      this.budget?.begin(clock.monotonicMilliseconds());
    let isOrderSent = false;
    try {
      for (const eviction of load.evictions) {
        if (!(await this.orders.evict(engine, eviction))) return;
      }
      const startedAt = clock.monotonicMilliseconds();
      const outcome = await this.orders.order(
        engine,
        'load',
        load.model,
        undefined,
      );
      if (outcome !== 'accepted' && outcome !== 'unknown') return;
      isOrderSent = true;
      engine.pending = {
        operation: 'load',
        model: load.model,
        tier: load.tier,
        startedAt,
        expectedAt: startedAt + expectedLoadMilliseconds(model, load.tier),
      };
      const isDropped = this.engines.get(engine.record.id) !== engine;
      if (isDropped && epoch === this.epoch) this.releaseRemoteLoad(engine);
    } finally {
      if (load.tier === 'remote' && !isOrderSent) this.budget?.abandon();
      engine.reservedFor = undefined;
      engine.isLocked = false;
      this.announceChanges();
    }
  }

  /** Complete announcement of the pool; undefined while it isn't managed here. */
  currentAnnouncement(): ReplicaAnnouncement | undefined {
    const state = this.currentState();
    return state === undefined
      ? undefined
      : this.announcer.completeAnnouncement(state);
  }

  private currentState(): ReplicaState | undefined {
    const service = this.options.service()?.name;
    const {epoch, engines, forecast, forecastAt} = this;
    if (service === undefined || epoch === undefined) return undefined;
    return describeReplicas({
      service,
      epoch,
      renewal: this.options.lease.renewal,
      engines: [...engines.values()],
      forecast,
      forecastAt,
      now: this.options.clock.monotonicMilliseconds(),
    });
  }

  private announceChanges(): void {
    const state = this.currentState();
    if (state !== undefined) this.announcer.announce(state);
  }
}
