import type {Authority, Endpoint} from '../contracts/mod.ts';
import type {EngineClientSource, ReplicaUpdate} from '../routing/mod.ts';
import type {LeaseAuthority} from '../leases/mod.ts';
import type {EventLogger} from '../observability/mod.ts';
import type {PeerChannel, PeerMessageOf} from '../peers/mod.ts';
import type {TableService, TransactionWriter} from '../stores/mod.ts';
import {type Clock, sleep} from '../time/mod.ts';
import {buildView} from './_build_view.ts';
import {DemandTable} from './_demand_table.ts';
import {DrainTracker} from './_drain_tracker.ts';
import {EnginePoller} from './_engine_poller.ts';
import {OrderOutcomeRecorder} from './_order_outcome_recorder.ts';
import {OrderSender} from './_order_sender.ts';
import {TakeoverRecovery} from './_takeover_recovery.ts';
import {ReplicaBroadcaster} from './_replica_broadcaster.ts';
import {UsageTracker} from './_usage_tracker.ts';
import {CostPolicy} from './cost_policy.ts';
import type {LedgerEvent} from './engine_ledger.ts';
import {IntentLog} from './intent_log.ts';
import type {PlacementPolicy, PlacementStep} from './placement_policy.ts';
import type {PoolView, ReplicaView} from './pool_view.ts';
import {StoreSpeedEstimator} from './store_speed_estimator.ts';

/** Options of {@link PoolController}. */
export interface PoolControllerOptions {
  /** Name of the pool. */
  pool: string;
  /** Epoch of the lease, with which engines fence off older orders. */
  epoch: number;
  authority: () => Authority;
  leases: LeaseAuthority;
  channel: PeerChannel;
  engines: EngineClientSource;
  table: TableService;
  writer: TransactionWriter;
  clock: Clock;
  logger: EventLogger;
  /** Applies an update to this host's own router. */
  applyLocally: (update: ReplicaUpdate) => void;
  /** Targets that the latest update of any controller listed on an engine. */
  lastReportedTargets: (endpoint: string) => readonly string[];
  /** Why this host sends no new work to an endpoint; undefined if it may. */
  unusableReason: (endpoint: string) => string | undefined;
  /** Decides loads and unloads. @default new CostPolicy() */
  policy?: PlacementPolicy;
  /** Milliseconds between polls of an engine without orders. @default 250 */
  pollIntervalMilliseconds?: number;
  /** Maximum milliseconds between two decisions. @default 500 */
  decisionIntervalMilliseconds?: number;
  /**
   * Milliseconds after sending during which an engine may start an order.
   * @default 2000
   */
  orderValidityMilliseconds?: number;
  /**
   * Milliseconds that an unload waits for hosts that are not connected.
   * @default 15000
   */
  disconnectedHostWaitMilliseconds?: number;
  /** Maximum milliseconds for which a request may run. @default 600000 */
  maximumRequestMilliseconds?: number;
  /**
   * Milliseconds that a new controller waits for engines that do not answer.
   * @default 10000
   */
  silentEngineTimeoutMilliseconds?: number;
}

/**
 * Fraction of a ready-time estimate before which a load cannot be ready. A
 * request whose deadline lies before it is refused early.
 */
const EARLIEST_READY_SHARE = 0.8;

/**
 * Time after its expected ready time for which a refused target still counts as
 * waited for, so that it is loaded for the callers' retries.
 */
const REFUSED_DEMAND_MILLISECONDS = 5000;

/**
 * Minimum time between cancelling a drain and draining the replica again.
 * Releases of the cancelled drain that arrive late must not count for the next.
 */
const REDRAIN_DELAY_MILLISECONDS = 10_000;

/** Decides the placement of one pool while this host holds the pool's lease. */
export class PoolController {
  private readonly pollers = new Map<string, EnginePoller>();
  private readonly demand: DemandTable;
  private readonly usage: UsageTracker;
  private readonly storeSpeed = new StoreSpeedEstimator();
  private readonly outcomes: OrderOutcomeRecorder;
  private readonly intents: IntentLog;
  private readonly drains: DrainTracker;
  private readonly orders: OrderSender;
  private readonly recovery: TakeoverRecovery;
  private readonly broadcaster: ReplicaBroadcaster;
  private readonly policy: PlacementPolicy;
  private readonly refusedUntil = new Map<string, number>();
  private readonly drainCancelledAt = new Map<string, number>();
  /** Latest step for each target, for explanations and for the log. */
  private readonly lastSteps = new Map<string, PlacementStep>();
  private readonly abort = new AbortController();
  private readonly unsubscribe: (() => void)[] = [];
  private readonly startedAt: number;
  private nextStoreStartAt = 0;
  private wake: AbortController | undefined;
  private woken = false;
  private stopped: Promise<void> | undefined;
  private loop: Promise<void> | undefined;

