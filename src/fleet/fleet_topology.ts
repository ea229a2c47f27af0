import {rendezvousOrder} from '../membership/mod.ts';
import type {Clock} from '../time/mod.ts';
import {chooseActiveHosts} from './choose_active_hosts.ts';
import type {HostRegistry} from './host_registry.ts';
import type {HostRow} from './host_row.ts';

/** Options of {@link FleetTopology}. */
export interface FleetTopologyOptions {
  clock: Clock;
  hosts: HostRegistry;
  /** Returns the ids of the hosts that this one is connected to. */
  connected: () => ReadonlySet<string>;
  /** Returns the places of all endpoints. */
  endpointSlots: () => number;
}

/** Time without a connection after which an active host is replaced. */
export const REPLACEMENT_MILLISECONDS = 2000;

/**
 * Time that a standby host waits for a connection to an active host, before it
 * tries twice as many others.
 */
const UPSTREAM_ATTEMPT_MILLISECONDS = 1000;

/**
 * Time after which the host with the larger id also opens a connection that the
 * other one should have opened. The two may disagree on which hosts are active.
 */
const SECOND_DIALER_MILLISECONDS = 1000;

/**
 * Role of this host and its peers.
 *
 * Active hosts carry requests, keep a connection to each other and exchange their
 * load. Each standby host keeps one connection, to an active host that supplies it
 * with changes and counts its requests with its own. Roles follow from the hosts'
 * rows and from the active hosts found to be down, so a lost active host is
 * replaced without an election; two hosts that disagree for a moment only keep
 * some more connections.
 */
export class FleetTopology {
  private active: readonly HostRow[] = [];
  private ownRank: number | undefined;
  private preferred: readonly HostRow[] = [];
  /** Incarnation of each host that was found to be down. */
  private readonly down = new Map<string, string>();
  /** Whether this host has found hosts to be down or has been told which ones are. */
  private knowsDownHosts = false;
  /** Time since which each unconnected host was wanted as a peer. */
  private readonly missingSince = new Map<string, number>();
  private upstreamId: string | undefined;
  /** Number of attempts since this standby host last had an upstream host. */
  private upstreamAttempts = 0;
  private attemptStartedAt: number | undefined;
  /** Inputs of the current {@link active} and {@link preferred}. */
  private computedFrom = '';

  constructor(private readonly options: FleetTopologyOptions) {}

  /** Active hosts in order of rank, including this one if it is active. */
  get activeHosts(): readonly HostRow[] {
    return this.active;
  }

  /** Rank of this host among the active ones; undefined on a standby host. */
  get rank(): number | undefined {
    return this.ownRank;
  }

  /** Whether this host carries requests. */
  get isActive(): boolean {
    return this.rank !== undefined;
  }

  /** Active host that supplies this standby host; undefined on active hosts. */
  get upstream(): string | undefined {
    return this.isActive ? undefined : this.upstreamId;
  }

  /** Number of active hosts if none of them were down. */
  get preferredCount(): number {
    return this.preferred.length;
  }

  /** Ids of the hosts found to be down. */
  get downHosts(): readonly string[] {
    return [...this.down.keys()];
  }

  /** Whether a peer is one of the active hosts. */
  isActiveHost(hostId: string): boolean {
    return this.active.some(host => host.hostId === hostId);
  }

  /**
   * Replaces the hosts found to be down by those that the upstream host reports;
   * a standby host has no connection to notice them itself.
   */
  adoptDownHosts(hostIds: readonly string[]): void {
    this.knowsDownHosts = true;
    this.down.clear();
    for (const hostId of hostIds) {
      const row = this.options.hosts.get(hostId);
      if (row !== undefined) this.down.set(hostId, row.incarnation);
    }
    this.refresh();
  }

  /** Recomputes the roles; called regularly and after each change. */
  refresh(): void {
    this.findDownHosts();
    this.computeActiveHosts();
    this.chooseUpstream();
  }

  /** Addresses to which this host should keep connections open. */
  peerAddresses(): readonly string[] {
    const {clock, hosts} = this.options;
    const ownId = hosts.selfId;
    const now = clock.monotonicMilliseconds();
    return this.wantedPeers()
      .filter(({hostId}) => {
        if (!this.isActive || hostId > ownId) return true;
        const missingSince = this.missingSince.get(hostId) ?? now;
        return now - missingSince >= SECOND_DIALER_MILLISECONDS;
      })
      .map(host => host.peerAddress);
  }

