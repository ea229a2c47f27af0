import {
  REQUEST_ERROR_CODES,
  REQUEST_STEPS,
  type RequestError,
  RUN_STATES,
} from '../errors/mod.ts';
import {drainingError} from '../relay/mod.ts';
import {RETRY_AFTER_MILLISECONDS} from './_refusal.ts';

/** When a target can be served; times are monotonic. */
export interface TargetTimes {
  readonly now: number;
  /** Time until which the request may wait. */
  readonly deadline: number;
  /** Time from which the request is left to other hosts. */
  readonly hostLimit: number;
  /** Time at which an engine that has the model has room; Infinity if none has it. */
  readonly roomAt: number;
  /** Time at which a further replica is expected; undefined if none is. */
  readonly expectedAt: number | undefined;
  /** The same if it were asked for now; undefined if the model is on some engine. */
  readonly remoteReadyAt: number | undefined;
}

/** Error of a request whose target cannot be served in its time; undefined if it can. */
export function lateRefusal(
  target: string,
  times: TargetTimes,
): RequestError | undefined {
  const {now, deadline, hostLimit, roomAt, expectedAt, remoteReadyAt} = times;
  const hasReplica = Number.isFinite(roomAt);
  const readyAt = hasReplica
    ? Math.min(expectedAt ?? Infinity, roomAt)
    : (expectedAt ?? remoteReadyAt ?? now);
  const isAwaitable = !hasReplica || expectedAt !== undefined;
  if (now < deadline && readyAt < deadline && isAwaitable) return undefined;
  if (deadline === hostLimit) return drainingError(REQUEST_STEPS.place);
  return {
    code: REQUEST_ERROR_CODES.noReplica,
    message: hasReplica
      ? `The engines that have loaded "${target}" take no more requests now`
      : `No engine can load "${target}" within the caller's time-out`,
    step: REQUEST_STEPS.place,
    run: RUN_STATES.notRun,
    retryAfterMilliseconds: hasReplica
      ? Math.max(1, readyAt - now)
      : Math.max(RETRY_AFTER_MILLISECONDS, readyAt - now),
  };
}
