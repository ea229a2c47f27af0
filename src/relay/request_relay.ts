import {createHash} from 'node:crypto';
import {setMaxListeners} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {pickService, type Route, type RouteIndex} from '../deployment/mod.ts';
import {
  REQUEST_ERROR_CODES,
  REQUEST_STEPS,
  type RequestError,
  RUN_STATES,
} from '../errors/mod.ts';
import {breakOff} from '../exchange/mod.ts';
import type {ByteReservation} from '../bytes/mod.ts';
import {AttemptLoop} from './_attempt_loop.ts';

import {connectionHeader} from './_connection_header.ts';
import {drainingError} from './draining_error.ts';
import {notRunError} from './_not_run_error.ts';
import {createRoutedRequest, type Sender} from './create_routed_request.ts';
import {costOf} from './_cost_of.ts';
import {rateRefusal} from './rate_refusal.ts';
import {readBody} from './_read_body.ts';
import {RequestLog} from './_request_log.ts';
import type {RoutedRequest} from './endpoint_source.ts';
import type {RequestRelayOptions} from './relay_options.ts';
import type {RequestMetadata} from './request_metadata.ts';
import {sleep} from '../time/mod.ts';

/**
 * Time for which requests wait for the first configuration, and Retry-After value sent
 * after it.
 */
const UNCONFIGURED_RETRY_MILLISECONDS = 500;

/** Interval at which waiting requests look for the first configuration. */
const ROUTES_CHECK_MILLISECONDS = 20;

/** Retry-After value sent while this host holds too many bytes. */
const FULL_RETRY_MILLISECONDS = 500;

/** Bytes of a refused request's body that are read so that its connection is kept. */
const MAXIMUM_DISCARDED_BYTES = 8 * 1024 * 1024;

/**
 * Request pipeline: matches a route, authenticates, admits, selects an
 * endpoint, forwards the request and decides on retries. Bodies are opaque.
 */
export class RequestRelay {
  /** Logs of the requests whose response is not written out yet. */
  private readonly openRequests = new Set<RequestLog>();
  private readonly stopController = new AbortController();

  constructor(private readonly options: RequestRelayOptions) {
    // Each request listens to the signal until its response begins.
    setMaxListeners(0, this.stopController.signal);
  }

  /** Number of requests whose response is not written out yet. */
  get openRequestCount(): number {
    return this.openRequests.size;
  }

  /** Logs each request in flight, with the step that it has reached. */
  logOpenRequests(): void {
    for (const log of this.openRequests) log.stillOpen();
  }

  /**
   * Answers all requests that have no response yet with an error, and those that
   * arrive later. Responses that have begun go on.
   */
  endUnansweredRequests(): void {
    this.stopController.abort();
  }

