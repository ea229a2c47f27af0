import {StateTracker} from '../fleet/mod.ts';
import type {Clock} from '../time/mod.ts';
import type {EngineState} from './engine_state.ts';
import type {LoadForecast} from './forecast_loads.ts';
import type {LeaseRenewal} from './lease_renewal.ts';
import type {ReplicaAnnouncement} from './replica_map.ts';
import type {ReplicaState} from './replica_state.ts';

/** Input of {@link describeReplicas}. */
export interface ReplicaDescription {
  readonly service: string;
  readonly epoch: number;
  readonly renewal: LeaseRenewal | undefined;
  readonly engines: readonly EngineState[];
  readonly forecast: LoadForecast;
  /** Monotonic time of the forecast. */
  readonly forecastAt: number;
  readonly now: number;
}

/** Complete state of a pool, as its manager knows it. */
export function describeReplicas(input: ReplicaDescription): ReplicaState {
  const {service, epoch, renewal, engines, forecast, forecastAt, now} = input;
  const expected = new Map(forecast.readyIn);
  for (const {pending} of engines) {
    if (pending?.operation !== 'load') continue;
    expected.set(pending.model, Math.max(0, pending.expectedAt - now));
  }
  return {
    service,
    epoch,
    ...(renewal === undefined ? {} : {renewal}),
    engines: engines.map(engine => ({
      endpoint: engine.record.id,
      startedAt: engine.record.startedAt,
      targets: engine.availableTargets(),
      ...(engine.ordersAccepted === undefined
        ? {}
        : {ordersAccepted: engine.ordersAccepted}),
    })),
    expected: [...expected].map(([target, readyInMilliseconds]) => ({
      target,
      readyInMilliseconds,
    })),
    remoteOnly: {
      models: [...forecast.remoteOnly],
      readyInMilliseconds: forecast.remoteReadyIn - (now - forecastAt),
    },
  };
}

/** Options of {@link ReplicaAnnouncer}. */
export interface ReplicaAnnouncerOptions {
  clock: Clock;
  /** Identity of this process. */
  incarnation: string;
  /** Sends an announcement to all hosts, including this one. */
  announce: (announcement: ReplicaAnnouncement) => void;
  /** Called when a change that came too soon after another one can be announced. */
  onDue?: () => void;
}

/** Interval at which unchanged announcements are repeated as a sign of life. */
const ANNOUNCEMENT_MILLISECONDS = 500;

/**
 * Interval at which changed expectations alone are announced. With many awaited
 * models they change in each round, and each host gets each announcement.
 */
const EXPECTATION_MILLISECONDS = 250;

/** Mean interval of announcements while engines change many times a second. */
const SUSTAINED_INTERVAL_MILLISECONDS = 100;

/**
 * Announcements that may follow each other without a pause. A request that waits for
 * an adapter, which loads in milliseconds, is sent as soon as its host is told.
 */
const ANNOUNCEMENT_BURST = 5;

/**
 * Change of the time at which a target is expected that is not announced. Much
 * shorter than a load.
 */
const EXPECTATION_TOLERANCE_MILLISECONDS = 300;

interface Expectation {
  readonly target: string;
  /** Monotonic time at which the target is expected to be ready. */
  readonly readyAt: number;
}

/** Announces what has changed in a pool since the last announcement. */
export class ReplicaAnnouncer {
  private announcedAt = Number.NEGATIVE_INFINITY;
  /** Time at which all announcements so far would have been sent at an even pace. */
  private pacedAt = Number.NEGATIVE_INFINITY;
  private sequence = 0;
  private isComplete = true;
  private isDueScheduled = false;
  private readonly engines = new StateTracker<ReplicaState['engines'][number]>({
    keyOf: ({endpoint}) => endpoint,
    isSame: (reported, current) =>
      reported.startedAt === current.startedAt &&
      reported.ordersAccepted === current.ordersAccepted &&
      reported.targets.join(' ') === current.targets.join(' '),
  });
  private readonly expectations = new StateTracker<Expectation>({
    keyOf: ({target}) => target,
    isSame: (reported, current) =>
      Math.abs(reported.readyAt - current.readyAt) <=
      EXPECTATION_TOLERANCE_MILLISECONDS,
  });
  private readonly remoteModels = new StateTracker<string>({
    keyOf: model => model,
    isSame: () => true,
  });

