import {LruSet} from '../fleet/mod.ts';

/** Whether requests with a part may run. */
export type PromptPartStatus = 'clear' | 'suspect' | 'blocked';

/** A run that tests suspected parts; one at a time for each of them. */
export interface PromptPartTrial {
  readonly host: string;
  /** Incarnation of the endpoint. */
  readonly endpoint: string;
  /** Monotonic time at which the trial counts as lost. */
  readonly lapsesAt: number;
}

/** A part during which endpoints crashed and which has not run since. */
export interface PromptPartEntry {
  readonly service: string;
  readonly part: string;
  /** Incarnations of the crashed endpoints. */
  readonly crashes: Set<string>;
  /** Whether some host knows an earlier success of the part. */
  hasRun: boolean;
  /** Monotonic time at which the entry is forgotten. */
  expiresAt: number;
  blockedUntil: number;
  /** Number of blocks so far. */
  blockCount: number;
  /** Parts that were blocked together: the crash was due to one of them. */
  group: readonly string[];
  trial: PromptPartTrial | undefined;
}

/** What speaks against a request. */
export interface Examination {
  readonly blocked: PromptPartEntry | undefined;
  /** Entries of the parts that may only run as a trial. */
  readonly suspects: readonly PromptPartEntry[];
  /** Whether a trial of one of the suspects is under way. */
  readonly isTested: boolean;
}

/** Number of crashes from which on a part that never ran is suspected. */
const SUSPICIOUS_CRASHES = 1;

/** The same for a part that ran before. */
const SUSPICIOUS_CRASHES_AFTER_SUCCESS = 2;

/** Time for which an entry is kept after its last crash or the end of its block. */
const RETENTION_MILLISECONDS = 60_000;

/** Duration of the first block; it doubles with each further one. */
const FIRST_BLOCK_MILLISECONDS = 60_000;

const MAXIMUM_BLOCK_MILLISECONDS = 3_600_000;

/** Maximum number of parts with a known success. */
const MAXIMUM_SUCCESSES = 20_000;

/** Maximum number of entries; the oldest is forgotten. */
const MAXIMUM_ENTRIES = 5000;

/** Crashes and successes of prompt parts, as known to one host. */
export class PromptPartTable {
  private readonly entriesByKey = new Map<string, PromptPartEntry>();
  private readonly successes = new LruSet(MAXIMUM_SUCCESSES);

  /** All entries that have not expired. */
  entries(now: number): PromptPartEntry[] {
    for (const [key, entry] of this.entriesByKey) {
      if (entry.expiresAt < now) this.entriesByKey.delete(key);
    }
    return [...this.entriesByKey.values()];
  }

  /** Returns the entry of a part; undefined if nothing speaks against the part. */
  find(
    service: string,
    part: string,
    now: number,
  ): PromptPartEntry | undefined {
    const entry = this.entriesByKey.get(keyOf(service, part));
    if (entry === undefined || entry.expiresAt >= now) return entry;
    this.entriesByKey.delete(keyOf(service, part));
    return undefined;
  }

  /** Returns what speaks against a request with these parts. */
  examine(service: string, parts: readonly string[], now: number): Examination {
    const suspects = this.suspects(service, parts, now);
    return {
      blocked:
        suspects.length === 0 ? undefined : this.findBlock(service, parts, now),
      suspects,
      isTested: suspects.some(({trial}) => isUnderWay(trial, now)),
    };
  }

  /** Whether a trial is under way on an endpoint. */
  hasTrialOn(incarnation: string, now: number): boolean {
    return this.entries(now).some(
      ({trial}) => isUnderWay(trial, now) && trial?.endpoint === incarnation,
    );
  }

  private suspects(
    service: string,
    parts: readonly string[],
    now: number,
  ): PromptPartEntry[] {
    return parts.flatMap(part => {
      const entry = this.find(service, part, now);
      return entry !== undefined && isSuspected(entry) ? [entry] : [];
    });
  }

