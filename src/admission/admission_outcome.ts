import {unreachable} from '../errors/mod.ts';
import type {Endpoint} from '../fleet/mod.ts';

/** Why a request that waits for room is refused. */
export type RefusalReason =
  /** The requests before it take longer than it can wait. */
  | 'too_late'
  /** More requests wait than can be served; it is the last of them. */
  | 'queue_full'
  /** Its time ran out while it waited. */
  | 'expired'
  /** The host stops before its turn. */
  | 'draining';

/** Refusal of a request that engines cannot take in its time. */
export interface AdmissionRefusal {
  readonly kind: 'refused';
  readonly reason: RefusalReason;
  readonly retryAfterMilliseconds: number;
}

/** What became of a request that asked for room on engines. */
export type AdmissionOutcome =
  /** It may be sent to the endpoint, on which a slot is reserved for it. */
  | {readonly kind: 'admitted'; readonly endpoint: Endpoint}
  | AdmissionRefusal
  /** No engine that it may be sent to has the target any more. */
  | {readonly kind: 'no_candidate'}
  /** Its caller has left or its time is over. */
  | {readonly kind: 'aborted'};

/** Label of an outcome in metrics. */
export function outcomeLabel(outcome: AdmissionOutcome): string {
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
