import {unreachable} from '../errors/mod.ts';
import type {Endpoint, EndpointRegistry, WaitingCount} from '../fleet/mod.ts';
import type {EventLogger, Metrics} from '../observability/mod.ts';
import {type RoutedRequest, targetOf} from '../relay/mod.ts';
import type {CancelTimer, Clock} from '../time/mod.ts';
import {AdmissionLog} from './_admission_log.ts';
import {Reservations} from './_reservations.ts';
import {
  admissionLevel,
  type AdmissionTerms,
  isUrgent,
  reachesLevelAt,
} from './admission_level.ts';
import type {AdmissionOutcome, RefusalReason} from './admission_outcome.ts';
import {PlaceEstimate} from './place_estimate.ts';
import {RETURN_SHARE, ReturnSchedule} from './return_schedule.ts';
import {RoomShare} from './room_share.ts';
import {WaitingQueue} from './waiting_queue.ts';

/** Options of {@link OrderedAdmission}. */
export interface OrderedAdmissionOptions {
  clock: Clock;
  logger: EventLogger;
  metrics: Metrics;
  registry: Pick<EndpointRegistry, 'all' | 'observe'>;
  hostId: string;
  /** Share of this host among those that send requests, 0 to 1. */
  evenShare: () => number;
  /** Share of the slots whose use this host knows of, 0 to 1. */
  slotShare: () => number;
  /** Engines that have a target and take requests now. */
  holders: (service: string, target: string) => readonly Endpoint[];
  /** Expected milliseconds of a run; 0 if that is not known. */
  expectedMilliseconds: (request: RoutedRequest) => number;
  /** Time until which a request may be sent. */
  lastStartAt: (request: RoutedRequest) => number;
  /** Time from which a request is left to other hosts; Infinity unless this host stops. */
  hostLimit: (request: RoutedRequest) => number;
}

/** A request that asks for room. */
export interface AdmissionCandidate {
  readonly request: RoutedRequest;
  readonly signal: AbortSignal;
  /** Whether the request may be sent to an endpoint. */
  readonly isAllowed: (endpoint: Endpoint) => boolean;
  /** Chooses one of several endpoints that have room. */
  readonly choose: (endpoints: readonly Endpoint[]) => Endpoint | undefined;
}

interface Waiting {
  readonly candidate: AdmissionCandidate;
  readonly service: string;
  readonly team: string;
  readonly target: string;
  /** Replaced when the time of the request changes. */
  terms: AdmissionTerms;
  readonly since: number;
  readonly settle: (outcome: AdmissionOutcome) => void;
}

/** Expected duration of a run before any has ended; runs took 1.4 to 3 s. */
const DEFAULT_RUN_MILLISECONDS = 2000;

/**
 * Holds requests for loaded models back while the engines are full, and sends them in
 * an order that all hosts share, although each host decides alone: a request is sent
 * when the occupancy of an engine is below its admission level.
 *
 * For load above the capacity of the engines. State is in memory only; waiting requests
 * have not been sent, so nothing is lost or repeated when the host ends.
 */
export class OrderedAdmission {
  private readonly queue = new WaitingQueue<Waiting>();
  private readonly room: RoomShare;
  private readonly places = new PlaceEstimate();
  private readonly returns = new ReturnSchedule();
  private readonly reservations = new Reservations();
  private readonly log: AdmissionLog;
  private cancelTimer: CancelTimer = () => undefined;

  constructor(private readonly options: OrderedAdmissionOptions) {
    this.room = new RoomShare(options);
    this.log = new AdmissionLog(options);
    options.registry.observe({
      begun: endpoint => this.reservations.end(endpoint),
      ended: endpoint => {
        this.places.recordEnd(endpoint, this.now());
        this.admitWaiting();
      },
    });
  }

  /** Waits until a request may be sent to one of the engines that have its target. */
  waitForRoom(candidate: AdmissionCandidate): Promise<AdmissionOutcome> {
    const {request, signal} = candidate;
    if (signal.aborted) return Promise.resolve({kind: 'aborted'});
    const target = targetOf(request.metadata);
    const holders = this.options.holders(request.service.name, target);
    if (!holders.some(candidate.isAllowed))
      return Promise.resolve({kind: 'no_candidate'});
    return new Promise(resolve => {
      const abort = () => entry.settle({kind: 'aborted'});
      const entry: Waiting = {
        candidate,
        service: request.service.name,
        team: request.team ?? '',
        target,
        terms: this.termsOf(request),
        since: this.now(),
        settle: outcome => {
          if (!this.queue.delete(entry)) return;
          signal.removeEventListener('abort', abort);
          this.recordEnd(entry, outcome);
          resolve(outcome);
        },
      };
      signal.addEventListener('abort', abort, {once: true});
      this.queue.add(entry);
      this.admitWaiting(entry);
      this.refuseWhatIsTooMuch(entry);
      this.log.waiting(this.queue.size);
    });
  }