  /**
   * Hosts that callers should use: active ones, without those that an active host
   * cannot reach itself. If none is connected, this host may be cut off, so all
   * of them and this host are returned.
   */
  callerHosts(): readonly HostRow[] {
    const {hosts, connected} = this.options;
    const {self, selfId} = hosts;
    const own = self.state === 'ready' ? [self] : [];
    const others = this.active.filter(({hostId}) => hostId !== selfId);
    const connectedIds = connected();
    if (!this.isActive) {
      const isSupplied =
        this.upstreamId !== undefined && connectedIds.has(this.upstreamId);
      if (!isSupplied || others.length === 0) return [...own, ...others];
      // A standby host that has just started does not know yet which hosts are down.
      return this.knowsDownHosts
        ? others
        : [...own, ...others.filter(({hostId}) => hostId === this.upstreamId)];
    }
    const reachable = others.filter(({hostId}) => connectedIds.has(hostId));
    return [...own, ...(reachable.length > 0 ? reachable : others)];
  }

  /**
   * Hosts that this one wants a connection to. Preferred hosts that are down are
   * tried as well, since this is how their return is noticed.
   */
  private wantedPeers(): readonly HostRow[] {
    if (!this.isActive) {
      const candidates = this.upstreamCandidates();
      return this.active.filter(({hostId}) => candidates.includes(hostId));
    }
    const ownId = this.options.hosts.selfId;
    const wanted = new Map(
      [...this.active, ...this.preferred].map(host => [host.hostId, host]),
    );
    wanted.delete(ownId);
    return [...wanted.values()];
  }

  private findDownHosts(): void {
    const {clock, hosts, connected} = this.options;
    const now = clock.monotonicMilliseconds();
    const connectedIds = connected();
    for (const [hostId, incarnation] of this.down) {
      const hasRestarted = hosts.get(hostId)?.incarnation !== incarnation;
      if (hasRestarted || connectedIds.has(hostId)) this.down.delete(hostId);
    }
    const peers = this.wantedPeers();
    const wanted = new Set(peers.map(({hostId}) => hostId));
    for (const hostId of [...this.missingSince.keys()]) {
      if (!wanted.has(hostId) || connectedIds.has(hostId))
        this.missingSince.delete(hostId);
    }
    for (const {hostId, incarnation} of peers) {
      if (connectedIds.has(hostId)) continue;
      const missingSince = this.missingSince.get(hostId) ?? now;
      this.missingSince.set(hostId, missingSince);
      if (this.isActive && now - missingSince >= REPLACEMENT_MILLISECONDS)
        this.down.set(hostId, incarnation);
    }
  }

  private computeActiveHosts(): void {
    const {hosts, endpointSlots} = this.options;
    // Until the other hosts are known, this one would take itself for the only one.
    if (!hosts.isKnown) return;
    const slots = endpointSlots();
    const inputs = `${hosts.revision} ${hosts.self.state} ${slots} ${this.downHosts.join(' ')}`;
    if (inputs === this.computedFrom) return;
    this.computedFrom = inputs;
    const ready = hosts.all().filter(host => host.state === 'ready');
    this.preferred = chooseActiveHosts(ready, slots);
    this.active =
      this.down.size === 0
        ? this.preferred
        : chooseActiveHosts(
            ready.filter(({hostId}) => !this.down.has(hostId)),
            slots,
          );
    if (this.down.size > 0) this.knowsDownHosts = true;
    const index = this.active.findIndex(({hostId}) => hostId === hosts.selfId);
    this.ownRank = index < 0 ? undefined : index;
  }

  /** Active hosts that a standby host connects to until one has answered. */
  private upstreamCandidates(): readonly string[] {
    if (this.upstreamId !== undefined) return [this.upstreamId];
    return rendezvousOrder(
      this.options.hosts.selfId,
      this.active.map(({hostId}) => hostId),
    ).slice(0, 2 ** this.upstreamAttempts);
  }

  /**
   * Keeps the upstream host while it is active and connected. Otherwise tries
   * more and more active hosts, in an order that differs between hosts, so that a
   * standby host finds one soon even if most of them are lost.
   */
  private chooseUpstream(): void {
    if (this.isActive) {
      this.upstreamId = undefined;
      this.upstreamAttempts = 0;
      this.attemptStartedAt = undefined;
      return;
    }
    const {clock, connected} = this.options;
    const connectedIds = connected();
    const current = this.upstreamId;
    const isUsable =
      current !== undefined &&
      this.isActiveHost(current) &&
      connectedIds.has(current);
    if (!isUsable) this.upstreamId = undefined;
    this.upstreamId ??= this.upstreamCandidates().find(id =>
      connectedIds.has(id),
    );
    if (this.upstreamId !== undefined) {
      this.upstreamAttempts = 0;
      this.attemptStartedAt = undefined;
      return;
    }
    const now = clock.monotonicMilliseconds();
    this.attemptStartedAt ??= now;
    if (now - this.attemptStartedAt < UPSTREAM_ATTEMPT_MILLISECONDS) return;
    const candidates = new Set(this.upstreamCandidates());
    for (const {hostId, incarnation} of this.active) {
      if (candidates.has(hostId)) this.down.set(hostId, incarnation);
    }
    this.upstreamAttempts++;
    this.attemptStartedAt = now;
  }
}
