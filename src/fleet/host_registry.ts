import type {HostRow} from './host_row.ts';

/** Options of {@link HostRegistry}. */
export interface HostRegistryOptions {
  hostId: string;
  /** Returns the row of this host, whose state changes. */
  self: () => HostRow;
}

/** Hosts known from their rows in the store. */
export class HostRegistry {
  private rows = new Map<string, HostRow>();
  private changes = 0;
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

  /** Number that increases with each change of the rows. */
  get revision(): number {
    return this.changes;
  }

  /** Whether the rows have been read. */
  get isKnown(): boolean {
    return this.changes > 0;
  }

  /** Row of this host, with its current state. */
  get self(): HostRow {
    return this.options.self();
  }

  /** Id of this host. */
  get selfId(): string {
    return this.options.hostId;
  }

  /** Number of hosts, including this one. */
  get size(): number {
    return this.rows.size + (this.rows.has(this.selfId) ? 0 : 1);
  }

  /** Row of a host; undefined if it is unknown. */
  get(hostId: string): HostRow | undefined {
    return hostId === this.selfId ? this.self : this.rows.get(hostId);
  }

  /** All hosts, including this one. */
  all(): readonly HostRow[] {
    const others = [...this.rows.values()].filter(
      row => row.hostId !== this.selfId,
    );
    return [this.self, ...others];
  }

  private notify(): void {
    this.changes++;
    for (const listener of this.listeners) listener();
  }
}
