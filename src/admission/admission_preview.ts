import type {Endpoint} from '../fleet/mod.ts';
import type {RefusalReason} from './admission_outcome.ts';

/** What decides whether a request gets room. */
export interface AdmissionState {
  /** Occupancy up to which the request may be sent to an engine. */
  readonly level: number;
  /** Occupancy that the level must exceed to find room. */
  readonly levelNeeded: number;
  /** Engines that have room for the request. */
  readonly below: readonly Endpoint[];
  /** Waiting requests of this host that go first. */
  readonly ahead: number;
  /** Milliseconds until its turn, as this host expects them. */
  readonly expectedWaitMilliseconds: number;
}

/** What would be decided on a request that asks for room now. */
export type AdmissionPreview =
  | (AdmissionState & {
      readonly kind: 'admitted';
      /** Part of such requests that is drawn for each engine with room. */
      readonly drawShares: ReadonlyMap<Endpoint, number>;
    })
  | (AdmissionState & {readonly kind: 'waits'})
  | (AdmissionState & {
      readonly kind: 'refused';
      readonly reason: RefusalReason;
    })
  | {readonly kind: 'no_candidate'};
