import type {Container} from 'inversify';
import {EndpointRouter} from '../engines/mod.ts';
import {
  EndpointRegistry,
  FleetShares,
  FleetTopology,
  HostRegistry,
} from '../fleet/mod.ts';
import {EventLoopMonitor} from '../observability/mod.ts';
import {PeerNetwork} from '../peers/mod.ts';
import {DispatchWindow, RequestRelay} from '../relay/mod.ts';
import {sleep} from '../time/mod.ts';
import {StreamOrigins} from '../streams/mod.ts';
import {createEntryContainer, type EntryContext} from './entry_container.ts';
import {EntryListeners} from './entry_listeners.ts';
import {EntryState} from './entry_state.ts';
import {FleetStateExchange} from './fleet_state_exchange.ts';
import {HostRegistration} from './host_registration.ts';
import {PeerTraffic} from './peer_traffic.ts';
import {PoolSupervisor} from './pool_supervisor.ts';
import {StoreFollowers} from './store_followers.ts';

/** Callers may cache a resolved address for up to three times its lifetime. */
const STALE_ADDRESS_FACTOR = 3;

/** Part of the grace period that is reserved for closing down. */
const CLOSING_MILLISECONDS = 700;

/** Part of the grace period that is reserved for the exit of the process. */
const EXIT_MILLISECONDS = 100;

/** Maximum fraction of the grace period that is reserved for closing down. */
const CLOSING_FRACTION = 0.25;

/**
 * Maximum fraction of the grace period in which requests are still sent to
 * endpoints. The rest is left for them to finish.
 */
const DISPATCH_FRACTION = 0.45;

/** Interval at which lost connections of active hosts are checked. */
const TOPOLOGY_INTERVAL_MILLISECONDS = 500;

/** Interval between log lines on the traffic with peers. */
const TRAFFIC_LOG_MILLISECONDS = 10_000;

const DRAIN_CHECK_MILLISECONDS = 100;

/** An entry host on a platform: forwards requests and manages engine pools. */
export class EntryHost {
  private readonly container: Container;
  private drained: Promise<void> | undefined;
  private hasStopped = false;
  /** Share of the endpoints' connections for which limits are set. */
  private connectionShare: number | undefined;

  private constructor(private readonly context: EntryContext) {
    this.container = createEntryContainer(context);
  }

  /** Starts a host; it becomes ready once it has a configuration. */
  static start(context: EntryContext): Promise<EntryHost>;
  /**
   * @param stop Ends the start.
   * @returns The host; undefined if it was stopped before it had started.
   */
  static start(
    context: EntryContext,
    stop: AbortSignal,
  ): Promise<EntryHost | undefined>;
  static async start(
    context: EntryContext,
    stop?: AbortSignal,
  ): Promise<EntryHost | undefined> {
    const host = new EntryHost(context);
    const hasStarted = await host.startComponents(stop);
    return hasStarted ? host : undefined;
  }

  /**
   * Drains the host: finishes open requests within the grace period and stops.
   * Further calls return the same promise.
   */
  drain(): Promise<void> {
    this.drained ??= this.runDrain();
    return this.drained;
  }

