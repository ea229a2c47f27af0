import type {Endpoint, WaitingCount} from '../fleet/mod.ts';
import type {RoutedRequest} from '../relay/mod.ts';
import type {CancelTimer} from '../time/mod.ts';
import {AdmissionLog} from './_admission_log.ts';
import {atMost} from './_at_most.ts';
import {
  type AdmissionCandidate,
  admissionTerms,
  countWaiting,
  createWaitingRequest,
  placeKind,
  roomClaim,
  type WaitingRequest,
} from './_waiting_request.ts';
import {Reservations} from './_reservations.ts';
import {
  admissionLevel,
  type AdmissionTerms,
  onTimeUntil,
  reachesLevelAt,
} from './admission_level.ts';
import {
  type AdmissionOutcome,
  outcomeLabel,
  type RefusalReason,
} from './admission_outcome.ts';
import type {AdmissionPreview} from './admission_preview.ts';
import type {OrderedAdmissionOptions} from './ordered_admission_options.ts';
import {PlaceEstimate} from './place_estimate.ts';
import {RETURN_SHARE, ReturnSchedule} from './return_schedule.ts';
import {RoomShare} from './room_share.ts';
import {WaitingQueue} from './waiting_queue.ts';

/**
 * Holds requests for loaded models back while the engines are full, and sends them in
 * an order that all hosts share, although each host decides alone: a request is sent
 * when the occupancy of an engine is below its admission level.
 *
 * For load above the capacity of the engines. State is in memory only; waiting requests
 * have not been sent, so nothing is lost or repeated when the host ends.
 */