  constructor(private readonly options: ReplicaAnnouncerOptions) {}

  /** Forgets what was announced, so that the next announcement is complete. */
  reset(): void {
    this.isComplete = true;
    this.engines.clear();
    this.expectations.clear();
    this.remoteModels.clear();
  }

  /**
   * Announces what has changed, or nothing but a sign of life when the interval is
   * over. Changes that come too soon after many others wait.
   */
  announce(state: ReplicaState): void {
    const now = this.options.clock.monotonicMilliseconds();
    const engines = this.engines.compare(state.engines);
    const expectations = this.expectations.compare(expectationsOf(state, now));
    const models = this.remoteModels.compare(state.remoteOnly.models);
    const haveTargetsChanged = [expectations, models].some(
      ({changed, removed}) => changed.length > 0 || removed.length > 0,
    );
    const areEnginesChanged = engines.changed.length > 0;
    const interval = haveTargetsChanged
      ? EXPECTATION_MILLISECONDS
      : ANNOUNCEMENT_MILLISECONDS;
    const dueAt = areEnginesChanged
      ? this.pacedAt - ANNOUNCEMENT_BURST * SUSTAINED_INTERVAL_MILLISECONDS
      : this.announcedAt + interval;
    if (now < dueAt) {
      if (areEnginesChanged) this.scheduleDue(dueAt - now);
      return;
    }
    this.announcedAt = now;
    this.pacedAt =
      Math.max(now, this.pacedAt) + SUSTAINED_INTERVAL_MILLISECONDS;
    this.engines.record(engines);
    this.expectations.record(expectations);
    this.remoteModels.record(models);
    const afterSequence = this.isComplete ? {} : {afterSequence: this.sequence};
    this.isComplete = false;
    this.sequence++;
    this.options.announce({
      ...this.head(state),
      ...afterSequence,
      engines: [...engines.changed],
      expected: expectations.changed.map(expectation =>
        encodeExpectation(expectation, now),
      ),
      unexpected: expectations.removed.map(({target}) => target),
      remoteOnly: {
        added: [...models.changed],
        removed: [...models.removed],
        readyInMilliseconds: state.remoteOnly.readyInMilliseconds,
      },
    });
  }

  /**
   * What was announced so far, for a host that has just connected or misses changes;
   * undefined before the first announcement.
   *
   * @param state The current state. Later changes are relative to what was announced,
   *     so only its lease and times are used.
   */
  completeAnnouncement(state: ReplicaState): ReplicaAnnouncement | undefined {
    if (this.isComplete) return undefined;
    const now = this.options.clock.monotonicMilliseconds();
    return {
      ...this.head(state),
      engines: [...this.engines.entries()],
      expected: this.expectations
        .entries()
        .map(expectation => encodeExpectation(expectation, now)),
      unexpected: [],
      remoteOnly: {
        added: [...this.remoteModels.entries()],
        removed: [],
        readyInMilliseconds: state.remoteOnly.readyInMilliseconds,
      },
    };
  }

  private head({service, epoch, renewal}: ReplicaState) {
    return {
      service,
      epoch,
      announcer: this.options.incarnation,
      sequence: this.sequence,
      ...(renewal === undefined ? {} : {renewal}),
    };
  }

  private scheduleDue(milliseconds: number): void {
    const {clock, onDue} = this.options;
    if (this.isDueScheduled || onDue === undefined) return;
    this.isDueScheduled = true;
    clock.startTimer(milliseconds, () => {
      this.isDueScheduled = false;
      onDue();
    });
  }
}

function expectationsOf(
  {expected}: ReplicaState,
  now: number,
): readonly Expectation[] {
  return expected.map(({target, readyInMilliseconds}) => ({
    target,
    readyAt: now + readyInMilliseconds,
  }));
}

function encodeExpectation({target, readyAt}: Expectation, now: number) {
  return {target, readyInMilliseconds: Math.round(readyAt - now)};
}