  /** Handles one request up to its response. */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const arrivedAt = this.options.clock.monotonicMilliseconds();
    const metadata = this.options.wireFormat.readMetadata(request.headers);
    const log = new RequestLog(this.options, metadata, arrivedAt);
    this.openRequests.add(log);
    let isHandled = false;
    let isClosed = false;
    let leftAt = Number.POSITIVE_INFINITY;
    const reservations: ByteReservation[] = [];
    const callerAbort = new AbortController();
    const end = () => {
      this.openRequests.delete(log);
      for (const reservation of reservations) reservation.release();
    };
    response.once('close', () => {
      isClosed = true;
      if (isHandled) end();
      if (response.writableFinished) return;
      leftAt = this.options.clock.monotonicMilliseconds();
      callerAbort.abort();
    });
    try {
      const error = await this.serve(request, response, {
        arrivedAt,
        metadata,
        log,
        callerLeft: callerAbort.signal,
        reservation: holder => {
          const reservation = this.options.byteBudget.open(holder);
          reservations.push(reservation);
          return reservation;
        },
      });
      if (error !== undefined)
        this.respondWithError(request, response, metadata, error, log);
    } catch (error) {
      this.options.logger.event('unexpectedFailure', {
        requestId: metadata.requestId,
        reason: error instanceof Error ? error.stack : String(error),
      });
      breakOff(response);
    } finally {
      if (callerAbort.signal.aborted) log.callerLeft(leftAt);
      isHandled = true;
      if (isClosed) end();
    }
  }

  /** @returns The error to respond with; undefined when nothing is left to send. */
  private async serve(
    request: IncomingMessage,
    response: ServerResponse,
    context: RequestContext,
  ): Promise<RequestError | undefined> {
    const {metadata, log, arrivedAt, callerLeft} = context;
    const index = await this.waitForRoutes(callerLeft);
    if (index === undefined) {
      return notRunError(
        REQUEST_ERROR_CODES.viewUnconfirmed,
        REQUEST_STEPS.parse,
        'This host knows no configuration yet',
        UNCONFIGURED_RETRY_MILLISECONDS,
      );
    }
    log.configurationVersion = index.configuration.version;
    const {signal} = this.stopController;
    if (signal.aborted) return drainingError(REQUEST_STEPS.admit);
    const sender = this.identify(request, index, context);
    if ('code' in sender) return sender;
    const {bodyBytes} = index.configuration.limits;
    const declaredBytes = Number(request.headers['content-length'] ?? 0);
    if (declaredBytes > bodyBytes) return tooLargeError(bodyBytes);
    const received = await readBody(request, {
      maximumBytes: bodyBytes,
      reservation: context.reservation(holderOf(sender, request)),
      stop: signal,
    });
    if (received.kind === 'no_memory') {
      return notRunError(
        REQUEST_ERROR_CODES.overloaded,
        REQUEST_STEPS.admit,
        'This host holds too many bytes of other requests',
        FULL_RETRY_MILLISECONDS,
      );
    }
    if (received.kind === 'stopped') return drainingError(REQUEST_STEPS.admit);
    if (received.kind === 'broken') return undefined;
    if (received.kind === 'too_large') return tooLargeError(bodyBytes);
    log.step = REQUEST_STEPS.admit;
    // The configuration may have changed while the body was read.
    const current = this.options.routes() ?? index;
    log.configurationVersion = current.configuration.version;
    const admitted = this.admit(request, current, context);
    if ('code' in admitted) return admitted;
    const {clock, dispatchWindow} = this.options;
    if (clock.monotonicMilliseconds() >= dispatchWindow.hostLimit(admitted))
      return drainingError(REQUEST_STEPS.admit);
    const loop = new AttemptLoop(this.options, {
      request: admitted,
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      rawHeaders: request.rawHeaders,
      body: received.body,
      fingerprint: fingerprint(admitted, request, received.body),
      response,
      reservation: context.reservation,
      callerLeft,
      hostStops: this.stopController.signal,
      log,
    });
    log.admittedAfterMilliseconds =
      this.options.clock.monotonicMilliseconds() - arrivedAt;
    log.target = metadata.model ?? '';
    const takenAt = clock.monotonicMilliseconds();
    const error = await loop.run();
    if (error?.run === RUN_STATES.notRun) this.refund(admitted, takenAt);
    return error;
  }

  /**
   * Waits for the first configuration, which a host usually gets a moment after its
   * start. Callers whose streams the loss of a host has broken off are the first to come,
   * and many of them can try only once.
   */
  private async waitForRoutes(
    signal: AbortSignal,
  ): Promise<RouteIndex | undefined> {
    const {clock, routes} = this.options;
    const startedAt = clock.monotonicMilliseconds();
    for (;;) {
      const index = routes();
      const waited = clock.monotonicMilliseconds() - startedAt;
      if (index !== undefined || waited >= UNCONFIGURED_RETRY_MILLISECONDS)
        return index;
      if (signal.aborted || this.stopController.signal.aborted)
        return undefined;
      await sleep(clock, ROUTES_CHECK_MILLISECONDS, signal);
    }
  }

  /** Returns the cost of a request that no endpoint has run to its team. */
  private refund({metadata, team}: RoutedRequest, takenAt: number): void {
    const terms = this.options
      .routes()
      ?.configuration.teams?.find(({name}) => name === team);
    if (terms === undefined) return;
    this.options.rateLimiter.refund?.(terms, costOf(terms, metadata), takenAt);
  }

  /** Finds the route and the team of a request; its head is enough. */
  private identify(
    request: IncomingMessage,
    index: RouteIndex,
    {metadata, log}: RequestContext,
  ): Sender | RequestError {
    const route = index.findRoute(metadata.hostName, request.url ?? '/');
    const service =
      route === undefined ? undefined : this.findService(index, route);
    if (route === undefined || service === undefined) {
      return notRunError(
        REQUEST_ERROR_CODES.routeNotFound,
        REQUEST_STEPS.parse,
        `No route for ${metadata.hostName}${request.url ?? '/'}`,
      );
    }
    log.route = route.name;
    log.service = service.name;
    const checksKeys = index.configuration.teams !== undefined && !route.open;
    const team =
      checksKeys && metadata.key !== undefined
        ? index.findTeam(metadata.key)
        : undefined;
    if (checksKeys && team === undefined) {
      return notRunError(
        REQUEST_ERROR_CODES.invalidApiKey,
        REQUEST_STEPS.authenticate,
        'The key belongs to no team',
      );
    }
    log.team = team?.name;
    return {route, service, team};
  }

  private admit(
    request: IncomingMessage,
    index: RouteIndex,
    context: RequestContext,
  ): RoutedRequest | RequestError {
    const {metadata, arrivedAt} = context;
    const sender = this.identify(request, index, context);
    if ('code' in sender) return sender;
    const {team} = sender;
    const {rateLimiter} = this.options;
    const refused =
      team === undefined
        ? undefined
        : rateRefusal(team, metadata, (payer, cost) =>
            rateLimiter.take(payer, cost),
          );
    return refused ?? createRoutedRequest(sender, metadata, arrivedAt);
  }

  private findService(index: RouteIndex, route: Route) {
    const name = pickService(route, this.options.random());
    return name === undefined
      ? undefined
      : index.configuration.services.get(name);
  }

  private respondWithError(
    request: IncomingMessage,
    response: ServerResponse,
    metadata: RequestMetadata,
    error: RequestError,
    log: RequestLog,
  ): void {
    const head = this.options.wireFormat.errorResponseHead(
      error,
      metadata.requestId,
    );
    log.failed(error, head.status);
    if (response.headersSent) {
      // The head has been sent, so only the end of the connection can signal the
      // failure.
      breakOff(response);
      return;
    }
    const isDraining = this.options.isDraining();
    response.writeHead(head.status, [
      ...connectionHeader(this.options),
      ...head.headers,
    ]);
    if (!request.complete) limitDiscardedBytes(request);
    if (request.complete || !isDraining) {
      response.end();
      return;
    }
    // Closing a connection with unread bytes resets it, and the caller may lose
    // the response. The head is the whole response.
    response.flushHeaders();
    request.once('close', () => response.end());
    request.resume();
  }
}