export class OrderedAdmission {
  private readonly queue = new WaitingQueue<WaitingRequest>();
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
        this.admitWaiting(endpoint);
      },
    });
  }

  /** Waits until a request may be sent to one of the engines that have its target. */
  waitForRoom(candidate: AdmissionCandidate): Promise<AdmissionOutcome> {
    const {signal} = candidate;
    if (signal.aborted) return Promise.resolve({kind: 'aborted'});
    return new Promise(resolve => {
      const abort = () => entry.settle({kind: 'aborted'});
      const entry = this.createEntry(candidate, outcome => {
        if (!this.queue.delete(entry)) return;
        signal.removeEventListener('abort', abort);
        this.recordEnd(entry, outcome);
        resolve(outcome);
      });
      if (this.candidatesOf(entry, new Map()).length === 0) {
        resolve({kind: 'no_candidate'});
        return;
      }
      signal.addEventListener('abort', abort, {once: true});
      this.queue.add(entry);
      this.admitWaiting();
      this.refuseWhatIsTooMuch(entry);
      this.log.waiting(this.queue.size);
    });
  }

  /** What {@link waitForRoom} would decide now; nothing is reserved or recorded. */
  preview(candidate: AdmissionCandidate): AdmissionPreview {
    const entry = this.createEntry(candidate, () => undefined);
    const candidates = this.candidatesOf(entry, new Map());
    if (candidates.length === 0) return {kind: 'no_candidate'};
    // Its place in the order depends on all entries; it leaves again before any other
    // code runs.
    this.queue.add(entry);
    const wait = this.expectedWait(entry);
    const excess = this.findExcess(entry);
    this.queue.delete(entry);
    const {below, level, hasRoom} = this.roomFor(entry, candidates);
    const levelNeeded = this.room.levelNeeded(candidates);
    const state = {
      level,
      levelNeeded,
      below,
      ahead: wait.before,
      expectedWaitMilliseconds: wait.milliseconds,
    };
    if (entry.terms.lastStartAt <= this.now())
      return {...state, kind: 'refused', reason: this.expiryReason(entry)};
    if (hasRoom && level > levelNeeded) {
      const drawShares = this.room.drawShares({candidates: below, level});
      return {...state, kind: 'admitted', drawShares};
    }
    return excess?.entry === entry
      ? {...state, kind: 'refused', reason: excess.reason}
      : {...state, kind: 'waits'};
  }

  /** Gives a slot back that was reserved for an admitted request. */
  release(endpoint: Endpoint): void {
    this.reservations.end(endpoint);
  }

  /** Called when the counts of other hosts' requests have been updated. */
  countsUpdated(): void {
    this.reservations.expire(this.now());
    this.room.startWindow();
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
      if (this.expectedWait(entry).isTooLong) this.refuse(entry, 'draining');
    }
  }

  /** Targets of loaded models that requests of this host wait for. */
  waiting(): readonly WaitingCount[] {
    return countWaiting(this.queue.all(), this.now());
  }

  /**
   * Sends waiting requests for which there is room, the most urgent first.
   *
   * @param freed Endpoint at which a request of this host has just ended. One request
   *     takes its place, which adds nothing to what the other hosts see.
   */
  private admitWaiting(freed?: Endpoint): void {
    this.cancelTimer();
    if (this.queue.size === 0) return;
    const now = this.now();
    this.reservations.expire(now);
    const holders = new Map<string, readonly Endpoint[]>();
    let replaceable = freed;
    let wakeAt = Number.POSITIVE_INFINITY;
    // Level for room at the same candidates; most requests wait for the same ones.
    const levelNeeded = new Map<readonly Endpoint[], number>();
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
      const needed =
        levelNeeded.get(candidates) ?? this.room.levelNeeded(candidates);
      levelNeeded.set(candidates, needed);
      const hasRoom = admissionLevel(terms, now) > needed;
      entry.roomSince = hasRoom
        ? (entry.roomSince ?? this.room.window)
        : undefined;
      const endpoint = hasRoom
        ? this.placeFor(entry, candidates, replaceable)
        : undefined;
      if (endpoint !== undefined) {
        levelNeeded.clear();
        this.reservations.add(endpoint, now);
        const kind = placeKind(entry, now);
        this.places.recordPlace(endpoint, kind, now);
        if (endpoint === replaceable) replaceable = undefined;
        else this.room.record(endpoint, kind === 'immediate');
        entry.settle({kind: 'admitted', endpoint});
        continue;
      }
      const risesAt = reachesLevelAt(terms, needed, now);
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
    entry: WaitingRequest,
    candidates: readonly Endpoint[],
    replaceable: Endpoint | undefined,
  ): Endpoint | undefined {
    const {below, level, hasRoom} = this.roomFor(entry, candidates);
    if (replaceable !== undefined && below.includes(replaceable))
      return replaceable;
    if (!hasRoom) return undefined;
    const drawn = this.room.draw({candidates: below, level});
    return entry.candidate.choose(below, drawn);
  }

  private roomFor(entry: WaitingRequest, candidates: readonly Endpoint[]) {
    const {window} = this.room;
    const claim = roomClaim(entry, candidates, {now: this.now(), window});
    const below = this.room.below(claim);
    const hasRoom = below.length > 0 && this.room.allows(claim);
    return {below, level: claim.level, hasRoom};
  }

  /**
   * Refuses a request that has arrived if its turn comes too late, or else the last
   * one of its engines if it has become one too many.
   */
  private refuseWhatIsTooMuch(arrived: WaitingRequest): void {
    const excess = this.findExcess(arrived);
    if (excess !== undefined) this.refuse(excess.entry, excess.reason);
  }

  private findExcess(
    arrived: WaitingRequest,
  ): {entry: WaitingRequest; reason: RefusalReason} | undefined {
    const now = this.now();
    const ordered = this.queue.ordered(now);
    if (!ordered.includes(arrived)) return undefined;
    const wait = this.expectedWait(arrived);
    if (wait.isTooLong) return {entry: arrived, reason: 'too_late'};
    const rivals = this.rivalsOf(arrived, ordered);
    const latestStart = Math.max(...rivals.map(({terms}) => terms.lastStartAt));
    const servable = (wait.queuePerSecond * (latestStart - now)) / 1000;
    const last = rivals.at(-1);
    const limit = 1 + atMost(servable) + wait.spareSlots;
    return last !== undefined && rivals.length > limit
      ? {entry: last, reason: 'queue_full'}
      : undefined;
  }

  private expectedWait(entry: WaitingRequest) {
    const now = this.now();
    const candidates = this.candidatesOf(entry, new Map());
    const rivals = this.rivalsOf(entry, this.queue.ordered(now));
    const {lastStartAt} = entry.terms;
    const ahead = Math.max(0, rivals.indexOf(entry));
    const sooner = rivals.filter(
      ({terms}, index) => index > ahead && terms.lastStartAt < lastStartAt,
    );
    const places = this.places.perSecond(
      {
        candidates,
        expectedMilliseconds: entry.terms.expectedMilliseconds,
        share: this.room.shareOf(candidates),
        slotShare: this.options.slotShare(),
      },
      now,
    );
    const onTimeMilliseconds = (ahead * 1000) / places.onTimePerSecond;
    const isOnTime = now + onTimeMilliseconds <= onTimeUntil(entry.terms);
    const before = isOnTime ? ahead : ahead + sooner.length;
    const placesPerSecond = isOnTime
      ? places.onTimePerSecond
      : places.latePerSecond;
    const inTime = (placesPerSecond * Math.max(0, lastStartAt - now)) / 1000;
    const level = admissionLevel(entry.terms, now);
    // Without these, a burst at one of many hosts is refused while engines are idle.
    const spareSlots = this.room.spareSlots({candidates, level});
    return {
      candidates,
      before,
      placesPerSecond,
      milliseconds: (before * 1000) / placesPerSecond,
      queuePerSecond: places.onTimePerSecond,
      spareSlots,
      isTooLong: before > atMost(inTime) + spareSlots,
    };
  }

  /** Waiting requests that can take a place of a request, in order; with itself. */
  private rivalsOf(
    entry: WaitingRequest,
    ordered: readonly WaitingRequest[],
  ): WaitingRequest[] {
    const holders = new Map<string, readonly Endpoint[]>();
    const wanted = new Set(this.candidatesOf(entry, holders));
    return ordered.filter(
      other =>
        // One target has the same engines, which need not be compared again.
        (other.service === entry.service && other.target === entry.target) ||
        this.candidatesOf(other, holders).some(endpoint =>
          wanted.has(endpoint),
        ),
    );
  }

  private refuse(entry: WaitingRequest, reason: RefusalReason): void {
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
          : this.room.levelNeeded(wait.candidates),
      ahead: wait.before,
      waiting: this.queue.size,
      placesPerSecond: wait.placesPerSecond,
      expectedWaitMilliseconds: wait.milliseconds,
      remainingMilliseconds,
      retryAfterMilliseconds,
    });
    entry.settle({kind: 'refused', reason, retryAfterMilliseconds});
  }

  private expiryReason({terms, candidate}: WaitingRequest): RefusalReason {
    const isHostStopping =
      terms.lastStartAt === this.options.hostLimit(candidate.request);
    return isHostStopping ? 'draining' : 'expired';
  }

  private recordEnd(entry: WaitingRequest, outcome: AdmissionOutcome): void {
    const waited = this.now() - entry.since;
    this.log.ended(outcomeLabel(outcome), entry.service, waited);
    this.log.waiting(this.queue.size);
  }

  private candidatesOf(
    {service, target, candidate}: WaitingRequest,
    holders: Map<string, readonly Endpoint[]>,
  ): readonly Endpoint[] {
    const key = `${service} ${target}`;
    const known = holders.get(key) ?? this.options.holders(service, target);
    holders.set(key, known);
    return known.every(candidate.isAllowed)
      ? known
      : known.filter(candidate.isAllowed);
  }

  private createEntry(
    candidate: AdmissionCandidate,
    settle: WaitingRequest['settle'],
  ): WaitingRequest {
    const terms = this.termsOf(candidate.request);
    return createWaitingRequest({candidate, terms, since: this.now(), settle});
  }

  private termsOf(request: RoutedRequest): AdmissionTerms {
    return admissionTerms(
      request,
      this.options.expectedMilliseconds(request),
      this.options.lastStartAt(request),
    );
  }

  private now(): number {
    return this.options.clock.monotonicMilliseconds();
  }
}