  constructor(private readonly options: PoolControllerOptions) {
    const {authority, channel, clock, engines, epoch, leases, logger, pool} =
      options;
    this.startedAt = clock.monotonicMilliseconds();
    this.policy = options.policy ?? new CostPolicy();
    this.demand = new DemandTable(clock);
    this.usage = new UsageTracker(clock);
    this.intents = new IntentLog({
      pool,
      epoch,
      owner: channel.self.incarnation,
      table: options.table,
      writer: options.writer,
      clock,
    });
    this.outcomes = new OrderOutcomeRecorder({
      authority,
      clock,
      logger,
      usage: this.usage,
      storeSpeed: this.storeSpeed,
      intents: this.intents,
    });
    this.drains = new DrainTracker({
      authority,
      channel,
      disconnectedHostWaitMilliseconds:
        options.disconnectedHostWaitMilliseconds ?? 15_000,
      maximumRequestMilliseconds: options.maximumRequestMilliseconds ?? 600_000,
    });
    const orderValidityMilliseconds = options.orderValidityMilliseconds ?? 2000;
    this.orders = new OrderSender({
      pool,
      epoch,
      clock,
      logger,
      intents: this.intents,
      orderValidityMilliseconds,
      mayAct: () => leases.actingEpoch(`pool:${pool}`) === epoch,
      client: name => {
        const endpoint = authority().endpoints.get(name);
        return endpoint && engines.engine(endpoint);
      },
      onRefused: (order, endpoint) => {
        if (order.kind === 'load')
          this.usage.recordLoadFailure(order.target, endpoint);
        this.wakeUp();
      },
      onAnswered: endpoint => {
        this.pollers.get(endpoint)?.pollNow();
        this.wakeUp();
      },
    });
    this.recovery = new TakeoverRecovery({
      pool,
      epoch,
      authority,
      clock,
      logger,
      intents: this.intents,
      orders: this.orders,
      orderValidityMilliseconds,
      silentEngineTimeoutMilliseconds:
        options.silentEngineTimeoutMilliseconds ?? 10_000,
      lastReportedTargets: options.lastReportedTargets,
    });
    this.broadcaster = new ReplicaBroadcaster({
      pool,
      epoch,
      channel,
      clock,
      applyLocally: options.applyLocally,
      mayAct: () => leases.actingEpoch(`pool:${pool}`) === epoch,
    });
  }

  /** Starts to recover the orders of earlier epochs, and to decide. */
  start(): void {
    this.unsubscribe.push(
      this.options.channel.onMessage((from, message) => {
        if (message.kind === 'demand') this.receiveDemand(from.hostId, message);
        else if (message.kind === 'replica_released') {
          this.receiveReplicaReleased(from.hostId, message);
        }
      }),
      this.options.channel.onConnectionEvent(observation => {
        if (observation.kind === 'connected')
          this.broadcaster.forceNextUpdate();
        if (observation.kind === 'refused' && observation.hostId) {
          this.demand.forgetHost(observation.hostId);
        }
        this.wakeUp();
      }),
    );
    this.syncPollers();
    this.loop = this.run();
  }

  /**
   * Stops deciding. Resolves once no further order can be sent and, if the
   * table is available, all orders are recorded.
   */
  stop(): Promise<void> {
    this.stopped ??= this.finish();
    return this.stopped;
  }

  /** Applies a host's demand report; ignores targets of other pools. */
  receiveDemand(hostId: string, message: PeerMessageOf<'demand'>): void {
    if (!this.ownsTarget(message.target)) return;
    const changed = this.demand.applyReport(hostId, message);
    const arrivals = message.teams.some(team => team.arrivals > 0);
    this.observeUse(message.target, arrivals);
    if (changed) this.wakeUp();
  }

  /** Records that a host no longer uses a draining replica. */
  receiveReplicaReleased(
    hostId: string,
    message: PeerMessageOf<'replica_released'>,
  ): void {
    if (message.pool !== this.options.pool) return;
    this.drains.recordRelease(message.endpoint, message.target, hostId);
    this.wakeUp();
  }

