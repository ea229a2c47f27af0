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
  type EndpointResponse,
  sendToEndpoint,
  type SendOutcome,
} from '../exchange/mod.ts';
import type {Endpoint} from '../fleet/mod.ts';
import {bufferAnswer} from './_buffer_answer.ts';
import {EventSplitter} from './_event_splitter.ts';
import type {RequestLog} from './_request_log.ts';
import {streamAnswer} from './_stream_answer.ts';
import {type RoutedRequest, targetOf} from './endpoint_source.ts';
import type {RequestRelayOptions} from './relay_options.ts';
import {connectionHeader} from './request_relay.ts';

/** One admitted request and where its answer goes. */
export interface AttemptContext {
  readonly request: RoutedRequest;
  readonly method: string;
  readonly path: string;
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  readonly fingerprint: string;
  readonly response: ServerResponse;
  /** Aborted when the caller has left. */
  readonly callerLeft: AbortSignal;
  readonly log: RequestLog;
}

/** Time to establish a connection; hosts and endpoints are milliseconds apart. */
const CONNECT_MILLISECONDS = 500;

/** Sendings of one request, those included that no endpoint has run. */
const MAXIMUM_SENDS = 4;

/**
 * Share of the time left after which an idempotent request with no answer is
 * sent elsewhere, so that a silent endpoint does not use up the whole time.
 */
const SILENCE_SHARE = 0.45;

type AttemptOutcome =
  | {readonly kind: 'delivered'}
  | {
      readonly kind: 'not_run';
      readonly reason: string;
      /** The endpoint itself may run the request a moment later. */
      readonly mayAskAgain: boolean;
    }
  | {
      readonly kind: 'broken';
      readonly reason: string;
      /** Answer of the endpoint to pass on when there is no other attempt. */
      readonly fallback?: () => void;
    };

/** Sends one request to endpoints until it is answered or must be given up. */
export class AttemptLoop {
  private readonly excluded = new Set<string>();
  private readonly splitter = new EventSplitter();
  private readonly ending = new AbortController();
  private sends = 0;
  private runs = 0;

  constructor(
    private readonly options: RequestRelayOptions,
    private readonly context: AttemptContext,
  ) {}

  /** @returns An error that is still to be answered. */
  async run(): Promise<RequestError | undefined> {
    const {callerLeft, request, fingerprint} = this.context;
    if (!this.options.crashGuard.allows(fingerprint)) {
      return this.error(
        REQUEST_ERROR_CODES.quarantined,
        'The request has crashed several endpoints',
        true,
      );
    }
    const end = () => this.ending.abort();
    callerLeft.addEventListener('abort', end, {once: true});
    const cancelTimer = this.options.clock.startTimer(this.remaining(), end);
    try {
      this.options.retryBudget.recordRequest(request.service.name);
      return await this.attemptUntilAnswered();
    } finally {
      cancelTimer();
      callerLeft.removeEventListener('abort', end);
    }
  }

  private async attemptUntilAnswered(): Promise<RequestError | undefined> {
    const {request, callerLeft, log} = this.context;
    const {clock, endpoints} = this.options;
    for (;;) {
      const waitStartedAt = clock.monotonicMilliseconds();
      const acquired = await endpoints.acquire(
        request,
        this.excluded,
        this.ending.signal,
      );
      log.waited += clock.monotonicMilliseconds() - waitStartedAt;
      if (callerLeft.aborted) return undefined;
      if (!acquired.ok) {
        return this.runs === 0
          ? acquired.error
          : this.error(acquired.error.code, acquired.error.message, false);
      }
      const outcome = await this.attempt(acquired.value);
      if (outcome.kind === 'delivered' || callerLeft.aborted) return undefined;
      if (outcome.kind === 'broken' || !outcome.mayAskAgain) {
        this.excluded.add(acquired.value.incarnation);
      }
      if (!this.mayRepeat(outcome.kind)) return this.giveUp(outcome);
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
    const code =
      this.remaining() <= 0
        ? REQUEST_ERROR_CODES.deadlineExceeded
        : REQUEST_ERROR_CODES.endpointFailed;
    return this.error(code, outcome.reason, this.runs === 0);
  }

  private mayRepeat(kind: 'not_run' | 'broken'): boolean {
    const {route, service} = this.context.request;
    if (this.remaining() <= 0 || this.sends >= MAXIMUM_SENDS) return false;
    if (kind === 'broken') {
      if (route.kind === 'non_idempotent') return false;
      if (route.kind === 'streaming' && !route.resumable) return false;
      if (this.runs >= route.maximumAttempts) return false;
    }
    return this.options.retryBudget.tryConsume(service.name);
  }

  private async attempt(endpoint: Endpoint): Promise<AttemptOutcome> {
    const target = targetOf(this.context.request.metadata);
    this.sends++;
    this.context.log.sent(endpoint);
    endpoint.begin(target);
    try {
      const outcome = await this.exchange(endpoint);
      if (outcome.kind !== 'delivered') {
        if (outcome.kind === 'broken') this.runs++;
        this.context.log.attemptFailed(outcome.reason, outcome.kind);
      }
      return outcome;
    } finally {
      endpoint.end(target);
    }
  }

  private async exchange(endpoint: Endpoint): Promise<AttemptOutcome> {
    const sent = await this.send(endpoint);
    const {condition} = endpoint;
    switch (sent.kind) {
      case 'unsent':
        if (!this.ending.signal.aborted) {
          condition.recordConnectFailure(
            this.options.clock.monotonicMilliseconds(),
          );
        }
        return {kind: 'not_run', reason: sent.reason, mayAskAgain: false};
      case 'unknown':
        if (!this.ending.signal.aborted) this.noteBroken(endpoint);
        return {kind: 'broken', reason: sent.reason};
      case 'answer':
        return this.takeAnswer(endpoint, sent);
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
      connectTimeoutMilliseconds: CONNECT_MILLISECONDS,
      responseTimeoutMilliseconds: this.answerTime(remaining),
      signal: this.ending.signal,
    });
  }

