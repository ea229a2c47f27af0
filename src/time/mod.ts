/**
 * Clock interface and its system implementation.
 *
 * ```ts
 * const clock = new SystemClock();
 * const startedAt = clock.monotonicMilliseconds();
 * ```
 *
 * @module
 */
export type {CancelTimer, Clock} from './clock.ts';
export {sleep} from './sleep.ts';
export {SystemClock} from './system_clock.ts';
