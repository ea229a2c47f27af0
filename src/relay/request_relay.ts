import {createHash} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {pickService, type Route, type RouteIndex} from '../deployment/mod.ts';
import {
  REQUEST_ERROR_CODES,
  REQUEST_STEPS,
  type RequestError,
  type RequestErrorCode,
  type RequestStep,
  RUN_STATES,
} from '../errors/mod.ts';
import {readBody} from './_read_body.ts';
import {AttemptLoop} from './_attempt_loop.ts';
import {RequestLog} from './_request_log.ts';
import type {RoutedRequest} from './endpoint_source.ts';
import type {RequestRelayOptions} from './relay_options.ts';
import type {RequestMetadata} from './request_metadata.ts';

/** Pause before a caller of a host that knows no configuration tries again. */
const UNCONFIGURED_RETRY_MILLISECONDS = 500;

/** Pause before a caller of a stopping host tries again, at another one. */
const DRAINING_RETRY_MILLISECONDS = 50;

/**
 * The path of every request: match a route, authenticate, admit, choose an
 * endpoint, relay, and decide on another attempt. Bodies are opaque bytes.
 */
export class RequestRelay {
  private openRequests = 0;

  constructor(private readonly options: RequestRelayOptions) {}

  /** Requests that have not been answered. */
  get openRequestCount(): number {
    return this.openRequests;
  }

  /** Answers one request. */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.openRequests++;
    const arrivedAt = this.options.clock.monotonicMilliseconds();
    const traits = this.options.wireFormat.readMetadata(request.headers);
    const log = new RequestLog(this.options, traits, arrivedAt);
    const gone = new AbortController();
    response.once('close', () => {
      if (!response.writableFinished) gone.abort();
    });
    if (this.options.isDraining()) response.setHeader('Connection', 'close');
    try {
      const refusal = await this.serve(request, response, {
        arrivedAt,
        traits,
        log,
        callerLeft: gone.signal,
      });
      if (refusal !== undefined) this.refuse(response, traits, refusal, log);
    } catch (error) {
      this.options.logger.event('unexpectedFailure', {
        requestId: traits.requestId,
        reason: error instanceof Error ? error.stack : String(error),
      });
      response.destroy();
    } finally {
      if (gone.signal.aborted) log.callerLeft();
      this.openRequests--;
    }
  }

  /** @returns An error that is still to be answered. */
  private async serve(
    request: IncomingMessage,
    response: ServerResponse,
    context: RequestContext,
  ): Promise<RequestError | undefined> {
    const {traits, log, arrivedAt, callerLeft} = context;
    const index = this.options.routes();
    if (index === undefined) {
      return notRun(
        REQUEST_ERROR_CODES.viewUnconfirmed,
        REQUEST_STEPS.parse,
        'This host knows no configuration yet',
        UNCONFIGURED_RETRY_MILLISECONDS,
      );
    }
    log.configurationVersion = index.configuration.version;
    const received = await readBody(
      request,
      index.configuration.limits.bodyBytes,
    );
    if (received.kind === 'broken') return undefined;
    if (received.kind === 'too_large') {
      return notRun(
        REQUEST_ERROR_CODES.requestTooLarge,
        REQUEST_STEPS.parse,
        `The body exceeds ${index.configuration.limits.bodyBytes} bytes`,
      );
    }
    // The body took time to arrive; a newer configuration may be in force.
    const current = this.options.routes() ?? index;
    log.configurationVersion = current.configuration.version;
    const admitted = this.admit(request, current, context);
    if ('code' in admitted) return admitted;
    if (this.options.refusesNewRequests()) {
      return notRun(
        REQUEST_ERROR_CODES.draining,
        REQUEST_STEPS.admit,
        'This host is stopping',
        DRAINING_RETRY_MILLISECONDS,
      );
    }
    const loop = new AttemptLoop(this.options, {
      request: admitted,
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      rawHeaders: request.rawHeaders,
      body: received.body,
      fingerprint: fingerprint(admitted, request, received.body),
      response,
      callerLeft,
      log,
    });
    log.admittedAfter = this.options.clock.monotonicMilliseconds() - arrivedAt;
    log.target = traits.model ?? '';
    return loop.run();
  }

  private admit(
    request: IncomingMessage,
    index: RouteIndex,
    {traits, log, arrivedAt}: RequestContext,
  ): RoutedRequest | RequestError {
    const route = index.findRoute(traits.hostName, request.url ?? '/');
    const service =
      route === undefined ? undefined : this.findService(index, route);
    if (route === undefined || service === undefined) {
      return notRun(
        REQUEST_ERROR_CODES.routeNotFound,
        REQUEST_STEPS.parse,
        `No route for ${traits.hostName}${request.url ?? '/'}`,
      );
    }
    log.route = route.name;
    log.service = service.name;
    const checksKeys = index.configuration.teams !== undefined && !route.open;
    const team =
      checksKeys && traits.key !== undefined
        ? index.findTeam(traits.key)
        : undefined;
    if (checksKeys && team === undefined) {
      return notRun(
        REQUEST_ERROR_CODES.invalidApiKey,
        REQUEST_STEPS.authenticate,
        'The key belongs to no team',
      );
    }
    log.team = team?.name;
    if (team !== undefined) {
      const cost =
        team.unit === 'tokens' ? (traits.tokens ?? team.defaultTokens) : 1;
      const wait = this.options.rateLimiter.take(team, cost);
      if (wait > 0) {
        return notRun(
          REQUEST_ERROR_CODES.rateLimited,
          REQUEST_STEPS.admit,
          `Team "${team.name}" is over its rate; the request costs ${cost}`,
          wait,
        );
      }
    }
    return {
      metadata: traits,
      route,
      service,
      team: team?.name,
      priority: Math.min(9, Math.max(0, team?.priority ?? route.priority)),
      arrivedAt,
      deadlineAt:
        arrivedAt +
        Math.min(
          route.timeoutMilliseconds,
          traits.deadlineMilliseconds ?? route.timeoutMilliseconds,
        ),
    };
  }

  private findService(index: RouteIndex, route: Route) {
    const name = pickService(route, this.options.random());
    return name === undefined
      ? undefined
      : index.configuration.services.get(name);
  }

  private refuse(
    response: ServerResponse,
    traits: RequestMetadata,
    error: RequestError,
    log: RequestLog,
  ): void {
    const head = this.options.wireFormat.errorResponseHead(
      error,
      traits.requestId,
    );
    log.failed(error, head.status);
    if (response.headersSent) {
      // The answer has begun: only a closed connection shows that it failed.
      response.destroy();
      return;
    }
    response.writeHead(head.status, [
      ...connectionHeader(response),
      ...head.headers,
    ]);
    response.end();
  }
}

interface RequestContext {
  readonly arrivedAt: number;
  readonly traits: RequestMetadata;
  readonly log: RequestLog;
  readonly callerLeft: AbortSignal;
}

/** Keeps a Connection header that was set before the head is written raw. */
export function connectionHeader(response: ServerResponse): string[] {
  const value = response.getHeader('Connection');
  return typeof value === 'string' ? ['Connection', value] : [];
}

function notRun(
  code: RequestErrorCode,
  step: RequestStep,
  message: string,
  retryAfterMilliseconds?: number,
): RequestError {
  return {
    code,
    step,
    message,
    run: RUN_STATES.notRun,
    ...(retryAfterMilliseconds === undefined ? {} : {retryAfterMilliseconds}),
  };
}

/** Identity of a request over its repetitions: same team, path and body. */
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
