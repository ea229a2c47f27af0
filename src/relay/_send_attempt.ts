import {sendToEndpoint, type SendOutcome} from '../exchange/mod.ts';
import type {Endpoint} from '../fleet/mod.ts';
import type {AttemptContext} from './_attempt_context.ts';
import {responseTimeout} from './_retry_rules.ts';
import type {RequestRelayOptions} from './relay_options.ts';

/** Connect time-out; the network latency to endpoints is a few milliseconds. */
const CONNECT_TIMEOUT_MILLISECONDS = 500;

/** One attempt at a request. */
export interface Attempt {
  readonly endpoint: Endpoint;
  /** Last event that the caller has got from earlier attempts. */
  readonly lastEventId: string | undefined;
  /** Whether the endpoint may repeat its rejection of an earlier attempt. */
  readonly usesNewConnection: boolean;
  /** Earlier attempts that may have run. */
  readonly runCount: number;
  /** Aborts the attempt. */
  readonly signal: AbortSignal;
}

/** Sends a request to an endpoint with the time that is left to it. */
export function sendAttempt(
  {clock, wireFormat}: RequestRelayOptions,
  {request, method, path, rawHeaders, body}: AttemptContext,
  attempt: Attempt,
): Promise<SendOutcome> {
  const {endpoint, lastEventId, runCount} = attempt;
  const remaining = request.deadlineAt - clock.monotonicMilliseconds();
  return sendToEndpoint({
    address: endpoint.record.address,
    method,
    path,
    headers: wireFormat.requestHeaders(rawHeaders, body.length, {
      endpointId: endpoint.record.id,
      deadlineMilliseconds: remaining,
      team: request.team,
      priority:
        request.service.engines === undefined ? undefined : request.priority,
      lastEventId: lastEventId ?? request.metadata.lastEventId,
    }),
    body,
    agent: endpoint.agent,
    // A repeated rejection of an earlier dispatch has the same request id.
    usesNewConnection: attempt.usesNewConnection,
    connectTimeoutMilliseconds: CONNECT_TIMEOUT_MILLISECONDS,
    responseTimeoutMilliseconds: responseTimeout(
      request.route,
      runCount,
      remaining,
    ),
    signal: attempt.signal,
  });
}
