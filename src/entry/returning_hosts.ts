import type {HostRegistry} from '../fleet/mod.ts';
import type {StoreEra} from '../stores/mod.ts';
import type {Clock} from '../time/mod.ts';

/** Options of {@link ReturningHosts}. */
export interface ReturningHostsOptions {
  clock: Clock;
  storeEra: StoreEra;
  hosts: HostRegistry;
  /** Whether this host has a connection to another one. */
  isConnected: (hostId: string) => boolean;
}

/**
 * Time after the store came back from an older copy by which each host that runs has
 * written its row again.
 */
const RETURN_MILLISECONDS = 10_000;

/**
 * Forgets hosts whose rows only came back with an older copy of the store. They have
 * left in the seconds that the store has lost, and nobody removes their rows again.
 */
export class ReturningHosts {
  private isExpecting = false;

  constructor(private readonly options: ReturningHostsOptions) {}

  /**
   * Gives the hosts with a row of an older era time to write it again; called when the
   * whole table has been read.
   */
  expect(): void {
    if (this.isExpecting || this.outdatedHosts().length === 0) return;
    this.isExpecting = true;
    this.options.clock.startTimer(RETURN_MILLISECONDS, () => {
      this.isExpecting = false;
      this.options.hosts.applyChanges(
        new Map(this.outdatedHosts().map(hostId => [hostId, undefined])),
      );
    });
  }

  private outdatedHosts(): readonly string[] {
    const {hosts, storeEra, isConnected} = this.options;
    return hosts
      .all()
      .filter(({hostId}) => hostId !== hosts.selfId && !isConnected(hostId))
      .filter(row => row.storeEra < storeEra.current)
      .map(({hostId}) => hostId);
  }
}
