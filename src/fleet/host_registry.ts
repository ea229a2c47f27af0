import type {HostRow} from './host_row.ts';

/** Options of {@link HostRegistry}. */
export interface HostRegistryOptions {
  /** Returns the row of this host; called for each query. */
  self: () => HostRow;
  /** Returns the ids of the hosts that this one is connected to. */
  connected: () => ReadonlySet<string>;
}

/** Hosts known from their rows in the store, and whether they are connected. */
export class HostRegistry {
  private rows = new Map<string, HostRow>();
  private readonly listeners = new Set<() => void>();

  constructor(private readonly options: HostRegistryOptions) {}

  /** Applies all rows of the table. */
  applySnapshot(rows: Iterable<HostRow>): void {
    this.rows = new Map([...rows].map(row => [row.hostId, row]));
    this.notify();
  }

  /** Applies changed rows; undefined removes a host. */
  applyChanges(rows: ReadonlyMap<string, HostRow | undefined>): void {
    for (const [hostId, row] of rows) {
      if (row === undefined) this.rows.delete(hostId);
      else this.rows.set(hostId, row);
    }
    this.notify();
  }

  /** Calls `listener` after each change. */
  onChange(listener: () => void): void {
    this.listeners.add(listener);
  }

  /** Hosts in the store except this one. */
  others(): readonly HostRow[] {
    const {hostId} = this.options.self();
    return [...this.rows.values()].filter(row => row.hostId !== hostId);
  }

  /** Number of hosts in the store, including this one. */
  get size(): number {
    return this.others().length + 1;
  }

  /**
   * Hosts that callers should use. A host that is not connected to this one has
   * probably stopped and is omitted. If no other ready host is connected,
   * this host may itself be cut off, so all ready hosts are returned.
   */
  callerHosts(): readonly HostRow[] {
    const self = this.options.self();
    const connected = this.options.connected();
    const others = this.others().filter(row => row.state === 'ready');
    const reachable = others.filter(row => connected.has(row.hostId));
    const known = reachable.length > 0 ? reachable : others;
    return self.state === 'ready' ? [self, ...known] : known;
  }

  private notify(): void {
    for (const listener of this.listeners) listener();
  }
}
