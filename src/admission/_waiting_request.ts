import type {Endpoint, WaitingCount} from '../fleet/mod.ts';
import {type RoutedRequest, targetOf} from '../relay/mod.ts';
import {
  admissionLevel,
  type AdmissionTerms,
  isImmediate,
  onTimeUntil,
} from './admission_level.ts';
import type {AdmissionOutcome} from './admission_outcome.ts';
import type {PlaceKind} from './place_estimate.ts';
import type {RoomClaim} from './room_share.ts';

/** A request that asks for room. */
export interface AdmissionCandidate {
  readonly request: RoutedRequest;
  readonly signal: AbortSignal;
  /** Whether the request may be sent to an endpoint. */
  readonly isAllowed: (endpoint: Endpoint) => boolean;
  /**
   * Chooses one of several endpoints that have room.
   *
   * @param drawn The one to choose unless the request prefers another one.
   */
  readonly choose: (
    endpoints: readonly Endpoint[],
    drawn: Endpoint,
  ) => Endpoint | undefined;
}

/** A request that waits for room. */
export interface WaitingRequest {
  readonly candidate: AdmissionCandidate;
  readonly service: string;
  readonly team: string;
  readonly target: string;
  /** Replaced when the time of the request changes. */
  terms: AdmissionTerms;
  /** Monotonic time from which it waits. */
  readonly since: number;
  /** Window of counts since which there has been room for it; undefined if none. */
  roomSince: number | undefined;
  readonly settle: (outcome: AdmissionOutcome) => void;
}

/** Expected duration of a run before any has ended; runs took 1.4 to 3 s. */
const DEFAULT_RUN_MILLISECONDS = 2000;

/**
 * Terms on which a request is admitted.
 *
 * @param expectedMilliseconds Duration of a run; 0 if that is not known.
 */
export function admissionTerms(
  {route, arrivedAt, priority}: RoutedRequest,
  expectedMilliseconds: number,
  lastStartAt: number,
): AdmissionTerms {
  const expected = expectedMilliseconds || DEFAULT_RUN_MILLISECONDS;
  return {
    arrivedAt,
    objectiveMilliseconds: route.objectiveMilliseconds,
    // The objective of a stream is that of its first event.
    answerMilliseconds: route.kind === 'streaming' ? 0 : expected,
    lastStartAt,
    priority,
    expectedMilliseconds: expected,
  };
}

/** Counts waiting requests by target. */
export function countWaiting(
  requests: Iterable<WaitingRequest>,
  now: number,
): readonly WaitingCount[] {
  const counts = new Map<string, WaitingCount>();
  for (const {service, target, candidate, since} of requests) {
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
      waitedMilliseconds: Math.max(known?.waitedMilliseconds ?? 0, now - since),
    });
  }
  return [...counts.values()];
}

/** Kind of the place that a request gets now. */
export function placeKind(
  {terms, since}: WaitingRequest,
  now: number,
): PlaceKind {
  if (isImmediate(terms, now)) return 'immediate';
  return since < now && now <= onTimeUntil(terms) ? 'on_time' : 'other';
}

/** Describes a candidate that begins to wait. */
export function createWaitingRequest(
  waiting: Pick<WaitingRequest, 'candidate' | 'settle' | 'since' | 'terms'>,
): WaitingRequest {
  const {request} = waiting.candidate;
  return {
    ...waiting,
    service: request.service.name,
    team: request.team ?? '',
    target: targetOf(request.metadata),
    roomSince: undefined,
  };
}

/** What a request asks of the slots of its candidates in a window of counts. */
export function roomClaim(
  {terms, roomSince}: WaitingRequest,
  candidates: readonly Endpoint[],
  {now, window}: {now: number; window: number},
): RoomClaim {
  return {
    candidates,
    level: admissionLevel(terms, now),
    isImmediate: isImmediate(terms, now),
    windowsWithRoom: window - (roomSince ?? window),
  };
}
