import type {Authority, Endpoint} from '../contracts/mod.ts';
import {
  failure,
  REQUEST_ERROR_CODES,
  REQUEST_STEPS,
  type RequestError,
  type RequestErrorCode,
  type Result,
  RUN_STATES,
  success,
} from '../errors/mod.ts';
import type {LeaseAuthority} from '../leases/mod.ts';
import type {EventLogger} from '../observability/mod.ts';
import type {PeerChannel, PeerMessageOf} from '../peers/mod.ts';
import type {HostList} from '../stores/mod.ts';
import type {Clock} from '../time/mod.ts';
import {sleep} from '../time/mod.ts';
import {DemandTracker} from './_demand_tracker.ts';
import {PrefixAffinity} from './_prefix_affinity.ts';
import {type WaitingRequest, WaitingQueue} from './_waiting_queue.ts';
import {rankReplicas, type ScoredReplica} from './rank_replicas.ts';
import {EndpointHealth, type EngineClientSource} from './endpoint_health.ts';
import type {
  EndpointObserver,
  AcquiredReplica,
  ReplicaRequest,
  ReplicaSource,
} from './replica_source.ts';
import {
  type KnownReplica,
  ReplicaTable,
  type ReplicaUpdate,
} from './replica_table.ts';

/** Receives messages for the pool controllers in this process. */
export interface LocalPoolController {
  receiveDemand(message: PeerMessageOf<'demand'>): void;
  receiveReplicaReleased(message: PeerMessageOf<'replica_released'>): void;
}

/** Options of {@link ReplicaRouter}. */
export interface ReplicaRouterOptions {
  authority: () => Authority;
  channel: PeerChannel;
  leases: LeaseAuthority;
  engines: EngineClientSource;
  hostList: HostList;
  clock: Clock;
  logger: EventLogger;
  /** Receives the messages for pools whose lease this host holds. */
  localController: () => LocalPoolController;
  /** Maximum number of requests that wait for one target. @default 512 */
  maximumWaitingRequests?: number;
  /** Milliseconds between two demand reports of one target. @default 250 */
  demandReportIntervalMilliseconds?: number;
  /**
   * Milliseconds by which the first report for a target is delayed, so that it
   * includes the other requests of a burst. @default 2
   */
  firstReportDelayMilliseconds?: number;
  /** Milliseconds between two reads of the host list. @default 1000 */
  hostListIntervalMilliseconds?: number;
  /** Milliseconds between two probes of an endpoint. @default 500 */
  probeIntervalMilliseconds?: number;
}

/**
 * Routes requests to replicas. Requests without a usable replica wait, and the
 * demand reports to the pool's controller cause a load.
 */
export class ReplicaRouter implements ReplicaSource, EndpointObserver {
  private readonly table = new ReplicaTable();
  private readonly demand = new DemandTracker();
  private readonly health: EndpointHealth;
  private readonly affinity = new PrefixAffinity();
  private readonly queues = new Map<string, WaitingQueue>();
  /** Requests of this host in flight, by endpoint, then target. */
  private readonly inFlightByReplica = new Map<string, Map<string, number>>();
  private readonly inFlightByEndpoint = new Map<string, number>();
  /** Replicas that an endpoint reported missing, and how long to avoid them. */
  private readonly missingReplicas = new Map<
    string,
    {target: string; until: number}
  >();
  private readonly scheduledReports = new Set<string>();
  private readonly abort = new AbortController();
  private readonly unsubscribe: (() => void)[] = [];

  constructor(private readonly options: ReplicaRouterOptions) {
    const {hostListIntervalMilliseconds, probeIntervalMilliseconds} = options;
    this.health = new EndpointHealth({
      authority: options.authority,
      engines: options.engines,
      hostList: options.hostList,
      clock: options.clock,
      logger: options.logger,
      endpointsToProbe: () => this.inFlightByEndpoint.keys(),
      onChange: () => this.serveAllQueues(),
      ...(hostListIntervalMilliseconds === undefined
        ? {}
        : {hostListIntervalMilliseconds}),
      ...(probeIntervalMilliseconds === undefined
        ? {}
        : {probeIntervalMilliseconds}),
    });
  }

  /** Starts listening to peers and reporting demand. */
  start(): void {
    this.unsubscribe.push(
      this.options.channel.onMessage((_from, message) => {
        if (message.kind === 'replica_update') this.applyUpdate(message);
      }),
    );
    this.health.start();
    void this.reportDemand();
  }

  /** Stops the router and refuses all waiting requests. */
  stop(): void {
    this.abort.abort();
    this.health.stop();
    for (const stop of this.unsubscribe) stop();
    for (const queue of this.queues.values()) {
      for (const waiting of queue.byDeadline()) {
        this.refuse(
          waiting,
          REQUEST_ERROR_CODES.draining,
          'The host is shutting down',
        );
      }
    }
  }

