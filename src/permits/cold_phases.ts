import type {EventLogger} from '../observability/mod.ts';
import type {CancelTimer, Clock} from '../time/mod.ts';

/** Options of {@link ColdPhases}. */
export interface ColdPhasesOptions {
  clock: Clock;
  logger: EventLogger;
  /** Called with the number of cold processes after each change. */
  onCount?: (count: number) => void;
}

/** What a row or a message says of the cold phase of a process. */
export interface ColdObservation {
  readonly incarnation: string;
  /** Requests a second from all hosts while it is cold. */
  readonly ratePerSecond: number;
  /** Time for which it stays cold; 0 if it is warm. */
  readonly milliseconds: number;
}

/** A cold phase that has not ended. */
export interface ColdPhase {
  readonly ratePerSecond: number;
  /** Monotonic time of its end. */
  readonly until: number;
  /** Monotonic time before which this host grants and sends nothing. */
  readonly quietUntil: number;
  /** Whether the phase is only presumed, so that the granter may not know of it. */
  readonly isPresumed: boolean;
}

type Source = 'row' | 'other';

interface Phase {
  ratePerSecond: number;
  until: number;
  quietUntil: number;
  source: Source;
  /** Monotonic time of the last information that was not a row. */
  learnedAt: number;
  cancelTimer: CancelTimer;
}

interface Presumption {
  readonly ratePerSecond: number;
  readonly durationMilliseconds: number;
  failedAt: number;
  until: number;
  cancelTimer: CancelTimer;
}

/**
 * Time without requests after a process is found to be cold that may have got requests as
 * a warm one: the limit holds for any one second.
 */
const QUIET_MILLISECONDS = 1000;

/**
 * Time within which a row that was written earlier may still arrive; hosts must know
 * significant rows within 2 s. Older information in it does not replace newer.
 */
const ROW_DELAY_MILLISECONDS = 2000;

/** Longest time for which a process is presumed cold that gives no answer. */
const MAXIMUM_PRESUMED_MILLISECONDS = 600_000;

/** Maximum number of processes; the least recently added is dropped. */
const MAXIMUM_ENTRIES = 10_000;

/** Extension of a phase that the other hosts must be told of. */
const SIGNIFICANT_EXTENSION_MILLISECONDS = 500;

/**
 * Cold phases of processes. Each ends by this host's clock, and is extended only by new
 * information. Handles engines that were restarted under load: far more requests are sent
 * to them than they take.
 */
export class ColdPhases {
  private readonly phases = new Map<string, Phase>();
  private readonly presumptions = new Map<string, Presumption>();
  private readonly listeners = new Set<(incarnation: string) => void>();

  constructor(private readonly options: ColdPhasesOptions) {}

  /** Calls `listener` when a process is found to be cold. */
  onBegin(listener: (incarnation: string) => void): void {
    this.listeners.add(listener);
  }

  /** The cold phase of a process; undefined if it is warm as far as is known. */
  current(incarnation: string): ColdPhase | undefined {
    const now = this.options.clock.monotonicMilliseconds();
    const phase = this.phases.get(incarnation);
    const presumption = this.presumptions.get(incarnation);
    const isPresumed = presumption !== undefined && presumption.until > now;
    if (phase !== undefined && phase.until > now) {
      const {ratePerSecond, until, quietUntil} = phase;
      return {ratePerSecond, until, quietUntil, isPresumed};
    }
    if (!isPresumed) return undefined;
    const {ratePerSecond, until} = presumption;
    return {ratePerSecond, until, quietUntil: now, isPresumed};
  }

  /**
   * Records a new row of a process.
   *
   * @param isNew Whether no host can have sent requests to the process before.
   */
  recordRow(observation: ColdObservation, isNew: boolean): void {
    const {incarnation, milliseconds} = observation;
    const now = this.options.clock.monotonicMilliseconds();
    const presumption = this.presumptions.get(incarnation);
    // The process has written a row after the failure, so it has not ended.
    if (
      presumption !== undefined &&
      now - presumption.failedAt >= ROW_DELAY_MILLISECONDS
    ) {
      this.endPresumption(incarnation);
    }
    if (milliseconds > 0) {
      this.set(observation, 'row', isNew ? now : undefined);
      return;
    }
    const phase = this.phases.get(incarnation);
    const mayBeOutdated =
      phase?.source === 'other' &&
      now - phase.learnedAt < ROW_DELAY_MILLISECONDS;
    if (!mayBeOutdated) this.end(incarnation);
  }

  /**
   * Records what a process says of itself in a response.
   *
   * @param sentAt Monotonic time at which the request was sent.
   * @returns Whether the other hosts must be told.
   */
  recordResponse(observation: ColdObservation, sentAt: number): boolean {
    const {incarnation, milliseconds} = observation;
    const now = this.options.clock.monotonicMilliseconds();
    const phase = this.phases.get(incarnation);
    if (milliseconds > 0) {
      const extension = now + milliseconds - (phase?.until ?? now);
      this.set(observation, 'other');
      return (
        phase === undefined || extension > SIGNIFICANT_EXTENSION_MILLISECONDS
      );
    }
    // A request that was sent earlier may have been answered before the phase began.
    if (phase !== undefined && sentAt > phase.learnedAt) this.end(incarnation);
    const presumption = this.presumptions.get(incarnation);
    if (presumption !== undefined && sentAt > presumption.failedAt)
      this.endPresumption(incarnation);
    return false;
  }

