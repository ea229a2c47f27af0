import type {AttemptContext} from './_attempt_context.ts';
import type {RequestRelayOptions} from './relay_options.ts';

type DurationOptions = Pick<
  RequestRelayOptions,
  'clock' | 'firstEventDurations' | 'runDurations'
>;

/**
 * Records how long a run took; runs that failed tell nothing of others.
 *
 * @param sentAt Monotonic time at which the request was sent.
 */
export function recordRunDuration(
  {clock, runDurations}: DurationOptions,
  {request, response}: Pick<AttemptContext, 'request' | 'response'>,
  sentAt: number,
): void {
  if (response.statusCode >= 300) return;
  runDurations.record(request, clock.monotonicMilliseconds() - sentAt);
}

/**
 * Records how long the first event of a stream took.
 *
 * @param sentAt Monotonic time at which the request was sent.
 */
export function recordFirstEventDuration(
  {clock, firstEventDurations}: DurationOptions,
  {request}: Pick<AttemptContext, 'request'>,
  sentAt: number,
): void {
  if (request.route.kind !== 'streaming') return;
  firstEventDurations.record(request, clock.monotonicMilliseconds() - sentAt);
}
