import type {RequestError} from '../errors/mod.ts';
import type {RefusalReason} from '../admission/mod.ts';

/** Why an endpoint would not get a request. */
export const EXCLUSION_REASONS = {
  /** Its process leaves. */
  leaving: 'leaving',
  /** Its data centre is evacuated. */
  evacuated: 'evacuated',
  /** It refused the model a moment ago, or was full. */
  refusedRecently: 'refused_recently',
  modelNotLoaded: 'model_not_loaded',
  /** It has asked for no requests for some time. */
  closed: 'closed',
  /** It was found to be cold a moment ago, and others take requests at once. */
  cold: 'cold',
  /** It could not be connected to, and others can be used. */
  paused: 'paused',
  /** Its slots are in use up to the admission level of the request. */
  full: 'full',
} as const;

/** One of {@link EXCLUSION_REASONS}. */
export type ExclusionReason =
  (typeof EXCLUSION_REASONS)[keyof typeof EXCLUSION_REASONS];

/** An endpoint of the service, as this host sees it. */
export interface EndpointExplanation {
  readonly endpoint: string;
  readonly dataCentre: string;
  readonly slots: number;
  /** Unfinished requests of all hosts. */
  readonly requests: number;
  /** The same as a share of the slots. */
  readonly occupancy: number;
  /** Share of recent requests that failed, 0 to 1. */
  readonly failureRate: number;
  /** Requests a second that it takes from all hosts; undefined if it has no limit. */
  readonly limitPerSecond: number | undefined;
  /** Milliseconds until the end of its cold phase; 0 if it is warm. */
  readonly coldMilliseconds: number;
  /** Milliseconds until the end of its pause after failures; 0 if there is none. */
  readonly pausedMilliseconds: number;
  /** Milliseconds for which it has asked for no requests; 0 if it has not. */
  readonly closedMilliseconds: number;
  /** Cost for the request, in occupancy. */
  readonly cost: number;
  /** Undefined if it can be used. */
  readonly excluded: ExclusionReason | undefined;
  /** Probability with which it would be chosen, 0 to 1. */
  readonly probability: number;
}

/** What the order of waiting requests says of a request. */
export interface AdmissionFigures {
  /** Occupancy up to which the request may be sent to an engine. */
  readonly level: number;
  /** Occupancy that the level must exceed to find room. */
  readonly levelNeeded: number;
  /** Waiting requests of this host that go first. */
  readonly ahead: number;
  readonly expectedWaitMilliseconds: number;
}

/** What would become of a request now. */
export type PlacementOutcome =
  | {
      readonly kind: 'sent';
      /** The endpoint with the highest probability. */
      readonly endpoint: string;
      /**
       * Longest milliseconds that it waits for a permit, because the endpoint limits its
       * requests; undefined if it needs none. 0 if the endpoint is cold and another one
       * takes the request when no permit is free. Whether one is free is not asked.
       */
      readonly permitWaitMilliseconds: number | undefined;
      readonly admission: AdmissionFigures | undefined;
    }
  /** No engine that takes requests has the model. */
  | {
      readonly kind: 'waits_for_replica';
      /** Milliseconds until one is expected; undefined if no manager has announced it. */
      readonly expectedMilliseconds: number | undefined;
      /** Longest milliseconds that the request waits. */
      readonly longestMilliseconds: number;
    }
  /** The engines that have the model are full. */
  | {
      readonly kind: 'waits_for_room';
      readonly admission: AdmissionFigures;
      readonly longestMilliseconds: number;
    }
  | {
      readonly kind: 'refused';
      readonly error: RequestError;
      /** Why no room is expected in time; undefined if that is not the reason. */
      readonly reason: RefusalReason | undefined;
      readonly admission: AdmissionFigures | undefined;
    };

/** Explanation of the choice of an endpoint. */
export interface PlacementExplanation {
  readonly outcome: PlacementOutcome;
  /** All endpoints of the service, the cheapest usable one first. */
  readonly candidates: readonly EndpointExplanation[];
}
