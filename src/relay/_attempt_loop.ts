import type {ServerResponse} from 'node:http';
import {
  REQUEST_ERROR_CODES,
  REQUEST_STEPS,
  type RequestError,
  type RequestErrorCode,
  RUN_STATES,
  unreachable,
} from '../errors/mod.ts';
import {
  discardResponse,
  type EndpointResponse,
  sendToEndpoint,
  type SendOutcome,
} from '../exchange/mod.ts';
import type {Endpoint} from '../fleet/mod.ts';
import {bufferResponse} from './_buffer_response.ts';
import {EventSplitter} from './_event_splitter.ts';
import type {RequestLog} from './_request_log.ts';
import {streamResponse} from './_stream_response.ts';
import {type RoutedRequest, targetOf} from './endpoint_source.ts';
import type {RequestRelayOptions} from './relay_options.ts';
import {connectionHeader} from './request_relay.ts';

/** An admitted request and the response to write to. */
export interface AttemptContext {
  readonly request: RoutedRequest;
  readonly method: string;
  readonly path: string;
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  readonly fingerprint: string;
  readonly response: ServerResponse;
  /** Aborted when the caller disconnects. */
  readonly callerLeft: AbortSignal;
  readonly log: RequestLog;
}

/** Connect time-out; the network latency to endpoints is a few milliseconds. */
const CONNECT_TIMEOUT_MILLISECONDS = 500;

/**
 * Maximum number of times one request is sent, including attempts that no
 * endpoint executed.
 */
const MAXIMUM_DISPATCHES = 4;

/**
 * Fraction of the remaining time that an attempt at an idempotent request may
 * take. It leaves time for a retry when an endpoint does not respond.
 */
const RESPONSE_TIMEOUT_SHARE = 0.45;

type AttemptOutcome =
  | {readonly kind: 'delivered'}
  | {
      readonly kind: 'not_run';
      readonly reason: string;
      /** Whether the same endpoint may accept the request later. */
      readonly mayRetrySameEndpoint: boolean;
    }
  | {
      readonly kind: 'broken';
      readonly reason: string;
      /** Whether the endpoint's head did not arrive within the time-out. */
      readonly timedOut?: boolean;
      /** Forwards the endpoint's response when no attempt is left. */
      readonly fallback?: () => void;
    };

/** Sends a request to endpoints until one responds or no retry is allowed. */
export class AttemptLoop {
  private readonly excluded = new Set<string>();
  private readonly splitter = new EventSplitter();
  private readonly abortController = new AbortController();
  /** Whether the current attempt has delivered an event or a whole response. */
  private hasBegun = false;
  private dispatchCount = 0;
  private runCount = 0;

  constructor(
    private readonly options: RequestRelayOptions,
    private readonly context: AttemptContext,
  ) {}

  /** @returns The error to respond with; undefined when nothing is left to send. */
  async run(): Promise<RequestError | undefined> {
    const {callerLeft, request, fingerprint} = this.context;
    if (!this.options.crashGuard.allows(fingerprint)) {
      return this.error(
        REQUEST_ERROR_CODES.quarantined,
        'The request has crashed several endpoints',
        true,
      );
    }
    const abort = () => this.abortController.abort();
    callerLeft.addEventListener('abort', abort, {once: true});
    const cancelTimer = this.options.clock.startTimer(this.remaining(), abort);
    try {
      this.options.retryBudget.recordRequest(request.service.name);
      return await this.attemptUntilDone();
    } finally {
      cancelTimer();
      callerLeft.removeEventListener('abort', abort);
    }
  }

  private async attemptUntilDone(): Promise<RequestError | undefined> {
    const {request, callerLeft, log} = this.context;
    const {clock, endpoints} = this.options;
    for (;;) {
      const waitStartedAt = clock.monotonicMilliseconds();
      const acquired = await endpoints.acquire(
        request,
        this.excluded,
        this.abortController.signal,
      );
      log.waitedMilliseconds += clock.monotonicMilliseconds() - waitStartedAt;
      if (callerLeft.aborted) return undefined;
      if (!acquired.ok) {
        return this.runCount === 0
          ? acquired.error
          : this.error(acquired.error.code, acquired.error.message, false);
      }
      const outcome = await this.attempt(acquired.value);
      if (outcome.kind === 'delivered' || callerLeft.aborted) return undefined;
      if (outcome.kind === 'broken' || !outcome.mayRetrySameEndpoint) {
        this.excluded.add(acquired.value.incarnation);
      }
      if (!this.mayRetry(outcome.kind)) return this.giveUp(outcome);
      if (this.splitter.lastEventId !== undefined) {
        log.streamResumed(this.splitter.lastEventId);
      }
    }
  }