  /** Applies an update from a pool's controller on this or another host. */
  applyUpdate(update: ReplicaUpdate): void {
    const now = this.options.clock.monotonicMilliseconds();
    if (!this.table.apply(update, now)) return;
    for (const [key, {target, until}] of this.missingReplicas) {
      if (now >= until || this.table.replicasOf(target).length === 0) {
        this.missingReplicas.delete(key);
      }
    }
    this.releaseUnusedDraining(update.pool);
    this.serveAllQueues();
  }

  async acquire(
    request: ReplicaRequest,
  ): Promise<Result<AcquiredReplica, RequestError>> {
    const pool = this.poolOf(request.target);
    if (pool === undefined) {
      const message = `The model "${request.target}" does not exist`;
      return this.refusal(REQUEST_ERROR_CODES.modelNotFound, message);
    }
    if (request.signal.aborted) return this.abortedRefusal();
    this.demand.recordArrival(request);
    const acquired = this.tryAcquire(request, false);
    if (acquired !== undefined) {
      this.scheduleReport(request.target);
      return success(acquired);
    }
    return this.waitForReplica(request);
  }

  /** Models and adapters that the latest updates list on an endpoint. */
  targetsOn(endpoint: string): readonly string[] {
    return this.table
      .all()
      .filter(replica => replica.endpoint === endpoint)
      .map(replica => replica.target);
  }

  succeeded(endpoint: string): void {
    this.health.succeeded(endpoint);
  }

  failed(endpoint: string, kind: 'refused' | 'broken' | 'silent'): void {
    this.health.failed(endpoint, kind);
  }

  replicaMissing(endpoint: string, target: string): void {
    // The replica is avoided until the pool's controller has seen the engine's
    // listing and sent an update.
    const now = this.options.clock.monotonicMilliseconds();
    const until = now + MISSING_REPLICA_MILLISECONDS;
    this.missingReplicas.set(replicaKey(endpoint, target), {target, until});
  }

  /** Why this host sends no new work to an endpoint; undefined if it may. */
  endpointUnusableReason(endpoint: string): string | undefined {
    return this.health.unusableReason(endpoint);
  }

  /** Explains how requests for a target are routed, for operators. */
  explain(target: string): Record<string, unknown> {
    const now = this.options.clock.monotonicMilliseconds();
    const refusal = this.table.refusalOf(target);
    return {
      target,
      pool: this.poolOf(target) ?? null,
      holder: this.holderOf(target) ?? null,
      waiting: this.queues.get(target)?.size ?? 0,
      refusal:
        refusal === undefined
          ? null
          : {
              reason: refusal.reason,
              retryAfterMilliseconds: Math.max(0, refusal.retryAt - now),
            },
      replicas: this.table.replicasOf(target).map(replica => ({
        endpoint: replica.endpoint,
        state: replica.state,
        version: replica.version,
        readyInMilliseconds:
          replica.state === 'loading' ? Math.max(0, replica.readyAt - now) : 0,
        inFlight: this.inFlightOf(replica.endpoint, target),
        unusable: this.unusableReason(replica) ?? null,
      })),
      scores: this.score(target, undefined, new Set()),
    };
  }

  /** Returns what this host knows about an endpoint, for operators. */
  explainEndpoint(name: string): Record<string, unknown> {
    return {
      endpoint: name,
      inFlight: this.inFlightByEndpoint.get(name) ?? 0,
      ...this.health.explain(name),
      replicas: this.table
        .all()
        .filter(replica => replica.endpoint === name)
        .map(({target, version, state}) => ({target, version, state})),
    };
  }

  private tryAcquire(
    request: ReplicaRequest,
    coldStart: boolean,
  ): AcquiredReplica | undefined {
    const {target, prefix, excludedEndpoints} = request;
    const scores = this.score(target, prefix, excludedEndpoints);
    const best = scores[0];
    if (best === undefined) return undefined;
    const {authority, logger} = this.options;
    const endpoint = authority().endpoints.get(best.endpoint)!;
    logger.event('replicaChosen', {
      target,
      team: request.team,
      endpoint: best.endpoint,
      coldStart,
      candidates: scores,
    });
    return this.acquireOn(request, endpoint, coldStart);
  }

  private acquireOn(
    request: ReplicaRequest,
    endpoint: Endpoint,
    coldStart: boolean,
  ): AcquiredReplica {
    const {target, prefix} = request;
    const adapter = this.options.authority().adapters.get(target);
    const stopTracking = this.demand.trackInFlight(request);
    this.countInFlight(endpoint.name, target, 1);
    if (prefix !== undefined)
      this.affinity.record(target, prefix, endpoint.name);
    let held = true;
    return {
      endpoint,
      model: adapter?.baseModel ?? target,
      adapter: adapter === undefined ? null : target,
      coldStart,
      release: () => {
        if (!held) return;
        held = false;
        stopTracking();
        this.countInFlight(endpoint.name, target, -1);
      },
    };
  }

