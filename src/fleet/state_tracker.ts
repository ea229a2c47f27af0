/** Options of {@link StateTracker}. */
export interface StateTrackerOptions<Entry> {
  /** Identity of an entry. */
  readonly keyOf: (entry: Entry) => string;
  /** Whether receivers that know the first entry need not get the second one. */
  readonly isSame: (reported: Entry, current: Entry) => boolean;
}

/** What has changed in a state since it was last reported. */
export interface StateChanges<Entry> {
  /** Entries that are new or have changed. */
  readonly changed: readonly Entry[];
  /** Entries that are gone, as they were last reported. */
  readonly removed: readonly Entry[];
}

/**
 * Remembers the reported entries of a state, so that a report contains only those
 * that have changed.
 */
export class StateTracker<Entry> {
  private readonly reported = new Map<string, Entry>();

  constructor(private readonly options: StateTrackerOptions<Entry>) {}

  /** Returns the changes of a state without recording them as reported. */
  compare(entries: Iterable<Entry>): StateChanges<Entry> {
    const {keyOf, isSame} = this.options;
    const gone = new Map(this.reported);
    const changed: Entry[] = [];
    for (const entry of entries) {
      const key = keyOf(entry);
      const known = this.reported.get(key);
      gone.delete(key);
      if (known === undefined || !isSame(known, entry)) changed.push(entry);
    }
    return {changed, removed: [...gone.values()]};
  }

  /** Records changes as reported. */
  record({changed, removed}: StateChanges<Entry>): void {
    const {keyOf} = this.options;
    for (const entry of removed) this.reported.delete(keyOf(entry));
    for (const entry of changed) this.reported.set(keyOf(entry), entry);
  }

  /** Returns the changes of a state and records them as reported. */
  update(entries: Iterable<Entry>): StateChanges<Entry> {
    const changes = this.compare(entries);
    this.record(changes);
    return changes;
  }

  /** All entries as they were last reported. */
  entries(): readonly Entry[] {
    return [...this.reported.values()];
  }

  /** Forgets what was reported. */
  clear(): void {
    this.reported.clear();
  }
}

/** Whether a report has changes. */
export function hasChanges({changed, removed}: StateChanges<unknown>): boolean {
  return changed.length > 0 || removed.length > 0;
}