  private giveUp(
    outcome: Exclude<AttemptOutcome, {kind: 'delivered'}>,
  ): RequestError | undefined {
    if (outcome.kind === 'broken' && outcome.fallback !== undefined) {
      outcome.fallback();
      return undefined;
    }
    const hasTimedOut = outcome.kind === 'broken' && outcome.timedOut === true;
    const code =
      hasTimedOut || this.remaining() <= 0
        ? REQUEST_ERROR_CODES.deadlineExceeded
        : REQUEST_ERROR_CODES.endpointFailed;
    return this.error(code, outcome.reason, this.runCount === 0);
  }

  private mayRetry(kind: 'not_run' | 'broken'): boolean {
    const {route, service} = this.context.request;
    if (this.remaining() <= 0 || this.dispatchCount >= MAXIMUM_DISPATCHES)
      return false;
    if (kind === 'broken') {
      if (route.kind === 'non_idempotent') return false;
      if (route.kind === 'streaming' && !route.resumable) return false;
      if (this.runCount >= route.maximumAttempts) return false;
    }
    return this.options.retryBudget.tryConsume(service.name);
  }

  private async attempt(endpoint: Endpoint): Promise<AttemptOutcome> {
    const target = targetOf(this.context.request.metadata);
    this.dispatchCount++;
    this.hasBegun = false;
    this.context.log.recordDispatch(endpoint);
    endpoint.begin(target);
    try {
      const outcome = await this.sendAndHandleResponse(endpoint);
      if (outcome.kind !== 'delivered') {
        if (outcome.kind === 'broken') this.runCount++;
        this.context.log.attemptFailed({
          reason: outcome.reason,
          run: outcome.kind,
          hasBegun: this.hasBegun,
        });
      }
      return outcome;
    } finally {
      endpoint.end(target);
    }
  }

  private async sendAndHandleResponse(
    endpoint: Endpoint,
  ): Promise<AttemptOutcome> {
    const sent = await this.send(endpoint);
    const {condition} = endpoint;
    switch (sent.kind) {
      case 'unsent':
        if (!this.abortController.signal.aborted) {
          condition.recordConnectFailure(
            this.options.clock.monotonicMilliseconds(),
          );
        }
        return {
          kind: 'not_run',
          reason: sent.reason,
          mayRetrySameEndpoint: false,
        };
      case 'unknown':
        if (!this.abortController.signal.aborted)
          this.recordBrokenEndpoint(endpoint);
        return {kind: 'broken', reason: sent.reason, timedOut: sent.timedOut};
      case 'answer':
        return this.handleResponse(endpoint, sent);
      default:
        return unreachable(sent);
    }
  }

  private send(endpoint: Endpoint): Promise<SendOutcome> {
    const {request, method, path, rawHeaders, body} = this.context;
    const remaining = this.remaining();
    return sendToEndpoint({
      address: endpoint.record.address,
      method,
      path,
      headers: this.options.wireFormat.requestHeaders(rawHeaders, body.length, {
        endpointId: endpoint.record.id,
        deadlineMilliseconds: remaining,
        team: request.team,
        priority:
          request.service.engines === undefined ? undefined : request.priority,
        lastEventId: this.splitter.lastEventId ?? request.metadata.lastEventId,
      }),
      body,
      agent: endpoint.agent,
      connectTimeoutMilliseconds: CONNECT_TIMEOUT_MILLISECONDS,
      responseTimeoutMilliseconds: this.responseTimeoutMilliseconds(remaining),
      signal: this.abortController.signal,
    });
  }

  private responseTimeoutMilliseconds(remaining: number): number {
    const {route} = this.context.request;
    const hasAnother =
      route.kind === 'idempotent' && this.runCount + 1 < route.maximumAttempts;
    return Math.max(
      1,
      hasAnother ? remaining * RESPONSE_TIMEOUT_SHARE : remaining,
    );
  }