  /** Records what another host says of a process, which may be late but not early. */
  receive({incarnation, ratePerSecond, milliseconds}: ColdObservation): void {
    const now = this.options.clock.monotonicMilliseconds();
    const remaining = (this.phases.get(incarnation)?.until ?? now) - now;
    if (milliseconds <= Math.max(0, remaining)) return;
    this.set({incarnation, ratePerSecond, milliseconds}, 'other');
  }

  /**
   * Records a failure to connect: the next process under the id may be cold. Its phase
   * begins with the first response at the latest.
   */
  presume(
    incarnation: string,
    terms: {ratePerSecond: number; durationMilliseconds: number},
  ): void {
    const {clock, logger} = this.options;
    const now = clock.monotonicMilliseconds();
    const known = this.presumptions.get(incarnation);
    known?.cancelTimer();
    this.presumptions.delete(incarnation);
    dropOldest(this.presumptions);
    const until = now + MAXIMUM_PRESUMED_MILLISECONDS;
    const presumption = {
      ...terms,
      failedAt: now,
      until,
      cancelTimer: this.startPresumptionTimer(incarnation, until),
    };
    this.presumptions.set(incarnation, presumption);
    if (known !== undefined) return;
    logger.event('endpointPresumedCold', {incarnation});
    this.changed();
  }

  /** Forgets what was presumed of a process that has no row any more. */
  forgetPresumed(incarnation: string): void {
    this.endPresumption(incarnation);
  }

  /** Records that a process has answered a request, with any status. */
  recordAnswer(incarnation: string, sentAt: number): void {
    const presumption = this.presumptions.get(incarnation);
    if (presumption === undefined || sentAt < presumption.failedAt) return;
    const now = this.options.clock.monotonicMilliseconds();
    const until = now + presumption.durationMilliseconds;
    if (until >= presumption.until) return;
    presumption.cancelTimer();
    presumption.until = until;
    presumption.cancelTimer = this.startPresumptionTimer(incarnation, until);
  }

  /** @param quietUntil Replaces the time without requests if it ends earlier. */
  private set(
    {incarnation, ratePerSecond, milliseconds}: ColdObservation,
    source: Source,
    quietUntil?: number,
  ): void {
    const {clock, logger} = this.options;
    const now = clock.monotonicMilliseconds();
    const until = now + milliseconds;
    const known = this.phases.get(incarnation);
    if (known !== undefined && known.until > now) {
      known.ratePerSecond = ratePerSecond;
      known.source = source;
      if (source !== 'row') known.learnedAt = now;
      known.quietUntil = Math.min(known.quietUntil, quietUntil ?? Infinity);
      if (until === known.until) return;
      known.cancelTimer();
      known.until = until;
      known.cancelTimer = this.startTimer(incarnation, until);
      return;
    }
    known?.cancelTimer();
    this.phases.delete(incarnation);
    dropOldest(this.phases);
    this.phases.set(incarnation, {
      ratePerSecond,
      until,
      quietUntil: quietUntil ?? now + QUIET_MILLISECONDS,
      source,
      learnedAt: now,
      cancelTimer: this.startTimer(incarnation, until),
    });
    logger.event('endpointCold', {incarnation, ratePerSecond, milliseconds});
    for (const listener of this.listeners) listener(incarnation);
    this.changed();
  }

  private end(incarnation: string): void {
    const phase = this.phases.get(incarnation);
    if (phase === undefined) return;
    phase.cancelTimer();
    this.phases.delete(incarnation);
    this.options.logger.event('endpointColdEnded', {incarnation});
    this.changed();
  }

  private endPresumption(incarnation: string): void {
    this.presumptions.get(incarnation)?.cancelTimer();
    if (!this.presumptions.delete(incarnation)) return;
    this.options.logger.event('endpointColdEnded', {
      incarnation,
      isPresumed: true,
    });
    this.changed();
  }

  private startTimer(incarnation: string, until: number): CancelTimer {
    const {clock} = this.options;
    const delay = until - clock.monotonicMilliseconds();
    return clock.startTimer(delay, () => this.end(incarnation));
  }

  private startPresumptionTimer(
    incarnation: string,
    until: number,
  ): CancelTimer {
    const {clock} = this.options;
    const delay = until - clock.monotonicMilliseconds();
    return clock.startTimer(delay, () => this.endPresumption(incarnation));
  }

  private changed(): void {
    const cold = new Set([...this.phases.keys(), ...this.presumptions.keys()]);
    this.options.onCount?.(cold.size);
  }
}

function dropOldest(entries: Map<string, {cancelTimer: CancelTimer}>): void {
  const [oldest] = entries;
  if (entries.size < MAXIMUM_ENTRIES || oldest === undefined) return;
  oldest[1].cancelTimer();
  entries.delete(oldest[0]);
}
