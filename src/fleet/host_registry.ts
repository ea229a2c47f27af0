import type {HostRow} from './host_row.ts';

/** Options of {@link HostRegistry}. */
export interface HostRegistryOptions {
  /** Row of this host; read for each answer. */
  self: () => HostRow;
  /** Ids of the hosts with an open link to this one. */
  connected: () => ReadonlySet<string>;
}

/** Hosts by their rows in the store and their links. */
export class HostRegistry {
  private rows = new Map<string, HostRow>();
  private readonly listeners = new Set<() => void>();

  constructor(private readonly options: HostRegistryOptions) {}

  /** Takes all rows of the table. */
  applySnapshot(rows: Iterable<HostRow>): void {
    this.rows = new Map([...rows].map(row => [row.hostId, row]));
    this.notify();
  }

  /** Takes changed rows; undefined removes a host. */
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

  /** Hosts in the store besides this one. */
  others(): readonly HostRow[] {
    const {hostId} = this.options.self();
    return [...this.rows.values()].filter(row => row.hostId !== hostId);
  }

  /** Hosts in the store, this one included. */
  get size(): number {
    return this.others().length + 1;
  }

  /**
   * Hosts that callers should use. A host without a link to this one has
   * probably stopped, but a host that is cut off from all others cannot tell
   * and names all of them.
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