  private waitForReplica(
    request: ReplicaRequest,
  ): Promise<Result<AcquiredReplica, RequestError>> {
    const {clock, logger} = this.options;
    const {target, deadlineAt, signal} = request;
    const now = clock.monotonicMilliseconds();
    const early = this.earlyRefusal(request);
    if (early !== undefined) return Promise.resolve(early);
    let queue = this.queues.get(target);
    if (queue === undefined) {
      queue = new WaitingQueue();
      this.queues.set(target, queue);
    }
    if (queue.size >= (this.options.maximumWaitingRequests ?? 512)) {
      const message = `${queue.size} requests are already waiting for "${target}"`;
      const refused = this.refusal(
        REQUEST_ERROR_CODES.overloaded,
        message,
        OVERLOAD_RETRY_MILLISECONDS,
      );
      return Promise.resolve(refused);
    }
    const stopTracking = this.demand.trackWaiting(request);
    logger.event('noReplicaYet', {
      target,
      team: request.team,
      waiting: queue.size + 1,
      deadlineInMilliseconds: deadlineAt - now,
    });
    this.scheduleReport(target);
    return new Promise(resolve => {
      const onAbort = () =>
        this.refuse(waiting, undefined, 'The caller disconnected');
      const waiting: WaitingRequest = {
        request,
        finish: result => {
          signal.removeEventListener('abort', onAbort);
          stopTracking();
          resolve(result);
        },
        cancelTimer: clock.startTimer(deadlineAt - now, () => {
          logger.event('waitExpired', {target, team: request.team});
          this.refuse(
            waiting,
            REQUEST_ERROR_CODES.deadlineExceeded,
            `No replica of "${target}" became ready before the deadline`,
          );
        }),
      };
      signal.addEventListener('abort', onAbort, {once: true});
      this.queues.get(target)!.add(waiting);
    });
  }

  /**
   * Returns an error if the pool's controller reports that no replica can be
   * ready before the request's deadline.
   */
  private earlyRefusal(
    request: ReplicaRequest,
  ): {ok: false; error: RequestError} | undefined {
    const refusal = this.table.refusalOf(request.target);
    if (refusal === undefined || refusal.retryAt < request.deadlineAt) {
      return undefined;
    }
    const now = this.options.clock.monotonicMilliseconds();
    if (refusal.retryAt <= now) return undefined;
    return this.refusal(
      REQUEST_ERROR_CODES.noReplica,
      `No replica of "${request.target}" can be ready before the deadline: ${refusal.reason}`,
      refusal.retryAt - now,
    );
  }

  private serveAllQueues(): void {
    for (const target of this.queues.keys()) this.serveQueue(target);
  }

  private serveQueue(target: string): void {
    const queue = this.queues.get(target);
    if (queue === undefined) return;
    for (const waiting of queue.byDeadline()) {
      const {request} = waiting;
      const acquired = this.tryAcquire(request, true);
      if (acquired !== undefined) {
        queue.remove(waiting);
        waiting.finish(success(acquired));
        continue;
      }
      const early = this.earlyRefusal(request);
      if (early === undefined) continue;
      queue.remove(waiting);
      waiting.finish(early);
    }
    if (queue.size === 0) this.queues.delete(target);
  }

  private refuse(
    waiting: WaitingRequest,
    code: RequestErrorCode | undefined,
    message: string,
  ): void {
    const {target} = waiting.request;
    const queue = this.queues.get(target);
    if (queue === undefined || !queue.remove(waiting)) return;
    if (queue.size === 0) this.queues.delete(target);
    const result =
      code === undefined ? this.abortedRefusal() : this.refusal(code, message);
    waiting.finish(result);
  }

  private score(
    target: string,
    prefix: string | undefined,
    excluded: ReadonlySet<string>,
  ): readonly ScoredReplica[] {
    const {endpoints} = this.options.authority();
    const cached =
      prefix === undefined ? undefined : this.affinity.find(target, prefix);
    const candidates = this.table
      .replicasOf(target)
      .filter(replica => {
        return (
          !excluded.has(replica.endpoint) &&
          this.unusableReason(replica) === undefined
        );
      })
      .map(({endpoint}) => ({
        endpoint,
        dataCentre: endpoints.get(endpoint)!.dataCentre,
        inFlight: this.inFlightByEndpoint.get(endpoint) ?? 0,
        reportedLoad: this.health.reportedLoad(endpoint),
        cachesPrefix: cached === endpoint,
      }));
    const {dataCentre} = this.options.channel.self;
    return rankReplicas(candidates, {dataCentre});
  }