interface RequestContext {
  readonly arrivedAt: number;
  readonly metadata: RequestMetadata;
  readonly log: RequestLog;
  readonly callerLeft: AbortSignal;
  /** Opens a reservation that lasts until the response is written out. */
  readonly reservation: (holder: string) => ByteReservation;
}

/** Name under which the bytes of a request's body are counted. */
function holderOf({team}: Sender, request: IncomingMessage): string {
  return team === undefined
    ? `caller ${request.socket.remoteAddress}`
    : `team ${team.name}`;
}

function tooLargeError(maximumBytes: number): RequestError {
  return notRunError(
    REQUEST_ERROR_CODES.requestTooLarge,
    REQUEST_STEPS.parse,
    `The body exceeds ${maximumBytes} bytes`,
  );
}

/** Hash that is equal for retries of a request: same team, method, path and body. */
function fingerprint(
  routed: RoutedRequest,
  request: IncomingMessage,
  body: Buffer,
): string {
  return createHash('sha1')
    .update(`${routed.team ?? ''} ${request.method} ${request.url}\n`)
    .update(body)
    .digest('base64');
}

/** Closes the connection of a refused request whose body goes on for too long. */
function limitDiscardedBytes(request: IncomingMessage): void {
  let bytes = 0;
  request.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > MAXIMUM_DISCARDED_BYTES) request.destroy();
  });
}