  private answerTime(remaining: number): number {
    const {route} = this.context.request;
    const hasAnother =
      route.kind === 'idempotent' && this.runs + 1 < route.maximumAttempts;
    return Math.max(1, hasAnother ? remaining * SILENCE_SHARE : remaining);
  }

  private async takeAnswer(
    endpoint: Endpoint,
    answer: EndpointResponse,
  ): Promise<AttemptOutcome> {
    const {wireFormat: dialect, endpoints} = this.options;
    const {request, log} = this.context;
    const {message, status} = answer;
    if (dialect.isNotRun(message, request.metadata.requestId)) {
      message.resume();
      endpoint.condition.recordAnswer(false);
      // An engine that was full or lacked the model may be the only one to
      // have it a moment later; the pause keeps it from being asked at once.
      const mayAskAgain = request.metadata.model !== undefined;
      if (mayAskAgain) endpoints.noteRefused(request, endpoint);
      const reason = `endpoint refused with ${status}`;
      return {kind: 'not_run', reason, mayAskAgain};
    }
    if (!dialect.matchesRequest(message, request.metadata.requestId)) {
      answer.abort();
      log.answerDiscarded('it belongs to another request', status);
      this.noteBroken(endpoint);
      return {kind: 'broken', reason: 'answer to another request'};
    }
    if (!dialect.isAuthentic(message)) {
      answer.abort();
      log.answerDiscarded('it is not the endpoint’s own', status);
      this.noteBroken(endpoint);
      return {kind: 'broken', reason: `unsigned answer with ${status}`};
    }
    const isSuccess = status >= 200 && status < 300;
    return isSuccess && request.route.kind === 'streaming'
      ? this.passStream(endpoint, answer)
      : this.passWhole(endpoint, answer, isSuccess);
  }

  private async passWhole(
    endpoint: Endpoint,
    answer: EndpointResponse,
    isSuccess: boolean,
  ): Promise<AttemptOutcome> {
    const {request, response, log} = this.context;
    const body = await bufferAnswer(answer);
    if (body === undefined) {
      answer.abort();
      if (!this.ending.signal.aborted) this.noteBroken(endpoint);
      return {kind: 'broken', reason: 'answer broke off'};
    }
    endpoint.condition.recordAnswer(answer.status >= 500);
    const deliver = () => {
      this.writeHead(answer, body.length);
      response.end(body);
      log.served(answer.status, true);
    };
    if (!isSuccess && PROMISING_STATUSES.has(answer.status)) {
      // These promise callers that nothing has run, which is not known here.
      return {kind: 'broken', reason: `endpoint failed with ${answer.status}`};
    }
    if (response.headersSent) {
      return {kind: 'broken', reason: `resumption failed: ${answer.status}`};
    }
    if (answer.status >= 500 && request.route.kind === 'idempotent') {
      const reason = `endpoint failed with ${answer.status}`;
      return {kind: 'broken', reason, fallback: deliver};
    }
    deliver();
    return {kind: 'delivered'};
  }

  private async passStream(
    endpoint: Endpoint,
    answer: EndpointResponse,
  ): Promise<AttemptOutcome> {
    const {request, response, log} = this.context;
    const outcome = await streamAnswer(answer, {
      response,
      splitter: this.splitter,
      begin: first => {
        if (!response.headersSent) this.writeHead(first, undefined);
      },
      wholeEvents: request.route.resumable,
    });
    if (outcome === 'complete') {
      endpoint.condition.recordAnswer(false);
      response.end();
      log.served(answer.status, true);
      return {kind: 'delivered'};
    }
    answer.abort();
    this.splitter.discardRest();
    if (!this.ending.signal.aborted) this.noteBroken(endpoint);
    return {kind: 'broken', reason: 'stream broke off'};
  }

  /**
   * Writes the head of an endpoint's answer. A body without a length stays so
   * for the caller: its end may be that of a crashed endpoint, and a length or
   * chunks of this system would make it look complete.
   */
  private writeHead(
    answer: EndpointResponse,
    bodyBytes: number | undefined,
  ): void {
    const {response} = this.context;
    response.useChunkedEncodingByDefault = answer.isFramed;
    response.writeHead(answer.status, [
      ...connectionHeader(response),
      ...this.options.wireFormat.responseHeaders(answer.message),
      ...(answer.isFramed && bodyBytes !== undefined
        ? ['Content-Length', String(bodyBytes)]
        : []),
    ]);
  }

  private noteBroken(endpoint: Endpoint): void {
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

/** Statuses by which callers understand that a request has not run. */
const PROMISING_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
