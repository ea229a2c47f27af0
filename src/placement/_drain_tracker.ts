import type {Authority} from '../contracts/mod.ts';
import type {PeerChannel} from '../peers/mod.ts';
import {replicaKey} from './_eviction.ts';

/** Options of {@link DrainTracker}. */
export interface DrainTrackerOptions {
  authority: () => Authority;
  channel: PeerChannel;
  /**
   * Milliseconds to wait for a host that is not connected, even if the engine
   * is idle.
   */
  disconnectedHostWaitMilliseconds: number;
  /** Milliseconds after which requests of such a host must have ended. */
  maximumRequestMilliseconds: number;
}

/**
 * Tracks which hosts may still use a draining replica. There is no time limit
 * for a connected host, since its requests end by their deadlines.
 */
export class DrainTracker {
  /** By replica: hosts that released it since its drain started. */
  private readonly releases = new Map<string, Set<string>>();
  private readonly stoppedHosts = new Set<string>();
  private readonly unsubscribe: () => void;

  constructor(private readonly options: DrainTrackerOptions) {
    this.unsubscribe = options.channel.onConnectionEvent(observation => {
      if (observation.kind === 'connected') {
        this.stoppedHosts.delete(observation.peer.hostId);
      } else if (observation.kind === 'refused') {
        const {hostId} = observation;
        if (hostId !== undefined) this.stoppedHosts.add(hostId);
      }
    });
  }

  /** Stops observing peers. */
  stop(): void {
    this.unsubscribe();
  }

  /** Starts waiting for all hosts to release a replica. */
  startDrain(endpoint: string, target: string): void {
    this.releases.set(replicaKey({endpoint, target}), new Set());
  }

  /** Records that a host no longer uses a replica. */
  recordRelease(endpoint: string, target: string, hostId: string): void {
    this.releases.get(replicaKey({endpoint, target}))?.add(hostId);
  }

  /**
   * Hosts that may still send requests to a replica or have some running on it.
   *
   * @param engineIsIdle Whether the engine reports no running or queued work.
   */
  pendingHosts(
    endpoint: string,
    target: string,
    drainingMilliseconds: number,
    engineIsIdle: boolean,
  ): readonly string[] {
    const released = this.releases.get(replicaKey({endpoint, target}));
    const {authority, channel} = this.options;
    const connected = new Set([
      channel.self.hostId,
      ...channel.connectedPeers().map(peer => peer.hostId),
    ]);
    const hosts = new Set([...connected, ...authority().members.keys()]);
    return [...hosts].filter(host => {
      if (released?.has(host)) return false;
      if (connected.has(host)) return true;
      if (this.stoppedHosts.has(host)) return false;
      const {disconnectedHostWaitMilliseconds, maximumRequestMilliseconds} =
        this.options;
      if (drainingMilliseconds < disconnectedHostWaitMilliseconds) return true;
      return !engineIsIdle && drainingMilliseconds < maximumRequestMilliseconds;
    });
  }
}
