import {randomUUID} from 'node:crypto';
import type {Container} from 'inversify';
import {type Authority, type Change, ChangeLog} from '../contracts/mod.ts';
import {EndpointClients} from '../endpoints/mod.ts';
import {
  closeGracefully,
  createCallerApplication,
  createOperatorApplication,
  type OperatorChangeResult,
} from '../http/mod.ts';
import {LeaseManager} from '../leases/mod.ts';
import {TeamLimiter} from '../limits/mod.ts';
import {Membership} from '../membership/mod.ts';
import {type EventLogger, Metrics} from '../observability/mod.ts';
import {PeerNetwork} from '../peers/mod.ts';
import {PoolControllers} from '../placement/mod.ts';
import {RequestPath} from '../requests/mod.ts';
import {ReplicaRouter} from '../routing/mod.ts';
import type {Settings} from '../settings/mod.ts';
import {type Clock, sleep, SystemClock} from '../time/mod.ts';
import {AddressDirectory} from './address_directory.ts';
import {createHostContainer} from './host_container.ts';
import {HostContext} from './host_context.ts';
import {HostReports} from './host_reports.ts';
import {
  type AdvertisedAddresses,
  advertisedAddresses,
  type Listeners,
  openListeners,
} from './listeners.ts';
import {Maintenance} from './maintenance.ts';
import {requiredLeaseScopes} from './required_lease_scopes.ts';

/** Options of {@link Host}. */
export interface HostOptions {
  settings: Settings;
  logger: EventLogger;
  /** @default new SystemClock() */
  clock?: Clock;
  /** Identifies this run of the process. @default a random UUID */
  incarnation?: string;
}

/** Time that an operator's change waits to take effect on all hosts. */
const CHANGE_EFFECT_TIMEOUT_MILLISECONDS = 8000;
const LEASE_RELEASE_TIMEOUT_MILLISECONDS = 5000;
/** Time in which the open requests of a stopping host can end. */
const STOP_TIMEOUT_MILLISECONDS = 500;
const DRAIN_POLL_INTERVAL_MILLISECONDS = 50;
/**
 * Share of the drain timeout in which waiting requests may still be sent to an
 * endpoint. The rest is for the requests that endpoints have received.
 */
const DISPATCH_SHARE_OF_DRAIN = 0.5;
/**
 * Contracts expire without a change to the authority, so open requests are
 * also checked at this interval.
 */
const OPEN_REQUEST_CHECK_INTERVAL_MILLISECONDS = 500;
const DEFAULT_MAXIMUM_SERVICE_BODY_BYTES = 1_048_576;

/**
 * One entry host: owns all components and sockets, and shuts down gracefully.
 *
 * @example
 * ```ts
 * const host = await Host.start({settings, logger});
 * await host.drain();
 * ```
 */
export class Host {
  private readonly container: Container;
  private readonly directory: AddressDirectory;
  private readonly reports: HostReports;
  private readonly stopController = new AbortController();
  private drained: Promise<void> | undefined;

  private constructor(
    private readonly context: HostContext,
    private readonly listeners: Listeners,
    /** Addresses that this host advertises to callers, operators and peers. */
    readonly addresses: AdvertisedAddresses,
    private readonly onDrainRequested: () => void,
  ) {
    this.container = createHostContainer(context);
    this.reports = new HostReports(context, this.container, addresses);
    this.directory = new AddressDirectory({
      context,
      changeLog: this.container.get(ChangeLog),
      membership: this.container.get(Membership),
      leases: this.container.get(LeaseManager),
    });
  }

  /** Binds the sockets and starts all components. */
  static async start(options: HostOptions): Promise<Host> {
    const {settings, logger} = options;
    const clock = options.clock ?? new SystemClock();
    const listeners = await openListeners(settings, clock, logger);
    const addresses = advertisedAddresses(settings, listeners);
    const context = new HostContext(settings, clock, logger, new Metrics(), {
      hostId: settings.hostId,
      incarnation: options.incarnation ?? randomUUID(),
      dataCentre: settings.dataCentre,
      peerAddress: addresses.peers,
      callerAddress: addresses.callers,
    });
    const host = new Host(context, listeners, addresses, () => {
      void host.drain();
    });
    await host.run();
    return host;
  }