  /** Gives a slot back that was reserved for an admitted request. */
  release(endpoint: Endpoint): void {
    this.reservations.end(endpoint);
  }

  /** Called when the counts of other hosts' requests have been updated. */
  countsUpdated(): void {
    this.reservations.expire(this.now());
    this.room.startWindow(this.options.registry.all());
    this.admitWaiting();
  }

  /** Called when engines or their replicas have changed. */
  enginesChanged(): void {
    this.admitWaiting();
  }

  /** Called when the configuration or the time until which the host runs has changed. */
  recheck(): void {
    const now = this.now();
    for (const entry of this.queue.all())
      entry.terms = this.termsOf(entry.candidate.request);
    this.admitWaiting();
    // Callers reach another host sooner if they are not kept until this one stops.
    for (const entry of this.queue.ordered(now)) {
      const {lastStartAt} = entry.terms;
      if (lastStartAt !== this.options.hostLimit(entry.candidate.request))
        continue;
      const waitMilliseconds = this.expectedWait(entry).milliseconds;
      if (now + waitMilliseconds > lastStartAt) this.refuse(entry, 'draining');
    }
  }

  /** Targets of loaded models that requests of this host wait for. */
  waiting(): readonly WaitingCount[] {
    const now = this.now();
    const counts = new Map<string, WaitingCount>();
    for (const {service, target, candidate, since} of this.queue.all()) {
      const key = `${service} ${target}`;
      const known = counts.get(key);
      const {priority} = candidate.request;
      counts.set(key, {
        service,
        target,
        requests: (known?.requests ?? 0) + 1,
        timely: 0,
        priority: Math.min(known?.priority ?? priority, priority),
        isHeld: true,
        isServable: true,
        waitedMilliseconds: Math.max(
          known?.waitedMilliseconds ?? 0,
          now - since,
        ),
      });
    }
    return [...counts.values()];
  }

  /**
   * Sends waiting requests for which there is room, the most urgent first.
   *
   * @param arrived Request that has just arrived.
   */
  private admitWaiting(arrived?: Waiting): void {
    this.cancelTimer();
    if (this.queue.size === 0) return;
    const now = this.now();
    this.reservations.expire(now);
    const holders = new Map<string, readonly Endpoint[]>();
    let wakeAt = Number.POSITIVE_INFINITY;
    for (const entry of this.queue.ordered(now)) {
      const {terms} = entry;
      if (terms.lastStartAt <= now) {
        this.refuse(entry, this.expiryReason(entry));
        continue;
      }
      const candidates = this.candidatesOf(entry, holders);
      if (candidates.length === 0) {
        entry.settle({kind: 'no_candidate'});
        continue;
      }
      const endpoint = this.placeFor(entry, candidates, entry === arrived);
      if (endpoint !== undefined) {
        this.reservations.add(endpoint, now);
        if (entry === arrived) this.places.recordDirect(endpoint, now);
        entry.settle({kind: 'admitted', endpoint});
        continue;
      }
      const lowest = this.lowestOccupancy(candidates);
      const risesAt = reachesLevelAt(terms, lowest, now);
      wakeAt = Math.min(wakeAt, terms.lastStartAt);
      // What the level allows already waits for the next counts.
      if (risesAt !== undefined && risesAt > now)
        wakeAt = Math.min(wakeAt, risesAt);
    }
    if (this.queue.size === 0) return;
    this.cancelTimer = this.options.clock.startTimer(
      Math.max(1, wakeAt - now),
      () => this.admitWaiting(),
    );
  }

  private placeFor(
    entry: Waiting,
    candidates: readonly Endpoint[],
    hasArrived: boolean,
  ): Endpoint | undefined {
    const now = this.now();
    const level = admissionLevel(entry.terms, now);
    const below = this.room.below({candidates, level});
    if (below.length === 0) return undefined;
    const isImmediate = hasArrived && isUrgent(entry.terms, now);
    return this.room.allows({candidates, level, isImmediate})
      ? entry.candidate.choose(below)
      : undefined;
  }

  /**
   * Refuses a request that has arrived if its turn comes too late, or else the last
   * one of its engines if it has become one too many.
   */
  private refuseWhatIsTooMuch(arrived: Waiting): void {
    const now = this.now();
    const ordered = this.queue.ordered(now);
    if (!ordered.includes(arrived)) return;
    const wait = this.expectedWait(arrived);
    if (now + wait.milliseconds > arrived.terms.lastStartAt) {
      this.refuse(arrived, 'too_late');
      return;
    }
    const rivals = this.rivalsOf(arrived, ordered);
    const latestStart = Math.max(...rivals.map(({terms}) => terms.lastStartAt));
    const servable = (wait.placesPerSecond * (latestStart - now)) / 1000;
    const last = rivals.at(-1);
    if (last !== undefined && rivals.length > 1 + servable)
      this.refuse(last, 'queue_full');
  }