  /** A block of several parts applies to requests with all of those not cleared. */
  private findBlock(
    service: string,
    parts: readonly string[],
    now: number,
  ): PromptPartEntry | undefined {
    return this.suspects(service, parts, now).find(
      ({blockedUntil, group}) =>
        blockedUntil > now &&
        group.every(
          member =>
            parts.includes(member) ||
            this.find(service, member, now) === undefined,
        ),
    );
  }

  /** Records a crash; returns whether the part has become suspected by it. */
  recordCrash(
    service: string,
    part: string,
    crash: {incarnation: string; hasRun: boolean},
    now: number,
  ): boolean {
    const entry = this.ensureEntry(service, part, now);
    const wasSuspected = isSuspected(entry);
    entry.crashes.add(crash.incarnation);
    entry.hasRun ||= crash.hasRun || this.hasSucceeded(service, part);
    entry.expiresAt = Math.max(entry.expiresAt, now + RETENTION_MILLISECONDS);
    return !wasSuspected && isSuspected(entry);
  }

  /** Records a first event; returns whether this clears a part. */
  recordSuccess(service: string, part: string): boolean {
    this.successes.add(keyOf(service, part));
    return this.forget(service, part);
  }

  /** Removes what speaks against a part; returns whether there was anything. */
  forget(service: string, part: string): boolean {
    return this.entriesByKey.delete(keyOf(service, part));
  }

  hasSucceeded(service: string, part: string): boolean {
    return this.successes.has(keyOf(service, part));
  }

  /** Blocks parts together. */
  block(
    service: string,
    group: readonly string[],
    block: {count: number; milliseconds: number},
    now: number,
  ): void {
    for (const part of group) {
      const entry = this.ensureEntry(service, part, now);
      entry.blockCount = Math.max(entry.blockCount, block.count);
      entry.blockedUntil = Math.max(
        entry.blockedUntil,
        now + block.milliseconds,
      );
      entry.group = group;
      entry.expiresAt = entry.blockedUntil + RETENTION_MILLISECONDS;
    }
  }

  private ensureEntry(
    service: string,
    part: string,
    now: number,
  ): PromptPartEntry {
    const known = this.find(service, part, now);
    if (known !== undefined) return known;
    const [oldest] = this.entriesByKey.keys();
    if (this.entriesByKey.size >= MAXIMUM_ENTRIES && oldest !== undefined)
      this.entriesByKey.delete(oldest);
    const entry: PromptPartEntry = {
      service,
      part,
      crashes: new Set(),
      hasRun: this.hasSucceeded(service, part),
      expiresAt: now + RETENTION_MILLISECONDS,
      blockedUntil: Number.NEGATIVE_INFINITY,
      blockCount: 0,
      group: [],
      trial: undefined,
    };
    this.entriesByKey.set(keyOf(service, part), entry);
    return entry;
  }
}

/**
 * Entries to blame for a crash during a trial. A part that ran before is only
 * blamed if no other part can be; of the others, those with the most crashes.
 */
export function blamedFor(
  suspects: readonly PromptPartEntry[],
): readonly PromptPartEntry[] {
  const unproven = suspects.filter(({hasRun}) => !hasRun);
  const blamable = unproven.length > 0 ? unproven : suspects;
  const most = Math.max(...blamable.map(({crashes}) => crashes.size));
  return blamable.filter(({crashes}) => crashes.size === most);
}

/** Duration of a block. */
export function blockMilliseconds(count: number): number {
  return Math.min(
    MAXIMUM_BLOCK_MILLISECONDS,
    FIRST_BLOCK_MILLISECONDS * 2 ** (count - 1),
  );
}

function isUnderWay(trial: PromptPartTrial | undefined, now: number): boolean {
  return trial !== undefined && trial.lapsesAt > now;
}

function isSuspected({blockCount, crashes, hasRun}: PromptPartEntry): boolean {
  const limit = hasRun ? SUSPICIOUS_CRASHES_AFTER_SUCCESS : SUSPICIOUS_CRASHES;
  return blockCount > 0 || crashes.size >= limit;
}

function keyOf(service: string, part: string): string {
  return `${service} ${part}`;
}
