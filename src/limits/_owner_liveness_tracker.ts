import type {LeaseHolder} from '../contracts/mod.ts';
import type {PeerObservation} from '../peers/mod.ts';

interface HostRecord {
  connected: {incarnation: string; at: number} | undefined;
  refused: {firstAt: number; lastAt: number} | undefined;
}

/** Collects evidence that the process which holds a lease is gone. */
export class OwnerLivenessTracker {
  private readonly hosts = new Map<string, HostRecord>();

  /** Takes an observation of the peer network. */
  observe(observation: PeerObservation, at: number): void {
    switch (observation.kind) {
      case 'connected': {
        const {hostId, incarnation} = observation.peer;
        const known = this.hosts.get(hostId)?.connected;
        // Several links to one process prove no more than the first.
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
   * Time since which the holder's process is known to be gone.
   *
   * @param holder Process that holds the lease.
   * @param seenAt Time at which this host first saw that lease.
   * @param confirmMilliseconds Time over which refusals must repeat.
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
      // A link from before the lease may belong to a process older than the
      // holder.
      const newer =
        connected.incarnation !== holder.incarnation && connected.at > seenAt;
      return newer ? connected.at : undefined;
    }
    if (refused === undefined) return undefined;
    // One refusal may stem from an attempt made before the holder listened.
    if (refused.lastAt - refused.firstAt < confirmMilliseconds) {
      return undefined;
    }
    return Math.max(refused.firstAt, seenAt);
  }
}
