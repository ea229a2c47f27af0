import {
  REQUEST_ERROR_CODES,
  REQUEST_STEPS,
  type RequestError,
  unreachable,
} from '../errors/mod.ts';
import {discardResponse, type EndpointResponse} from '../exchange/mod.ts';
import type {Endpoint} from '../fleet/mod.ts';
import type {AttemptContext} from './_attempt_context.ts';
import type {AttemptOutcome} from './_attempt_outcome.ts';
import {bufferResponse} from './_buffer_response.ts';
import {CallerWriter} from './_caller_writer.ts';
import {dispatchError} from './_dispatch_error.ts';
import {dispatchTimes} from './_dispatch_times.ts';
import {EventSplitter} from './_event_splitter.ts';
import {failureCode} from './_failure_code.ts';
import {findMismatch} from './_find_mismatch.ts';
import {findTooLate} from './find_too_late.ts';
import {OriginGuard} from './_origin_guard.ts';
import {
  HOLD_SHARE,
  MAXIMUM_DISPATCHES,
  mayRunAgain,
  NOT_EXECUTED_STATUSES,
} from './_retry_rules.ts';
import {
  recordFirstEventDuration,
  recordRunDuration,
} from './_record_durations.ts';
import {type RequestEnd, watchRequestEnd} from './_request_end.ts';
import {sendAttempt} from './_send_attempt.ts';
import {streamResponse} from './_stream_response.ts';
import {withheldOutcome} from './_withheld_outcome.ts';
import {writeResponseHead} from './_write_response_head.ts';
import {targetOf} from './endpoint_source.ts';
import type {PromptPartRun} from './prompt_part_guard.ts';
import type {RequestRelayOptions} from './relay_options.ts';

/** Sends a request to endpoints until one responds or no retry is allowed. */
export class AttemptLoop {
  private readonly excluded = new Set<string>();
  /** Incarnations of endpoints that have got the request. */
  private readonly sentTo = new Set<string>();
  private readonly splitter = new EventSplitter();
  private readonly end: RequestEnd;
  private readonly origin: OriginGuard;
  private readonly writer: CallerWriter;
  /** Whether the current attempt has delivered an event or a whole response. */
  private hasBegun = false;
  private dispatchCount = 0;
  private runCount = 0;
  /** Monotonic time of the last dispatch. */
  private sentAt = 0;

  constructor(
    private readonly options: RequestRelayOptions,
    private readonly context: AttemptContext,
  ) {
    this.writer = new CallerWriter(options, context);
    this.end = watchRequestEnd(context, options.clock);
    this.origin = new OriginGuard(options, context.request);
  }

  /** @returns The error to respond with; undefined when nothing is left to send. */
  async run(): Promise<RequestError | undefined> {
    const {fingerprint, request} = this.context;
    try {
      if (!this.options.crashGuard.allows(fingerprint)) {
        const reason = 'The request has crashed several endpoints';
        return dispatchError(REQUEST_ERROR_CODES.quarantined, reason, true);
      }
      this.options.retryBudget.recordRequest(request.service.name);
      return (await this.origin.find()) ?? (await this.attemptUntilDone());
    } finally {
      this.end.dispose();
    }
  }

  private async attemptUntilDone(): Promise<RequestError | undefined> {
    const {request, callerLeft, log} = this.context;
    const {clock, endpoints, promptParts} = this.options;
    const {signal} = this.end;
    let holdUntil = this.holdUntil();
    for (;;) {
      log.step = REQUEST_STEPS.place;
      const waitStartedAt = clock.monotonicMilliseconds();
      const turn = await promptParts.waitForTurn(request, holdUntil, signal);
      if (callerLeft.aborted) return undefined;
      if (turn.kind === 'refused') return this.refuse(turn.error);
      const limited = this.origin.limit(request);
      if ('code' in limited) return this.refuse(limited);
      const acquired = await endpoints.acquire(
        limited,
        this.excluded,
        signal,
        turn.kind === 'trial' ? 'least_loaded' : 'affinity',
      );
      log.waitedMilliseconds += clock.monotonicMilliseconds() - waitStartedAt;
      if (callerLeft.aborted) return undefined;
      if (!acquired.ok) return this.refuse(acquired.error);
      const run = await promptParts.begin(
        {request, endpoint: acquired.value, holdUntil},
        signal,
      );
      if (callerLeft.aborted) {
        run?.end();
        return undefined;
      }
      if (run === undefined) continue;
      if (endpoints.isEvacuated(acquired.value)) {
        run.end();
        continue;
      }
      const tooLate = findTooLate(request, this.options);
      // What has run may need less time than a whole run, and is owed an answer.
      if (tooLate !== undefined && this.runCount === 0) {
        run.end();
        return tooLate;
      }
      const outcome = await this.attempt(acquired.value, run);
      if (outcome.kind === 'delivered' || callerLeft.aborted) return undefined;
      if (outcome.kind === 'withheld') return outcome.error;
      if (outcome.kind === 'broken' || !outcome.mayRetrySameEndpoint) {
        this.excluded.add(acquired.value.incarnation);
      }
      if (!this.mayRetry(outcome.kind)) return this.giveUp(outcome);
      if (this.splitter.lastEventId !== undefined) {
        log.streamResumed(this.splitter.lastEventId);
      }
      holdUntil = this.holdUntil();
    }
  }

