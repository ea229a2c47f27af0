/**
 * Order in which requests get room on full engines: an admission level for each request,
 * the queue of the requests of a host, and the share of free slots that a host uses.
 *
 * ```ts
 * const admission = new OrderedAdmission(options);
 * const outcome = await admission.waitForRoom(candidate);
 * ```
 *
 * @module
 */
export {
  admissionLevel,
  type AdmissionTerms,
  isImmediate,
  onTimeUntil,
  reachesLevelAt,
} from './admission_level.ts';
export type {
  AdmissionOutcome,
  AdmissionRefusal,
  RefusalReason,
} from './admission_outcome.ts';
export type {AdmissionPreview, AdmissionState} from './admission_preview.ts';
export {EventRate} from './event_rate.ts';
export type {AdmissionCandidate} from './_waiting_request.ts';
export {OrderedAdmission} from './ordered_admission.ts';
export type {OrderedAdmissionOptions} from './ordered_admission_options.ts';
export {
  PlaceEstimate,
  type PlaceInput,
  type PlaceKind,
  type PlaceRates,
} from './place_estimate.ts';
export {
  RETURN_SHARE,
  ReturnSchedule,
  type ReturnTerms,
} from './return_schedule.ts';
export {
  type RoomClaim,
  RoomShare,
  type RoomShareOptions,
} from './room_share.ts';
export {WaitingQueue, type WaitingEntry} from './waiting_queue.ts';
