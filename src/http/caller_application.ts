import type {ServerResponse} from 'node:http';
import express, {
  type ErrorRequestHandler,
  type Express,
  type RequestHandler,
} from 'express';
import {
  REQUEST_ERROR_CODES,
  REQUEST_STEPS,
  type RequestError,
  RUN_STATES,
} from '../errors/mod.ts';
import type {EventLogger, Metrics} from '../observability/mod.ts';
import type {CallerRequestHandler} from './caller_request_handler.ts';
import type {Clock} from '../time/mod.ts';
import type {HostAddress} from './order_addresses.ts';
import {sendError} from './error_response.ts';
import {measureRequests} from './measure_requests.ts';
import {createModelHandler} from './model_handler.ts';
import {parseChatBody, parseCompletionBody} from './model_request_body.ts';
import {parseJsonBody} from './parse_json_body.ts';
import {createBodyReader} from './read_body.ts';
import {createServiceHandler} from './service_handler.ts';

/** Options of {@link createCallerApplication}. */
export interface CallerApplicationOptions {
  requestPath: CallerRequestHandler;
  metrics: Metrics;
  clock: Clock;
  /** Updates the gauges; called before metrics are rendered. */
  updateGauges: () => void;
  logger: EventLogger;
  maximumBodyBytes: number;
  requestTimeoutMilliseconds: number;
  addressTimeToLiveMilliseconds: number;
  /** Addresses in the order in which a caller should try them. */
  addresses: (
    authorization: string | undefined,
    dataCentre: string | undefined,
  ) => readonly HostAddress[];
  /** Returns the reason why the host is not ready, or undefined when it is. */
  notReadyReason: () => string | undefined;
  /** Whether the host is leaving; responses then carry `Connection: close`. */
  isLeaving: () => boolean;
  /** Maximum body size of a service call, in bytes. */
  maximumServiceBodyBytes: (service: string) => number;
}

/** Creates the Express application that serves callers. */
export function createCallerApplication(
  options: CallerApplicationOptions,
): Express {
  const application = express();
  application.disable('x-powered-by');
  application.set('etag', false);
  application.use(measureRequests(options.metrics, options.clock));
  application.use((_request, response, next) => {
    closeConnectionWhenLeaving(response, options.isLeaving);
    next();
  });
  addModelRoutes(application, options);
  application.all(
    '/services/:service{/*path}',
    createBodyReader({
      maximumBytes: request =>
        options.maximumServiceBodyBytes(String(request.params['service'])),
      decompresses: false,
    }),
    createServiceHandler(options.requestPath),
  );
  addAddressRoute(application, options);
  addHealthRoutes(application, options);
  application.use((request, response) => {
    const message = `There is no ${request.method} ${request.path}`;
    sendError(response, createParseError('routeNotFound', message));
  });
  application.use(createErrorHandler(options.logger));
  return application;
}

/** Errors that do not depend on the body or on what this host will know later. */
const KEY_ERRORS: ReadonlySet<string> = new Set([
  REQUEST_ERROR_CODES.invalidApiKey,
  REQUEST_ERROR_CODES.contractEnded,
]);

/** Decides as late as possible, since a request may outlast the start of a drain. */
function closeConnectionWhenLeaving(
  response: ServerResponse,
  isLeaving: () => boolean,
): void {
  const writeHead = response.writeHead.bind(response) as (
    ...headArguments: unknown[]
  ) => ServerResponse;
  response.writeHead = (...headArguments: unknown[]) => {
    if (isLeaving()) response.setHeader('Connection', 'close');
    return writeHead(...headArguments);
  };
}

function addModelRoutes(
  application: Express,
  options: CallerApplicationOptions,
): void {
  const {requestPath, requestTimeoutMilliseconds} = options;
  const readJson: RequestHandler[] = [
    // A request without a valid key is refused before its body is read.
    (request, response, next) => {
      const models = requestPath.listModels(request.get('authorization'));
      if (models.ok || !KEY_ERRORS.has(models.error.code)) next();
      else sendError(response, models.error);
    },
    createBodyReader({
      maximumBytes: () => options.maximumBodyBytes,
      decompresses: true,
    }),
    parseJsonBody,
  ];
  application.post(
    '/v1/chat/completions',
    readJson,
    createModelHandler({
      requestPath,
      requestTimeoutMilliseconds,
      parse: parseChatBody,
    }),
  );
  application.post(
    '/v1/completions',
    readJson,
    createModelHandler({
      requestPath,
      requestTimeoutMilliseconds,
      parse: parseCompletionBody,
    }),
  );
  application.get('/v1/models', (request, response) => {
    const models = requestPath.listModels(request.get('authorization'));
    if (!models.ok) {
      sendError(response, models.error);
      return;
    }
    response.json({
      object: 'list',
      data: models.value.map(id => {
        return {id, object: 'model', created: 0, owned_by: 'limpetdale'};
      }),
    });
  });
}

function addAddressRoute(
  application: Express,
  options: CallerApplicationOptions,
): void {
  application.get('/v1/addresses', (request, response) => {
    const dataCentre = request.query['data_centre'];
    const addresses = options.addresses(
      request.get('authorization'),
      typeof dataCentre === 'string' ? dataCentre : undefined,
    );
    options.logger.event('addressesAnswered', {
      first: addresses[0]?.host,
      count: addresses.length,
    });
    response.json({
      time_to_live_milliseconds: options.addressTimeToLiveMilliseconds,
      addresses: addresses.map(({host, address, dataCentre: location}) => {
        return {host, address, data_centre: location};
      }),
    });
  });
}

function addHealthRoutes(
  application: Express,
  options: CallerApplicationOptions,
): void {
  application.get('/healthz', (_request, response) => {
    response.json({status: 'ok'});
  });
  application.get('/readyz', (_request, response) => {
    const reason = options.notReadyReason();
    if (reason === undefined) {
      response.json({status: 'ready'});
    } else {
      response.status(503).json({status: 'not_ready', reason});
    }
  });
  application.get('/metrics', async (_request, response) => {
    options.updateGauges();
    response.type('text/plain').send(await options.metrics.render());
  });
}

/** Converts exceptions of body parsers and handlers into error responses. */
function createErrorHandler(logger: EventLogger): ErrorRequestHandler {
  return (error: unknown, _request, response, next) => {
    if (response.headersSent) {
      next(error);
      return;
    }
    const {status, message} = describeException(error);
    if (status === 413) {
      sendError(response, createParseError('requestTooLarge', message));
    } else if (status >= 400 && status < 500) {
      sendError(response, createParseError('invalidRequest', message));
    } else {
      logger.event('unexpectedFailure', {reason: message});
      sendError(response, {
        code: REQUEST_ERROR_CODES.internal,
        message: 'Internal error',
        step: REQUEST_STEPS.dispatch,
        run: RUN_STATES.unknown,
      });
    }
  };
}

function describeException(error: unknown): {status: number; message: string} {
  if (!(error instanceof Error)) return {status: 500, message: String(error)};
  const status = 'status' in error ? Number(error.status) : 500;
  if (status === 413) {
    const limit = 'limit' in error ? ` of ${String(error.limit)} bytes` : '';
    return {status, message: `The body exceeds the limit${limit}`};
  }
  return {status, message: `Cannot read the request: ${error.message}`};
}

function createParseError(
  code: keyof typeof REQUEST_ERROR_CODES,
  message: string,
): RequestError {
  return {
    code: REQUEST_ERROR_CODES[code],
    message,
    step: REQUEST_STEPS.parse,
    run: RUN_STATES.notRun,
  };
}
