import type {SimulatedFleet, SimulatedHost} from './simulated_fleet.ts';

/**
 * Watches a fleet for what must never happen:
 * - two hosts act for one scope at one instant;
 * - a host acts on a version older than one that has been in effect for longer
 *   than the view timeout;
 * - a process goes back to an older version.
 */
export class FleetOracle {
  private readonly provedAt: {version: number; at: number}[] = [];
  private readonly versions = new Map<string, number>();
  /** Instants at which some host acted for a scope. */
  actingCount = 0;

  constructor(
    private readonly fleet: SimulatedFleet,
    private readonly scopes: readonly string[],
    private readonly viewTimeoutMilliseconds: number,
  ) {}

  /** Notes each proof of the host that a version is in effect. */
  watch(host: SimulatedHost): void {
    host.membership.effect.onProgress(version => {
      const at = this.fleet.clock.monotonicMilliseconds();
      this.provedAt.push({version, at});
    });
  }

  /**
   * Checks this instant.
   *
   * @throws {Error} When a property does not hold.
   */
  check(): void {
    const running = [...this.fleet.hosts.values()].filter(
      host => host.clock.isRunning,
    );
    for (const scope of this.scopes) {
      const acting = running.filter(
        host => host.leases.actingEpoch(scope) !== undefined,
      );
      this.actingCount += acting.length;
      if (acting.length < 2) continue;
      const names = acting.map(host => host.incarnation).join(' and ');
      throw new Error(`${names} act for ${scope} at one instant`);
    }
    const now = this.fleet.clock.monotonicMilliseconds();
    const binding = this.provedAt
      .filter(proof => now - proof.at > this.viewTimeoutMilliseconds)
      .reduce((latest, proof) => Math.max(latest, proof.version), 0);
    for (const host of running) {
      const {version} = host.changeLog.authority;
      const before = this.versions.get(host.incarnation) ?? 0;
      this.versions.set(host.incarnation, version);
      if (version < before) {
        throw new Error(
          `${host.incarnation} went back from version ${before} to ${version}`,
        );
      }
      if (version < binding && host.membership.view.isConfirmed()) {
        throw new Error(
          `${host.incarnation} acts on version ${version} after ${binding} was in effect`,
        );
      }
    }
  }
}