  /** Resolves once the host has stopped, by a drain or by {@link stop}. */
  readonly stopped = new Promise<void>(resolve => {
    this.stopController.signal.addEventListener('abort', () => resolve());
  });

  /**
   * Shuts down gracefully: withdraws this host from address look-ups, releases
   * its leases, and serves until the look-up responses that list it have
   * expired and every request has ended. Gives up after the drain timeout.
   */
  drain(): Promise<void> {
    this.drained ??= this.runDrain();
    return this.drained;
  }

  /** Stops the host; open requests end with an error. */
  stop(): Promise<void> {
    const {clock} = this.context;
    return this.stopBy(
      clock.monotonicMilliseconds() + STOP_TIMEOUT_MILLISECONDS,
    );
  }

  /** Stops the host and closes connections that are still in use at a time. */
  private async stopBy(closeAt: number): Promise<void> {
    const {clock} = this.context;
    await this.container
      .get(RequestPath)
      .endOpenRequests(STOP_TIMEOUT_MILLISECONDS);
    this.container.get(Maintenance).stop();
    await this.container.get(PoolControllers).stop();
    this.container.get(ReplicaRouter).stop();
    this.container.get(RequestPath).close();
    this.container.get(TeamLimiter).stop();
    this.container.get(LeaseManager).stop();
    this.container.get(Membership).stop();
    await this.container.get(PeerNetwork).stop();
    this.container.get(EndpointClients).retain(new Set());
    const timeoutMilliseconds = Math.max(
      0,
      closeAt - clock.monotonicMilliseconds(),
    );
    await Promise.all(
      [this.listeners.callers, this.listeners.operators].map(server =>
        closeGracefully(server, {clock, timeoutMilliseconds}),
      ),
    );
    this.context.logger.event('hostStopped');
    this.stopController.abort();
  }

  private async run(): Promise<void> {
    const {logger, self, settings} = this.context;
    logger.event('hostStarted', {
      ...this.addresses,
      incarnation: self.incarnation,
      dataCentre: self.dataCentre,
    });
    const network = this.container.get(PeerNetwork);
    network.start(this.listeners.peers);
    network.setAddresses(settings.peers.seeds);
    const changeLog = this.container.get(ChangeLog);
    changeLog.subscribe(() => this.applyAuthority());
    this.container.get(Membership).start();
    this.container.get(LeaseManager).start();
    this.container.get(TeamLimiter).start();
    this.container.get(ReplicaRouter).start();
    this.container.get(PoolControllers).start();
    this.container.get(Maintenance).start();
    this.serve();
    this.applyAuthority();
    void this.checkOpenRequestsPeriodically();
    void this.logReadiness();
    await changeLog.loadSnapshot();
  }

  private serve(): void {
    const {logger, metrics, settings} = this.context;
    const changeLog = this.container.get(ChangeLog);
    const requestPath = this.container.get(RequestPath);
    const {callers} = settings;
    this.listeners.callers.on(
      'request',
      createCallerApplication({
        requestPath,
        metrics,
        clock: this.context.clock,
        updateGauges: () => this.reports.updateGauges(),
        logger,
        maximumBodyBytes: callers.maximumBodyBytes,
        requestTimeoutMilliseconds: callers.requestTimeoutMilliseconds,
        addressTimeToLiveMilliseconds: callers.addressTimeToLiveMilliseconds,
        addresses: (authorization, dataCentre) =>
          this.directory.lookUp(authorization, dataCentre),
        notReadyReason: () => this.notReadyReason(),
        isLeaving: () => this.context.isDraining,
        maximumServiceBodyBytes: service =>
          changeLog.authority.routes.get(service)?.maximumBodyBytes ??
          DEFAULT_MAXIMUM_SERVICE_BODY_BYTES,
      }),
    );
    this.listeners.operators.on(
      'request',
      createOperatorApplication({
        tokenDigests: settings.operators.tokenDigests,
        authority: () => changeLog.authority,
        submit: (changeId, author, change) =>
          this.submit(changeId, author, change),
        status: () => this.reports.status(),
        explainModel: name => this.reports.explainModel(name),
        explainEndpoint: name => this.reports.explainEndpoint(name),
        showRequest: (team, key) => this.reports.showRequest(team, key),
        drain: this.onDrainRequested,
      }),
    );
  }

