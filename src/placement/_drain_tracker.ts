import type {Authority} from '../contracts/mod.ts';
import type {PeerChannel} from '../peers/mod.ts';
import {replicaKey} from './_eviction.ts';

/** Options of {@link DrainTracker}. */
export interface DrainTrackerOptions {
  authority: () => Authority;
  channel: PeerChannel;
  /** Milliseconds for which a host without a link is waited for. */
  disconnectedHostWaitMilliseconds: number;
  /** Milliseconds after which no request of such a host can be running. */
  maximumRequestMilliseconds: number;
}

/**
 * Tells when all hosts have stopped sending to a draining replica. A linked
 * host is waited for without a bound, since its requests end by their
 * deadlines.
 */
export class DrainTracker {
  /** By replica: hosts that released it. */
  private readonly releases = new Map<string, Set<string>>();
  private readonly stoppedHosts = new Set<string>();
  private readonly unsubscribe: () => void;

  constructor(private readonly options: DrainTrackerOptions) {
    this.unsubscribe = options.channel.onObservation(observation => {
      if (observation.kind === 'connected') {
        this.stoppedHosts.delete(observation.peer.hostId);
      } else if (observation.kind === 'refused') {
        const {hostId} = observation;
        if (hostId !== undefined) this.stoppedHosts.add(hostId);
      }
    });
  }

  /** Stops to observe peers. */
  stop(): void {
    this.unsubscribe();
  }

  /** Starts to wait for the release of a replica. */
  startDrain(endpoint: string, target: string): void {
    this.releases.set(replicaKey({endpoint, target}), new Set());
  }

  /** Records that a host has sent its last request to a replica. */
  recordRelease(endpoint: string, target: string, hostId: string): void {
    this.releases.get(replicaKey({endpoint, target}))?.add(hostId);
  }

  /** Hosts that may still send to a replica, or have requests on it. */
  pendingHosts(
    endpoint: string,
    target: string,
    drainingMilliseconds: number,
    engineIsIdle: boolean,
  ): readonly string[] {
    const released = this.releases.get(replicaKey({endpoint, target}));
    const {authority, channel} = this.options;
    const linked = new Set([
      channel.self.hostId,
      ...channel.connectedPeers().map(peer => peer.hostId),
    ]);
    const hosts = new Set([...linked, ...authority().members.keys()]);
    return [...hosts].filter(host => {
      if (released?.has(host)) return false;
      if (linked.has(host)) return true;
      if (this.stoppedHosts.has(host)) return false;
      const {disconnectedHostWaitMilliseconds, maximumRequestMilliseconds} =
        this.options;
      if (drainingMilliseconds < disconnectedHostWaitMilliseconds) return true;
      return !engineIsIdle && drainingMilliseconds < maximumRequestMilliseconds;
    });
  }
}