  /** Time until which the next attempt may wait for a trial of its prompt. */
  private holdUntil(): number {
    const {clock} = this.options;
    const {objectiveMilliseconds} = this.context.request.route;
    return clock.monotonicMilliseconds() + objectiveMilliseconds * HOLD_SHARE;
  }

  private refuse(error: RequestError): RequestError {
    return this.runCount === 0
      ? error
      : dispatchError(error.code, error.message, false);
  }

  private giveUp(
    outcome: Exclude<AttemptOutcome, {kind: 'delivered' | 'withheld'}>,
  ): RequestError | undefined {
    if (outcome.kind === 'broken' && outcome.fallback !== undefined) {
      outcome.fallback();
      return undefined;
    }
    const hasTimedOut = outcome.kind === 'broken' && outcome.timedOut === true;
    const code = failureCode({
      hasTimedOut: hasTimedOut || this.remaining() <= 0,
      isHostStopping: this.context.hostStops.aborted,
    });
    return dispatchError(code, outcome.reason, this.runCount === 0);
  }

  private mayRetry(kind: 'not_run' | 'broken'): boolean {
    const {route, service} = this.context.request;
    if (this.end.signal.aborted) return false;
    if (this.remaining() <= 0 || this.dispatchCount >= MAXIMUM_DISPATCHES)
      return false;
    if (kind === 'broken' && !mayRunAgain(route, this.runCount)) return false;
    return this.options.retryBudget.tryConsume(service.name);
  }

  private async attempt(
    endpoint: Endpoint,
    run: PromptPartRun,
  ): Promise<AttemptOutcome> {
    const {request} = this.context;
    const {clock, dispatchWindow} = this.options;
    const target = targetOf(request.metadata);
    this.dispatchCount++;
    this.sentAt = clock.monotonicMilliseconds();
    this.hasBegun = false;
    this.origin.begin(endpoint);
    this.context.log.recordDispatch(
      endpoint,
      dispatchTimes(request, this.sentAt, dispatchWindow),
    );
    endpoint.begin(target);
    try {
      const outcome = await this.sendAndHandleResponse(endpoint, run);
      this.sentTo.add(endpoint.incarnation);
      const isDisconnected =
        outcome.kind === 'broken' && outcome.isDisconnected === true;
      if (isDisconnected && !this.hasBegun && !this.isAborted) {
        await run.recordBroken();
      }
      if (outcome.kind === 'delivered') {
        recordRunDuration(this.options, this.context, this.sentAt);
      } else {
        if (outcome.kind === 'broken') this.runCount++;
        this.context.log.attemptFailed({
          reason: outcome.reason,
          run: outcome.kind === 'not_run' ? 'not_run' : 'broken',
          hasBegun: this.hasBegun,
          remainingMilliseconds: Math.round(this.remaining()),
        });
      }
      return outcome;
    } finally {
      run.end();
      endpoint.end(target);
    }
  }

  private async sendAndHandleResponse(
    endpoint: Endpoint,
    run: PromptPartRun,
  ): Promise<AttemptOutcome> {
    const sent = await sendAttempt(this.options, this.context, {
      endpoint,
      lastEventId: this.splitter.lastEventId,
      usesNewConnection: this.sentTo.has(endpoint.incarnation),
      runCount: this.runCount,
      signal: this.end.signal,
    });
    switch (sent.kind) {
      case 'unsent':
        // An endpoint whose connections are all in use is busy, not broken.
        if (!this.isAborted && !sent.wasQueued) {
          const now = this.options.clock.monotonicMilliseconds();
          endpoint.condition.recordConnectFailure(now);
          this.options.endpoints.noteUnreachable(endpoint);
        }
        return {
          kind: 'not_run',
          reason: sent.reason,
          mayRetrySameEndpoint: false,
        };
      case 'unknown':
        if (!this.isAborted) this.recordBrokenEndpoint(endpoint);
        return {
          kind: 'broken',
          reason: sent.reason,
          timedOut: sent.timedOut,
          isDisconnected: !sent.timedOut,
        };
      case 'answer':
        return this.handleResponse(endpoint, sent, run);
      default:
        return unreachable(sent);
    }
  }