  /** This host's copy of the authority. */
  get authority(): Authority {
    return this.container.get(ChangeLog).authority;
  }

  /** Resolves once the host accepts requests. */
  async ready(): Promise<void> {
    const {view} = this.container.get(Membership);
    await view.waitUntilConfirmed(this.stopController.signal);
  }

  /** Commits an operator's change and waits up to 8 s for it to take effect. */
  async submit(
    changeId: string,
    author: string,
    change: Change,
  ): Promise<OperatorChangeResult> {
    const changeLog = this.container.get(ChangeLog);
    const result = await changeLog.submit(changeId, author, change);
    if (result.kind !== 'committed') return result;
    const {version} = result;
    const {effect} = this.container.get(Membership);
    const inEffect = await effect.waitUntilInEffect(
      version,
      CHANGE_EFFECT_TIMEOUT_MILLISECONDS,
    );
    return inEffect ? {kind: 'in_effect', version} : result;
  }

  private applyAuthority(): void {
    const {authority} = this.container.get(ChangeLog);
    const membership = this.container.get(Membership);
    this.container
      .get(PeerNetwork)
      .setAddresses([
        ...this.context.settings.peers.seeds,
        ...membership.heartbeats.peerAddresses(),
      ]);
    const leases = this.container.get(LeaseManager);
    const requiredScopes = requiredLeaseScopes(authority);
    if (!this.context.isDraining) {
      for (const scope of requiredScopes) leases.addScope(scope);
    }
    for (const scope of authority.leases.keys()) {
      if (!requiredScopes.has(scope)) leases.removeScope(scope);
    }
    const endpoints = new Set(authority.endpoints.keys());
    this.container.get(EndpointClients).retain(endpoints);
    this.container.get(RequestPath).checkOpenRequests();
  }

  private async checkOpenRequestsPeriodically(): Promise<void> {
    const {signal} = this.stopController;
    while (!signal.aborted) {
      this.container.get(RequestPath).checkOpenRequests();
      await sleep(
        this.context.clock,
        OPEN_REQUEST_CHECK_INTERVAL_MILLISECONDS,
        signal,
      );
    }
  }

  private async logReadiness(): Promise<void> {
    await this.ready();
    if (!this.stopController.signal.aborted)
      this.context.logger.event('hostReady');
  }

  private notReadyReason(): string | undefined {
    if (this.context.isDraining) return 'host_draining';
    const {view} = this.container.get(Membership);
    return view.isConfirmed() ? undefined : 'view_unconfirmed';
  }

  private async runDrain(): Promise<void> {
    const {clock, logger, settings} = this.context;
    const startedAt = clock.monotonicMilliseconds();
    const drainDeadline = startedAt + settings.drainTimeoutMilliseconds;
    const dispatchMilliseconds =
      settings.drainTimeoutMilliseconds * DISPATCH_SHARE_OF_DRAIN;
    const requestPath = this.container.get(RequestPath);
    this.context.isDraining = true;
    logger.event('hostDraining');
    clock.startTimer(dispatchMilliseconds, () => requestPath.stopDispatching());
    await this.container.get(PoolControllers).stop();
    await this.container
      .get(LeaseManager)
      .releaseAll(
        Math.min(LEASE_RELEASE_TIMEOUT_MILLISECONDS, dispatchMilliseconds),
      );
    const serveUntil = this.directory.addressesValidUntil();
    for (;;) {
      const now = clock.monotonicMilliseconds();
      if (now >= serveUntil && requestPath.activeRequests() === 0) break;
      if (now >= drainDeadline - STOP_TIMEOUT_MILLISECONDS) {
        const open = requestPath.activeRequests();
        logger.event('drainTimedOut', {open});
        requestPath.logOpenRequests();
        break;
      }
      await sleep(clock, DRAIN_POLL_INTERVAL_MILLISECONDS);
    }
    await this.stopBy(drainDeadline);
  }
}