  private unusableReason(replica: KnownReplica): string | undefined {
    if (replica.state !== 'loaded') return replica.state;
    const missing = this.missingReplicas.get(
      replicaKey(replica.endpoint, replica.target),
    );
    const now = this.options.clock.monotonicMilliseconds();
    if (missing !== undefined && now < missing.until) return 'missing';
    return this.health.unusableReason(replica.endpoint);
  }

  private countInFlight(
    endpoint: string,
    target: string,
    change: 1 | -1,
  ): void {
    const total = (this.inFlightByEndpoint.get(endpoint) ?? 0) + change;
    if (total === 0) this.inFlightByEndpoint.delete(endpoint);
    else this.inFlightByEndpoint.set(endpoint, total);
    let targets = this.inFlightByReplica.get(endpoint);
    if (targets === undefined) {
      targets = new Map();
      this.inFlightByReplica.set(endpoint, targets);
    }
    const inFlight = (targets.get(target) ?? 0) + change;
    targets.set(target, inFlight);
    if (inFlight > 0) return;
    targets.delete(target);
    const draining = this.table.replicasOf(target).find(replica => {
      return replica.endpoint === endpoint && replica.state === 'draining';
    });
    if (draining !== undefined) this.sendReleased(draining);
  }

  private inFlightOf(endpoint: string, target: string): number {
    return this.inFlightByReplica.get(endpoint)?.get(target) ?? 0;
  }

  /** Reports draining replicas that this host does not use as released. */
  private releaseUnusedDraining(pool: string): void {
    for (const replica of this.table.all()) {
      if (replica.pool !== pool || replica.state !== 'draining') continue;
      const {endpoint, target} = replica;
      if (this.inFlightOf(endpoint, target) === 0) this.sendReleased(replica);
    }
  }

  private sendReleased({pool, target, endpoint}: KnownReplica): void {
    const message = {
      kind: 'replica_released',
      pool,
      target,
      endpoint,
    } as const;
    const holder = this.options.leases.holderOf(`pool:${pool}`);
    if (holder === this.options.channel.self.hostId) {
      this.options.localController().receiveReplicaReleased(message);
    } else if (holder !== undefined) {
      this.options.channel.send(holder, message);
    }
  }

  /**
   * Schedules the first report of an interval after a short delay, so that it
   * includes the other requests of a burst.
   */
  private scheduleReport(target: string): void {
    if (this.scheduledReports.has(target)) return;
    this.scheduledReports.add(target);
    const delay = this.options.firstReportDelayMilliseconds ?? 2;
    this.options.clock.startTimer(delay, () => {
      if (!this.abort.signal.aborted) this.report(target);
    });
  }

  private async reportDemand(): Promise<void> {
    const {clock, demandReportIntervalMilliseconds = 250} = this.options;
    const {signal} = this.abort;
    while (!signal.aborted) {
      await sleep(clock, demandReportIntervalMilliseconds, signal);
      if (signal.aborted) return;
      this.scheduledReports.clear();
      for (const target of this.demand.reportableTargets()) this.report(target);
    }
  }

  private report(target: string): void {
    const holder = this.holderOf(target);
    if (holder === undefined) return;
    const {channel, clock, localController} = this.options;
    const now = clock.monotonicMilliseconds();
    const message = this.demand.takeReport(target, now);
    if (message === undefined) return;
    if (holder === channel.self.hostId)
      localController().receiveDemand(message);
    else channel.send(holder, message);
  }

  private holderOf(target: string): string | undefined {
    const pool = this.poolOf(target);
    if (pool === undefined) return undefined;
    return this.options.leases.holderOf(`pool:${pool}`);
  }

  private poolOf(target: string): string | undefined {
    const {models, adapters} = this.options.authority();
    const adapter = adapters.get(target);
    return models.get(adapter?.baseModel ?? target)?.pool;
  }

  private abortedRefusal(): {ok: false; error: RequestError} {
    return this.refusal(
      REQUEST_ERROR_CODES.deadlineExceeded,
      'The caller disconnected before a replica was ready',
    );
  }

  private refusal(
    code: RequestErrorCode,
    message: string,
    retryAfterMilliseconds?: number,
  ): {ok: false; error: RequestError} {
    return failure({
      code,
      message,
      step: REQUEST_STEPS.place,
      run: RUN_STATES.notRun,
      ...(retryAfterMilliseconds === undefined
        ? {}
        : {retryAfterMilliseconds: Math.ceil(retryAfterMilliseconds)}),
    });
  }
}

/** Must exceed the time that the controller needs to poll the engine. */
const MISSING_REPLICA_MILLISECONDS = 1000;

const OVERLOAD_RETRY_MILLISECONDS = 1000;

function replicaKey(endpoint: string, target: string): string {
  return `${endpoint}/${target}`;
}