  private async handleResponse(
    endpoint: Endpoint,
    endpointResponse: EndpointResponse,
    run: PromptPartRun,
  ): Promise<AttemptOutcome> {
    const {wireFormat, endpoints} = this.options;
    const {request, log} = this.context;
    const {message, status, earlierRequests} = endpointResponse;
    const {sentAt} = this;
    log.step = REQUEST_STEPS.relay;
    const notice = wireFormat.readNotice(message);
    const {requestId} = request.metadata;
    if (wireFormat.isNotRun(message, requestId, earlierRequests === 0)) {
      endpoints.noteResponse(endpoint, {notice, sentAt, isSuccess: false});
      discardResponse(endpointResponse);
      endpoint.condition.recordAnswer(false);
      // An engine that was full or lacked the model may soon be the only one that can
      // run the request, so it is not excluded. noteRefused delays the next attempt.
      const mayRetrySameEndpoint = request.metadata.model !== undefined;
      if (mayRetrySameEndpoint) endpoints.noteRefused(request, endpoint);
      const reason = `endpoint refused with ${status}`;
      return {kind: 'not_run', reason, mayRetrySameEndpoint};
    }
    const mismatch = findMismatch(wireFormat, message, requestId);
    if (mismatch !== undefined) {
      endpointResponse.abort();
      log.answerDiscarded(mismatch, endpointResponse);
      this.recordBrokenEndpoint(endpoint);
      return {kind: 'broken', reason: `response discarded: ${mismatch}`};
    }
    const isSuccess = status >= 200 && status < 300;
    endpoints.noteResponse(endpoint, {notice, sentAt, isSuccess});
    return isSuccess && request.route.kind === 'streaming'
      ? this.relayStream(endpoint, endpointResponse, run)
      : this.relayBuffered(endpoint, endpointResponse, run);
  }

  private async relayBuffered(
    endpoint: Endpoint,
    endpointResponse: EndpointResponse,
    run: PromptPartRun,
  ): Promise<AttemptOutcome> {
    const {request, response, log} = this.context;
    const {status} = endpointResponse;
    const isSuccess = status >= 200 && status < 300;
    const reservation = this.context.reservation(
      `endpoint ${endpoint.record.id}`,
    );
    const body = await bufferResponse(endpointResponse, reservation);
    if (body === 'no_memory') {
      reservation.release();
      return {kind: 'broken', reason: 'this host holds too many bytes'};
    }
    if (body === 'broken') {
      reservation.release();
      endpointResponse.abort();
      if (!this.isAborted) this.recordBrokenEndpoint(endpoint);
      return {kind: 'broken', reason: 'answer broke off', isDisconnected: true};
    }
    this.recordBegun(run);
    endpoint.condition.recordAnswer(endpointResponse.status >= 500);
    const deliver = () => {
      writeResponseHead(response, endpointResponse, this.options, body.length);
      this.writer.end(body);
      // The writer counts what the caller has not read yet.
      reservation.release();
      log.served(endpointResponse.status, true);
    };
    if (!isSuccess && NOT_EXECUTED_STATUSES.has(status)) {
      // Callers take these statuses to mean that the request was not executed,
      // but it may have been.
      return {
        kind: 'broken',
        reason: `endpoint failed with ${endpointResponse.status}`,
      };
    }
    if (response.headersSent) {
      return {
        kind: 'broken',
        reason: `resumption failed: ${endpointResponse.status}`,
      };
    }
    if (endpointResponse.status >= 500 && request.route.kind === 'idempotent') {
      const reason = `endpoint failed with ${endpointResponse.status}`;
      return {kind: 'broken', reason, fallback: deliver};
    }
    deliver();
    return {kind: 'delivered'};
  }

  private async relayStream(
    endpoint: Endpoint,
    endpointResponse: EndpointResponse,
    run: PromptPartRun,
  ): Promise<AttemptOutcome> {
    const {request, response, log} = this.context;
    const outcome = await streamResponse(endpointResponse, {
      writer: this.writer,
      splitter: this.splitter,
      writeHead: first => {
        if (!response.headersSent)
          writeResponseHead(response, first, this.options);
      },
      onFirstEvent: () => this.recordBegun(run),
      forwardsWholeEvents: request.route.resumable,
      mayForward: this.origin.mayForward,
      callerLeft: this.context.callerLeft,
    });
    if (outcome === 'complete') {
      // Without framing, a crash before the first event looks like an empty stream.
      if (!this.hasBegun && !endpointResponse.isFramed)
        await run.recordBroken();
      endpoint.condition.recordAnswer(false);
      this.writer.end();
      log.served(endpointResponse.status, true);
      return {kind: 'delivered'};
    }
    endpointResponse.abort();
    if (outcome === 'withheld') return withheldOutcome();
    this.splitter.discardIncompleteEvent();
    if (!this.isAborted) this.recordBrokenEndpoint(endpoint);
    return {kind: 'broken', reason: 'stream broke off', isDisconnected: true};
  }

  private recordBegun(run: PromptPartRun): void {
    this.hasBegun = true;
    this.origin.recordDelivered();
    run.recordBegun();
    recordFirstEventDuration(this.options, this.context, this.sentAt);
  }

  private get isAborted(): boolean {
    return this.end.signal.aborted;
  }

  private recordBrokenEndpoint(endpoint: Endpoint): void {
    endpoint.condition.recordBrokenRequest();
    this.options.crashGuard.recordCrash(
      this.context.fingerprint,
      endpoint.incarnation,
    );
  }

  private remaining(): number {
    return (
      this.context.request.deadlineAt -
      this.options.clock.monotonicMilliseconds()
    );
  }
}
