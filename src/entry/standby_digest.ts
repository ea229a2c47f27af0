import {ReplicaAnnouncer, type ReplicaState} from '../engines/mod.ts';
import {FINAL_HOPS} from '../fleet/mod.ts';
import type {FleetStateExchangeOptions} from './_fleet_state_exchange_options.ts';

/** Interval between digests. */
const INTERVAL_MILLISECONDS = 1000;

/**
 * Supplies the standby hosts of an active host. They get few requests, so a digest of
 * what the active hosts tell each other suffices.
 */
export class StandbyDigest {
  private sentAt = Number.NEGATIVE_INFINITY;
  private readonly announcers = new Map<string, ReplicaAnnouncer>();

  constructor(
    private readonly options: Pick<
      FleetStateExchangeOptions,
      'clock' | 'load' | 'peers' | 'rateLimiter' | 'replicas' | 'topology'
    >,
  ) {}

  /** Sends a digest to all standby hosts when the interval has passed. */
  send(): void {
    const {clock, load, peers, rateLimiter, replicas, topology} = this.options;
    const now = clock.monotonicMilliseconds();
    const isDue = now - this.sentAt >= INTERVAL_MILLISECONDS;
    if (!topology.isActive || !isDue) return;
    this.sentAt = now;
    const standbyHosts = load.standbyHosts();
    if (standbyHosts.length === 0) return;
    peers.sendState(standbyHosts, {
      kind: 'fleet_digest',
      inFlight: load.digestCounts(),
      spent: [...rateLimiter.fleetSpending()],
      downHosts: [...topology.downHosts],
    });
    for (const state of replicas.currentStates())
      this.announcer(state).announce(state);
  }

  /** Sends the complete replicas of all pools to one standby host. */
  sendReplicas(hostId: string): void {
    const {peers, replicas} = this.options;
    for (const state of replicas.currentStates()) {
      const announcement = this.announcer(state).completeAnnouncement(state);
      if (announcement === undefined) continue;
      peers.sendState([hostId], {
        kind: 'replica_state',
        hops: FINAL_HOPS,
        ...announcement,
      });
    }
  }

  private announcer({service}: ReplicaState): ReplicaAnnouncer {
    const {clock, load, peers} = this.options;
    let announcer = this.announcers.get(service);
    if (announcer === undefined) {
      announcer = new ReplicaAnnouncer({
        clock,
        incarnation: `${peers.self.incarnation}/digest`,
        announce: announcement =>
          peers.sendState(load.standbyHosts(), {
            kind: 'replica_state',
            hops: FINAL_HOPS,
            ...announcement,
          }),
      });
      this.announcers.set(service, announcer);
    }
    return announcer;
  }
}