  private async handleResponse(
    endpoint: Endpoint,
    endpointResponse: EndpointResponse,
  ): Promise<AttemptOutcome> {
    const {wireFormat, endpoints} = this.options;
    const {request, log} = this.context;
    const {message, status} = endpointResponse;
    if (wireFormat.isNotRun(message, request.metadata.requestId)) {
      discardResponse(endpointResponse);
      endpoint.condition.recordAnswer(false);
      // An engine that was full or lacked the model may soon be the only one
      // that can run the request, so it is not excluded. noteRefused delays
      // the next attempt at it.
      const mayRetrySameEndpoint = request.metadata.model !== undefined;
      if (mayRetrySameEndpoint) endpoints.noteRefused(request, endpoint);
      const reason = `endpoint refused with ${status}`;
      return {
        kind: 'not_run',
        reason,
        mayRetrySameEndpoint,
      };
    }
    if (!wireFormat.matchesRequest(message, request.metadata.requestId)) {
      endpointResponse.abort();
      log.answerDiscarded('it belongs to another request', status);
      this.recordBrokenEndpoint(endpoint);
      return {kind: 'broken', reason: 'answer to another request'};
    }
    if (!wireFormat.isAuthentic(message)) {
      endpointResponse.abort();
      log.answerDiscarded('it is not the endpoint’s own', status);
      this.recordBrokenEndpoint(endpoint);
      return {kind: 'broken', reason: `unsigned answer with ${status}`};
    }
    const isSuccess = status >= 200 && status < 300;
    return isSuccess && request.route.kind === 'streaming'
      ? this.relayStream(endpoint, endpointResponse)
      : this.relayBuffered(endpoint, endpointResponse, isSuccess);
  }

  private async relayBuffered(
    endpoint: Endpoint,
    endpointResponse: EndpointResponse,
    isSuccess: boolean,
  ): Promise<AttemptOutcome> {
    const {request, response, log} = this.context;
    const body = await bufferResponse(endpointResponse);
    if (body === undefined) {
      endpointResponse.abort();
      if (!this.abortController.signal.aborted)
        this.recordBrokenEndpoint(endpoint);
      return {kind: 'broken', reason: 'answer broke off'};
    }
    this.hasBegun = true;
    endpoint.condition.recordAnswer(endpointResponse.status >= 500);
    const deliver = () => {
      this.writeHead(endpointResponse, body.length);
      response.end(body);
      log.served(endpointResponse.status, true);
    };
    if (!isSuccess && NOT_EXECUTED_STATUSES.has(endpointResponse.status)) {
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
  ): Promise<AttemptOutcome> {
    const {request, response, log} = this.context;
    const outcome = await streamResponse(endpointResponse, {
      response,
      splitter: this.splitter,
      writeHead: first => {
        if (!response.headersSent) this.writeHead(first, undefined);
      },
      onFirstEvent: () => (this.hasBegun = true),
      forwardsWholeEvents: request.route.resumable,
    });
    if (outcome === 'complete') {
      endpoint.condition.recordAnswer(false);
      response.end();
      log.served(endpointResponse.status, true);
      return {kind: 'delivered'};
    }
    endpointResponse.abort();
    this.splitter.discardIncompleteEvent();
    if (!this.abortController.signal.aborted)
      this.recordBrokenEndpoint(endpoint);
    return {kind: 'broken', reason: 'stream broke off'};
  }

  /**
   * Writes the head of an endpoint's response. If the endpoint sent neither a
   * Content-Length nor chunks, none are added: the end of such a body may be due
   * to a crash, and framing by this host would make it look complete.
   */
  private writeHead(
    endpointResponse: EndpointResponse,
    bodyBytes: number | undefined,
  ): void {
    const {response} = this.context;
    response.useChunkedEncodingByDefault = endpointResponse.isFramed;
    response.writeHead(endpointResponse.status, [
      ...connectionHeader(response),
      ...this.options.wireFormat.responseHeaders(endpointResponse.message),
      ...(endpointResponse.isFramed && bodyBytes !== undefined
        ? ['Content-Length', String(bodyBytes)]
        : []),
    ]);
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

  private error(
    code: RequestErrorCode,
    message: string,
    isNotRun: boolean,
  ): RequestError {
    return {
      code,
      message,
      step: REQUEST_STEPS.dispatch,
      run: isNotRun ? RUN_STATES.notRun : RUN_STATES.unknown,
    };
  }
}

/** Statuses that tell callers that a request was not executed. */
const NOT_EXECUTED_STATUSES: ReadonlySet<number> = new Set([
  408, 421, 429, 503,
]);