  /** Returns the latest decision on a target and its inputs, for operators. */
  explain(target: string): Record<string, unknown> {
    const view = this.view();
    const known = view.targets.get(target);
    const history = this.usage.historyOf(target);
    return {
      target,
      pool: this.options.pool,
      epoch: this.options.epoch,
      decided: known?.replicaLimit ?? 0,
      waiting: known?.waiting ?? 0,
      inFlight: known?.inFlight ?? 0,
      idleMilliseconds: view.now - (history.lastUsedAt ?? this.startedAt),
      nextUseWithinMinute: history.predictUse(
        view.now - (history.lastUsedAt ?? this.startedAt),
        60_000,
      ),
      avoidedEngines: [...(known?.avoidedEngines ?? [])].map(
        ([endpoint, until]) => ({
          endpoint,
          forMilliseconds: Math.max(0, until - view.now),
        }),
      ),
      replicas: view.engines
        .flatMap(engine => engine.replicas)
        .filter(replica => replica.target === target),
      lastDecision: this.lastSteps.get(target) ?? null,
      recovering: this.recovery.pendingReason ?? null,
      store: view.store,
    };
  }

  /** Returns the ledger of an engine, for operators. */
  explainEndpoint(name: string): Record<string, unknown> | undefined {
    const engine = this.view().engines.find(known => known.name === name);
    if (engine === undefined) return undefined;
    return {
      ...engine,
      pool: this.options.pool,
      tiers: Object.fromEntries(engine.tiers),
      openOrders: this.pollers.get(name)?.ledger.openOrders ?? [],
    };
  }

  private async run(): Promise<void> {
    const {clock, decisionIntervalMilliseconds = 500} = this.options;
    const {signal} = this.abort;
    const authorityFollowed = this.followAuthority(signal);
    await this.recovery.readIntents(
      name => this.pollers.get(name)?.ledger,
      signal,
    );
    while (!signal.aborted) {
      this.woken = false;
      this.decide();
      // A short pause batches changes that arrive together.
      await sleep(clock, MINIMUM_DECISION_INTERVAL_MILLISECONDS, signal);
      const delay = Math.min(
        decisionIntervalMilliseconds,
        this.millisecondsToStoreStart(),
      );
      this.wake = new AbortController();
      if (!this.woken && !signal.aborted) {
        await sleep(clock, delay, this.wake.signal);
      }
    }
    await authorityFollowed;
  }

