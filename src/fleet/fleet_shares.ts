import type {FleetTopology} from './fleet_topology.ts';
import type {HostRegistry} from './host_registry.ts';

/** Options of {@link FleetShares}. */
export interface FleetSharesOptions {
  topology: FleetTopology;
  hosts: HostRegistry;
  /** Returns the ids of the hosts that this one is connected to. */
  connected: () => ReadonlySet<string>;
}

/**
 * Part of a fixed budget that standby hosts share. They get few requests, but
 * some callers still use them, and a cut-off host may take itself for one.
 */
const STANDBY_PART = 0.1;

/** Parts of fleet-wide budgets that this host may use without asking. */
export class FleetShares {
  constructor(private readonly options: FleetSharesOptions) {}

  /** Share of a budget that all hosts divide among them, such as connections. */
  ofBudget(): number {
    const {topology, hosts} = this.options;
    const active = Math.max(1, topology.activeHosts.length);
    const standby = Math.max(0, hosts.size - active);
    if (!topology.isActive) return STANDBY_PART / Math.max(1, standby);
    return (standby === 0 ? 1 : 1 - STANDBY_PART) / active;
  }

  /**
   * Share of the endpoints' slots whose use by other hosts this one knows of: all of
   * them with reports of others, the equal share of an active host without.
   */
  ofKnownSlots(): number {
    const {topology, hosts, connected} = this.options;
    if (!topology.isActive) return this.ofKnownSpending();
    const connectedIds = connected();
    const hasReports = topology.activeHosts.some(
      ({hostId}) => hostId !== hosts.selfId && connectedIds.has(hostId),
    );
    return hasReports ? 1 : 1 / Math.max(1, topology.preferredCount);
  }

  /**
   * Share of a team's rate whose use this host would know of: that of the active
   * hosts that it receives reports from. A standby host without its upstream host
   * has only its share of the budget.
   */
  ofKnownSpending(): number {
    const {topology, hosts, connected} = this.options;
    const connectedIds = connected();
    if (!topology.isActive) {
      const {upstream} = topology;
      const isSupplied = upstream !== undefined && connectedIds.has(upstream);
      return isSupplied ? 1 : this.ofBudget();
    }
    const known = topology.activeHosts.filter(
      ({hostId}) => hostId === hosts.selfId || connectedIds.has(hostId),
    );
    // A host that is cut off finds all others to be down and itself alone.
    return Math.min(1, known.length / Math.max(1, topology.preferredCount));
  }
}
