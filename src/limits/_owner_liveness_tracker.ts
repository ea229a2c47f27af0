import type {LeaseHolder} from '../contracts/mod.ts';
import type {PeerConnectionEvent} from '../peers/mod.ts';

interface HostRecord {
  connected: {incarnation: string; at: number} | undefined;
  refused: {firstAt: number; lastAt: number} | undefined;
}

/**
 * Tracks connections to other hosts to determine when the process that holds a
 * lease has terminated.
 */
export class OwnerLivenessTracker {
  private readonly hosts = new Map<string, HostRecord>();

  /** Records a connection event of the peer network. */
  observe(observation: PeerConnectionEvent, at: number): void {
    switch (observation.kind) {
      case 'connected': {
        const {hostId, incarnation} = observation.peer;
        const known = this.hosts.get(hostId)?.connected;
        // Keeps the time of the first connection to this process.
        if (known?.incarnation === incarnation) return;
        const connected = {incarnation, at};
        this.hosts.set(hostId, {connected, refused: undefined});
        return;
      }
      case 'disconnected': {
        const record = this.hosts.get(observation.peer.hostId);
        if (record?.connected?.incarnation === observation.peer.incarnation) {
          record.connected = undefined;
        }
        return;
      }
      case 'refused': {
        const {hostId} = observation;
        if (hostId === undefined) return;
        const refused = this.hosts.get(hostId)?.refused;
        this.hosts.set(hostId, {
          connected: undefined,
          refused: {firstAt: refused?.firstAt ?? at, lastAt: at},
        });
        return;
      }
    }
  }

  /**
   * Returns the time since which the holder's process is known to have
   * terminated, or undefined if this is not proven.
   *
   * @param holder Process that holds the lease.
   * @param seenAt Time at which this host first saw that lease.
   * @param confirmMilliseconds Minimum time between the first and the latest
   *   refused connection.
   */
  terminatedSince(
    holder: LeaseHolder,
    seenAt: number,
    confirmMilliseconds: number,
  ): number | undefined {
    const record = this.hosts.get(holder.hostId);
    if (record === undefined) return undefined;
    const {connected, refused} = record;
    if (connected !== undefined) {
      // A connection opened before the lease was seen may belong to a process
      // that is older than the holder.
      const newer =
        connected.incarnation !== holder.incarnation && connected.at > seenAt;
      return newer ? connected.at : undefined;
    }
    if (refused === undefined) return undefined;
    // A single refusal may come from an attempt made before the holder started
    // to listen.
    if (refused.lastAt - refused.firstAt < confirmMilliseconds) {
      return undefined;
    }
    return Math.max(refused.firstAt, seenAt);
  }
}