  private async runDrain(): Promise<void> {
    const {clock, settings, logger} = this.context;
    const state = this.container.get(EntryState);
    const relay = this.container.get(RequestRelay);
    const startedAt = clock.monotonicMilliseconds();
    const elapsed = () => clock.monotonicMilliseconds() - startedAt;
    const grace = settings.graceSeconds * 1000;
    const closingMilliseconds = Math.min(
      CLOSING_MILLISECONDS,
      grace * CLOSING_FRACTION,
    );
    state.isDraining = true;
    logger.event('hostDraining', {open: relay.openRequestCount, grace});
    const registration = this.container.get(HostRegistration);
    const staleAddressMilliseconds =
      settings.addressLifetimeMilliseconds * STALE_ADDRESS_FACTOR;
    const dispatchMilliseconds = Math.min(
      grace * DISPATCH_FRACTION,
      staleAddressMilliseconds,
    );
    const dispatchWindow = this.container.get(DispatchWindow);
    dispatchWindow.close({
      closesAt: startedAt + dispatchMilliseconds,
      runsEndAt: startedAt + grace - closingMilliseconds,
    });
    this.container.get(EndpointRouter).recheckWaiting();
    void registration.register();
    this.container.get(FleetStateExchange).report();
    void this.container.get(PoolSupervisor).stop();
    while (elapsed() < grace - closingMilliseconds) {
      if (elapsed() > staleAddressMilliseconds && relay.openRequestCount === 0)
        break;
      await sleep(clock, DRAIN_CHECK_MILLISECONDS);
    }
    if (relay.openRequestCount > 0) {
      logger.event('drainTimedOut', {open: relay.openRequestCount});
    }
    const now = clock.monotonicMilliseconds();
    dispatchWindow.close({closesAt: now, runsEndAt: now});
    relay.endUnansweredRequests();
    const lastWrites = Promise.all([
      registration.deregister(),
      this.container.get(StreamOrigins).close(),
    ]);
    await Promise.all([
      Promise.race([lastWrites, sleep(clock, closingMilliseconds / 2)]),
      this.container
        .get(EntryListeners)
        .close(grace - EXIT_MILLISECONDS - elapsed()),
    ]);
    this.hasStopped = true;
    this.container.get(StoreFollowers).stop();
    this.container.get(FleetStateExchange).stop();
    this.container.get(EventLoopMonitor).stop();
    logger.event('hostStopped', {elapsed: Math.round(elapsed())});
  }

  /** @returns Whether the host has started; false if it was stopped before. */
  private async startComponents(stop?: AbortSignal): Promise<boolean> {
    const {clock, settings, logger} = this.context;
    const peers = this.container.get(PeerNetwork);
    const hosts = this.container.get(HostRegistry);
    const listeners = this.container.get(EntryListeners);
    const [server] = await Promise.all([
      PeerNetwork.listen({
        address: settings.address,
        port: settings.peerPort,
        clock,
        logger,
        stop,
      }),
      listeners.listen(stop),
    ]);
    if (stop?.aborted === true) {
      await listeners.close(settings.graceSeconds * 1000 - EXIT_MILLISECONDS);
      return false;
    }
    peers.start(server);
    hosts.onChange(() => this.updateTopology());
    peers.onConnectionEvent(() => this.updateTopology());
    void this.keepTopologyCurrent();
    this.container.get(StoreFollowers).start();
    void this.container.get(HostRegistration).register();
    void this.container.get(FleetStateExchange).run();
    void this.container.get(EventLoopMonitor).run();
    logger.event('hostStarted', {
      incarnation: peers.self.incarnation,
      callers: settings.callers,
      isFirstStart: settings.isFirstStart,
    });
    return true;
  }

  /** Recomputes the roles of the hosts and connects to the peers they imply. */
  private updateTopology(): void {
    const topology = this.container.get(FleetTopology);
    topology.refresh();
    this.container.get(PeerNetwork).setAddresses(topology.peerAddresses());
    const share = this.container.get(FleetShares).ofBudget();
    if (share === this.connectionShare) return;
    this.connectionShare = share;
    this.container.get(EndpointRegistry).updateConnectionLimits();
  }

  private async keepTopologyCurrent(): Promise<void> {
    const {clock} = this.context;
    let loggedAt = clock.monotonicMilliseconds();
    while (!this.hasStopped) {
      this.updateTopology();
      this.container
        .get(PeerTraffic)
        .observeQueue(this.container.get(PeerNetwork).queuedBytes);
      const now = clock.monotonicMilliseconds();
      if (now - loggedAt >= TRAFFIC_LOG_MILLISECONDS) {
        loggedAt = now;
        this.logTraffic();
      }
      await sleep(clock, TOPOLOGY_INTERVAL_MILLISECONDS);
    }
  }

  private logTraffic(): void {
    const topology = this.container.get(FleetTopology);
    this.context.logger.event('peerTraffic', {
      rank: topology.rank,
      upstream: topology.upstream,
      peers: this.container.get(PeerNetwork).connectedPeers().length,
      downHosts: topology.downHosts,
      ...this.container.get(PeerTraffic).take(),
    });
  }
}
