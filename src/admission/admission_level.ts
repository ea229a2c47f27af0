/** What the admission level of a request depends on; times are monotonic. */
export interface AdmissionTerms {
  readonly arrivedAt: number;
  /** Time after the arrival within which an answer has its full value. */
  readonly objectiveMilliseconds: number;
  /** Expected time from the start of a run to the answer that counts. */
  readonly answerMilliseconds: number;
  /** Time from which a run would be for nothing. */
  readonly lastStartAt: number;
  /** Priority from 0 (most urgent) to 9. */
  readonly priority: number;
  /** Expected duration of a whole run, for which it occupies a slot. */
  readonly expectedMilliseconds: number;
}

/**
 * Share of the slots that requests with time to spare leave free, at priority 0. About
 * the share that runs of 2 s free within two report intervals of 100 ms, so that an
 * urgent request finds a slot in spite of delayed counts.
 */
const PATIENT_RESERVE = 0.06;

/** The same in addition at priority 9. */
const PRIORITY_RESERVE = 0.06;

/**
 * Share of the slots that late requests leave free. An answer after the objective has
 * a tenth to a fifth of its value, so on-time requests of any priority go first.
 */
const LATE_RESERVE = 0.16;

/**
 * Part of the slack on arrival that may be spent in the queue of an engine. The other
 * half is left for the answer itself.
 */
const ENGINE_QUEUE_SHARE = 0.5;

/**
 * Level of a request shortly before its last start: a queue of 0.15 of the slots takes
 * 300 ms at runs of 2 s, as much as the most urgent on-time requests may queue, so that
 * these do not keep it out for ever.
 */
const FINAL_LEVEL = 1.15;

const LOWEST_PRIORITY = 9;

/**
 * Occupancy of an engine (unfinished requests of all hosts over slots) up to which a
 * request may be sent to it. It rises as the slack decreases. All hosts compute it from
 * the request alone, so that the more urgent of two requests goes first on whichever
 * host it waits.
 *
 * For engines that are full: a request with more slack than a run takes can wait for
 * the slots of current runs and leaves some free for others. One with less slack gets
 * all slots, and a short queue if it had little slack from the start. A late request
 * yields to those that can still be on time, and rises again before its last start.
 */
export function admissionLevel(terms: AdmissionTerms, now: number): number {
  const startBy = onTimeUntil(terms);
  if (now <= startBy) {
    const patience = clamp((startBy - now) / terms.expectedMilliseconds);
    return highestOnTime(terms) - patience * reserveOf(terms);
  }
  const rise = lateRise(terms);
  const left = rise > 0 ? clamp((terms.lastStartAt - now) / rise) : 0;
  return FINAL_LEVEL - left * (FINAL_LEVEL - 1 + LATE_RESERVE);
}

/**
 * Earliest time from `now` on at which the level of a request is above `occupancy`;
 * undefined if it does not rise so far.
 */
export function reachesLevelAt(
  terms: AdmissionTerms,
  occupancy: number,
  now: number,
): number | undefined {
  if (admissionLevel(terms, now) > occupancy) return now;
  const startBy = onTimeUntil(terms);
  const highest = highestOnTime(terms);
  if (now < startBy && highest > occupancy) {
    const patience = clamp((highest - occupancy) / reserveOf(terms));
    const at = startBy - patience * terms.expectedMilliseconds;
    return Math.min(startBy, Math.max(now, at) + 1);
  }
  if (FINAL_LEVEL <= occupancy || now >= terms.lastStartAt) return undefined;
  const left = clamp(
    (FINAL_LEVEL - occupancy) / (FINAL_LEVEL - 1 + LATE_RESERVE),
  );
  const at = terms.lastStartAt - left * lateRise(terms);
  return Math.max(now, startBy, at) + 1;
}

/**
 * Whether a request can still be on time, but only if it starts before the current runs
 * have ended, and was so from its arrival.
 */
export function isImmediate(terms: AdmissionTerms, now: number): boolean {
  const startBy = onTimeUntil(terms);
  const isPatient = startBy - terms.arrivedAt >= terms.expectedMilliseconds;
  return now <= startBy && !isPatient;
}

/** Latest start with which the answer is expected within the objective. */
export function onTimeUntil(terms: AdmissionTerms): number {
  const {arrivedAt, objectiveMilliseconds, answerMilliseconds} = terms;
  // An objective that no run meets must not make each request late on arrival.
  const slack = Math.max(
    objectiveMilliseconds / 2,
    objectiveMilliseconds - answerMilliseconds,
  );
  return Math.min(terms.lastStartAt, arrivedAt + slack);
}

function reserveOf({priority}: AdmissionTerms): number {
  return PATIENT_RESERVE + (PRIORITY_RESERVE * priority) / LOWEST_PRIORITY;
}

/**
 * Highest level before a request is late. Requests that had the slack of a whole run
 * can wait for a free slot in the host; those with less may queue at the engine, where
 * they do not lose the time until the next report.
 */
function highestOnTime(terms: AdmissionTerms): number {
  const slack = onTimeUntil(terms) - terms.arrivedAt;
  const runs = slack / terms.expectedMilliseconds;
  return 1 + ENGINE_QUEUE_SHARE * Math.max(0, Math.min(runs, 1 - runs));
}

/** Time before its last start in which the level of a late request rises. */
function lateRise(terms: AdmissionTerms): number {
  const lateMilliseconds = terms.lastStartAt - onTimeUntil(terms);
  return Math.min(terms.expectedMilliseconds, lateMilliseconds / 2);
}

function clamp(value: number): number {
  return Math.min(1, Math.max(0, value));
}