  private expectedWait(entry: Waiting) {
    const now = this.now();
    const candidates = this.candidatesOf(entry, new Map());
    const rivals = this.rivalsOf(entry, this.queue.ordered(now));
    const ahead = Math.max(0, rivals.indexOf(entry));
    const placesPerSecond = this.places.perSecond(
      {
        candidates,
        expectedMilliseconds: entry.terms.expectedMilliseconds,
        share: this.room.shareOf(candidates),
        slotShare: this.options.slotShare(),
      },
      now,
    );
    const milliseconds = ahead === 0 ? 0 : (ahead * 1000) / placesPerSecond;
    return {candidates, ahead, placesPerSecond, milliseconds};
  }

  /** Waiting requests that can take a place of a request, in order; with itself. */
  private rivalsOf(entry: Waiting, ordered: readonly Waiting[]): Waiting[] {
    const holders = new Map<string, readonly Endpoint[]>();
    const wanted = new Set(this.candidatesOf(entry, holders));
    return ordered.filter(
      other =>
        other === entry ||
        this.candidatesOf(other, holders).some(endpoint =>
          wanted.has(endpoint),
        ),
    );
  }

  private refuse(entry: Waiting, reason: RefusalReason): void {
    const {request} = entry.candidate;
    const {terms, service, target} = entry;
    const now = this.now();
    const wait = this.expectedWait(entry);
    const intervalMilliseconds = Math.max(1, 1000 / wait.placesPerSecond);
    const remainingMilliseconds = terms.lastStartAt - now;
    // The queue is then short enough for the time that this request had left.
    const excess = wait.milliseconds - Math.max(0, remainingMilliseconds);
    const retryAfterMilliseconds = this.returns.take(`${service} ${target}`, {
      now,
      roomAt: now + Math.max(intervalMilliseconds, excess),
      latestAt: now + (request.deadlineAt - now) * RETURN_SHARE,
      intervalMilliseconds,
    });
    this.log.refused({
      requestId: request.metadata.requestId,
      service,
      target,
      team: request.team,
      priority: request.priority,
      reason,
      level: admissionLevel(terms, now),
      occupancy:
        wait.candidates.length === 0
          ? undefined
          : this.lowestOccupancy(wait.candidates),
      ahead: wait.ahead,
      waiting: this.queue.size,
      placesPerSecond: wait.placesPerSecond,
      expectedWaitMilliseconds: wait.milliseconds,
      remainingMilliseconds,
      retryAfterMilliseconds,
    });
    entry.settle({kind: 'refused', reason, retryAfterMilliseconds});
  }

  private expiryReason({terms, candidate}: Waiting): RefusalReason {
    const isHostStopping =
      terms.lastStartAt === this.options.hostLimit(candidate.request);
    return isHostStopping ? 'draining' : 'expired';
  }

  private recordEnd(entry: Waiting, outcome: AdmissionOutcome): void {
    const waited = this.now() - entry.since;
    this.log.ended(outcomeLabel(outcome), entry.service, waited);
    this.log.waiting(this.queue.size);
  }

  private candidatesOf(
    {service, target, candidate}: Waiting,
    holders: Map<string, readonly Endpoint[]>,
  ): readonly Endpoint[] {
    const key = `${service} ${target}`;
    const known = holders.get(key) ?? this.options.holders(service, target);
    holders.set(key, known);
    return known.filter(candidate.isAllowed);
  }

  private lowestOccupancy(candidates: readonly Endpoint[]): number {
    return Math.min(
      ...candidates.map(endpoint => this.room.occupancy(endpoint)),
    );
  }

  private termsOf(request: RoutedRequest): AdmissionTerms {
    const {expectedMilliseconds, lastStartAt} = this.options;
    const expected = expectedMilliseconds(request) || DEFAULT_RUN_MILLISECONDS;
    return {
      arrivedAt: request.arrivedAt,
      objectiveMilliseconds: request.route.objectiveMilliseconds,
      // The objective of a stream is that of its first event.
      answerMilliseconds: request.route.kind === 'streaming' ? 0 : expected,
      lastStartAt: lastStartAt(request),
      priority: request.priority,
      expectedMilliseconds: expected,
    };
  }

  private now(): number {
    return this.options.clock.monotonicMilliseconds();
  }
}

function outcomeLabel(outcome: AdmissionOutcome): string {
  switch (outcome.kind) {
    case 'refused':
      return `refused_${outcome.reason}`;
    case 'admitted':
    case 'no_candidate':
    case 'aborted':
      return outcome.kind;
    default:
      return unreachable(outcome);
  }
}