  /** Keeps pollers in line with the pool's endpoints, and flushes intents. */
  private async followAuthority(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.syncPollers();
      void this.intents.flush();
      await sleep(
        this.options.clock,
        AUTHORITY_POLL_INTERVAL_MILLISECONDS,
        signal,
      );
    }
  }

  private async finish(): Promise<void> {
    this.abort.abort();
    this.wake?.abort();
    for (const stop of this.unsubscribe) stop();
    for (const poller of this.pollers.values()) poller.stop();
    this.drains.stop();
    await this.loop;
    await this.orders.settled();
    if (this.recovery.isDone) await this.intents.close();
  }

  private decide(): void {
    const {clock, leases, pool, epoch} = this.options;
    if (leases.actingEpoch(`pool:${pool}`) !== epoch) return;
    const now = clock.monotonicMilliseconds();
    this.recovery.checkListings([...this.pollers.values()]);
    for (const target of this.targets()) this.observeUse(target, false);
    let view = this.view();
    if (this.cancelDrains(view)) view = this.view();
    const steps = this.policy.plan(view);
    const loadsAllowed = this.recovery.pendingReason === undefined;
    for (const step of steps) this.applyStep(step, loadsAllowed, now);
    const unloads = this.unloadDrained();
    const changed = unloads || steps.some(({kind}) => kind !== 'defer');
    this.publish(changed ? this.view() : view, steps);
  }

  private applyStep(
    step: PlacementStep,
    loadsAllowed: boolean,
    now: number,
  ): void {
    const {logger} = this.options;
    const previous = this.lastSteps.get(step.target);
    this.lastSteps.set(step.target, step);
    switch (step.kind) {
      case 'load':
        if (!loadsAllowed) {
          if (previous?.kind === 'load') break;
          const reason = this.recovery.pendingReason;
          logger.event('loadDeferred', {target: step.target, reason});
          break;
        }
        logger.event('loadDecided', {...step, epoch: this.options.epoch});
        this.orderLoad(step, now);
        break;
      case 'drain':
        this.startDrain(step, now);
        break;
      case 'defer':
        if (previous?.kind === 'defer' && previous.reason === step.reason) {
          break;
        }
        logger.event('loadDeferred', {...step});
        break;
    }
  }

  private orderLoad(step: PlacementStep & {kind: 'load'}, now: number): void {
    const poller = this.pollers.get(step.endpoint);
    const {authority} = this.options;
    const {models, adapters, contracts, pools} = authority();
    const adapter = adapters.get(step.target);
    const entity = adapter ?? models.get(step.target);
    if (poller === undefined || entity === undefined) return;
    if (step.remote) {
      const rate = pools.get(this.options.pool)?.storeLoadsPerSecond ?? 1;
      this.nextStoreStartAt = now + 1000 / rate;
    }
    for (const team of step.teams) {
      const weight = contracts.get(team)?.weight ?? 1;
      const share = step.expectedMilliseconds / step.teams.length / weight;
      this.usage.addLoadTime(team, share);
    }
    this.orders.load(poller.ledger, {
      target: step.target,
      targetKind: adapter === undefined ? 'model' : 'adapter',
      baseModel: adapter?.baseModel ?? null,
      version: entity.version,
      memoryMegabytes: entity.memoryMegabytes,
      expectedMilliseconds: step.expectedMilliseconds,
      remote: step.remote,
    });
  }

  private startDrain(step: PlacementStep & {kind: 'drain'}, now: number): void {
    const {target, endpoint} = step;
    const ledger = this.pollers.get(endpoint)?.ledger;
    if (ledger === undefined) return;
    if (ledger.drainingSince(target) !== undefined) return;
    const cancelledAt =
      this.drainCancelledAt.get(`${endpoint}/${target}`) ?? -Infinity;
    if (now - cancelledAt < REDRAIN_DELAY_MILLISECONDS) return;
    const {logger, epoch} = this.options;
    logger.event('unloadDecided', {...step, epoch});
    ledger.startDrain(target, now);
    this.drains.startDrain(endpoint, target);
  }

  /**
   * Cancels the drains of idle replicas for which requests have arrived, so
   * that hosts use them again. The next drain of such a replica is delayed
   * until late releases of the cancelled one have arrived.
   */
  private cancelDrains(view: PoolView): boolean {
    let cancelled = false;
    for (const engine of view.engines) {
      if (!engine.usable) continue;
      for (const replica of engine.replicas) {
        if (!this.mayCancelDrain(replica, view)) continue;
        const {target, endpoint} = replica;
        this.pollers.get(endpoint)?.ledger.cancelDrain(target);
        this.drainCancelledAt.set(`${endpoint}/${target}`, view.now);
        cancelled = true;
      }
    }
    return cancelled;
  }

  private mayCancelDrain(replica: ReplicaView, view: PoolView): boolean {
    if (replica.state !== 'draining') return false;
    const target = view.targets.get(replica.target);
    const step = this.lastSteps.get(replica.target);
    if (target === undefined || target.waiting === 0) return false;
    if (target.version !== replica.version) return false;
    const {baseModel, endpoint} = replica;
    const base = baseModel === null ? undefined : this.pollers.get(endpoint);
    if (base?.ledger.drainingSince(baseModel ?? '') !== undefined) return false;
    // Only drains for idleness are cancelled; other replicas must make room.
    return step?.kind === 'drain' && step.reason.startsWith('idle');
  }

  /** Orders the unload of draining replicas that all hosts have released. */
  private unloadDrained(): boolean {
    let ordered = false;
    const {clock, logger} = this.options;
    const now = clock.monotonicMilliseconds();
    for (const {name, ledger} of this.pollers.values()) {
      const replicas = ledger.replicas(now);
      for (const replica of replicas) {
        if (replica.state !== 'draining') continue;
        const {target} = replica;
        const since = ledger.drainingSince(target) ?? now;
        const {listing} = ledger;
        const idle = listing?.load.running === 0 && listing.load.queued === 0;
        const hosts = this.drains.pendingHosts(name, target, now - since, idle);
        if (hosts.length > 0 || this.hasAdapters(target, replicas)) continue;
        logger.event('unloadOrdered', {target, endpoint: name});
        this.orders.unload(ledger, replica);
        ordered = true;
      }
    }
    return ordered;
  }

  /** Whether adapters of a model remain, which must be unloaded before it. */
  private hasAdapters(
    baseModel: string,
    replicas: readonly ReplicaView[],
  ): boolean {
    const {adapters} = this.options.authority();
    return replicas.some(({target}) => {
      return adapters.get(target)?.baseModel === baseModel;
    });
  }

  private onEngineEvents(
    poller: EnginePoller,
    events: readonly LedgerEvent[],
    changed: boolean,
  ): void {
    this.outcomes.observe(poller.ledger, events);
    if (changed || events.length > 0) this.wakeUp();
  }

  private publish(view: PoolView, steps: readonly PlacementStep[]): void {
    // An update replaces the hosts' list of replicas. Before every engine has
    // been polled once, it would lack replicas that are loaded.
    if ([...this.pollers.values()].some(({hasPolled}) => !hasPolled)) return;
    const readyIn = new Map<string, {reason: string; milliseconds: number}>();
    for (const engine of view.engines) {
      for (const {target, state, readyInMilliseconds} of engine.replicas) {
        if (state !== 'loading') continue;
        const reason = 'the load takes longer';
        readyIn.set(target, {reason, milliseconds: readyInMilliseconds});
      }
    }
    for (const step of steps) {
      if (step.kind !== 'defer') continue;
      const {reason, readyInMilliseconds} = step;
      readyIn.set(step.target, {reason, milliseconds: readyInMilliseconds});
    }
    const refusals: ReplicaUpdate['refusals'] = [];
    for (const [target, {reason, milliseconds}] of readyIn) {
      const certain = milliseconds * EARLIEST_READY_SHARE;
      const known = view.targets.get(target);
      if (known === undefined || view.now + certain < known.deadlineAt) {
        continue;
      }
      if (known.deadlineAt === Infinity) continue;
      refusals.push({target, reason, retryAfterMilliseconds: certain});
      const until = view.now + milliseconds + REFUSED_DEMAND_MILLISECONDS;
      this.refusedUntil.set(target, until);
    }
    this.broadcaster.publish(view, refusals);
  }

  private observeUse(target: string, arrivals: boolean): void {
    const {adapters} = this.options.authority();
    const busy = this.demand.demandFor(target).some(({waiting, inFlight}) => {
      return waiting > 0 || inFlight > 0;
    });
    this.usage.observe(target, busy || arrivals);
    const base = adapters.get(target)?.baseModel;
    if (base !== undefined && (busy || arrivals)) {
      this.usage.observe(base, true);
    }
  }

  private view(): PoolView {
    const {authority, clock, pool} = this.options;
    const known = authority();
    return buildView({
      now: clock.monotonicMilliseconds(),
      date: clock.now(),
      authority: known,
      pool: known.pools.get(pool)!,
      pollers: [...this.pollers.values()],
      unusableReason: poller => this.unusableReason(poller),
      demand: this.demand,
      refusedUntil: this.refusedUntil,
      usage: this.usage,
      startedAt: this.startedAt,
      storeSpeed: this.storeSpeed.speed,
      nextStoreStartAt: this.nextStoreStartAt,
    });
  }

  private unusableReason(poller: EnginePoller): string | undefined {
    const endpoint = this.options.authority().endpoints.get(poller.name);
    if (endpoint === undefined) return 'unknown';
    if (endpoint.leaving || poller.ledger.listing?.leaving) return 'leaving';
    const reason = this.options.unusableReason(poller.name);
    if (reason === 'leaving' || reason === 'gone') return reason;
    if (poller.connectionRefused) return 'refused';
    if (!poller.reachable) return 'unreachable';
    return undefined;
  }

  private targets(): readonly string[] {
    const {models, adapters} = this.options.authority();
    return [...adapters.keys(), ...models.keys()].filter(target => {
      return this.ownsTarget(target);
    });
  }

  private ownsTarget(target: string): boolean {
    const {models, adapters} = this.options.authority();
    const model = models.get(adapters.get(target)?.baseModel ?? target);
    return model?.pool === this.options.pool;
  }

  private syncPollers(): void {
    const {
      authority,
      clock,
      engines,
      pool,
      pollIntervalMilliseconds = 250,
    } = this.options;
    for (const endpoint of authority().endpoints.values()) {
      if (endpoint.pool !== pool || this.pollers.has(endpoint.name)) continue;
      const {name} = endpoint;
      const poller = new EnginePoller(name, {
        endpoint: () => authority().endpoints.get(name),
        client: (current: Endpoint) => engines.engine(current),
        clock,
        idlePollIntervalMilliseconds: pollIntervalMilliseconds,
        onPolled: (source, events, changed) => {
          this.onEngineEvents(source, events, changed);
        },
      });
      this.pollers.set(name, poller);
      void poller.run();
    }
    for (const [name, poller] of this.pollers) {
      if (authority().endpoints.get(name)?.pool === pool) continue;
      poller.stop();
      this.pollers.delete(name);
    }
  }

  private millisecondsToStoreStart(): number {
    const now = this.options.clock.monotonicMilliseconds();
    return this.nextStoreStartAt > now ? this.nextStoreStartAt - now : Infinity;
  }

  private wakeUp(): void {
    this.woken = true;
    this.wake?.abort();
  }
}

/** Interval at which changes of the authority are looked up. */
const AUTHORITY_POLL_INTERVAL_MILLISECONDS = 500;

/** Minimum time between two decisions. */
const MINIMUM_DECISION_INTERVAL_MILLISECONDS = 5;
