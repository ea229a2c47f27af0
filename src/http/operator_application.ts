import {timingSafeEqual} from 'node:crypto';
import express, {
  type ErrorRequestHandler,
  type Express,
  type RequestHandler,
} from 'express';
import {z} from 'zod';
import {
  type Authority,
  type Change,
  changeSchema,
  describeRejection,
  type SubmitResult,
} from '../contracts/mod.ts';
import {digestSecret} from '../keys/mod.ts';

/** Result of a change submitted by an operator. */
export type OperatorChangeResult =
  | SubmitResult
  | {
      /** Committed and in effect on all hosts. */
      readonly kind: 'in_effect';
      readonly version: number;
    };

/** Options of {@link createOperatorApplication}. */
export interface OperatorApplicationOptions {
  /** SHA-256 digests of the operators' tokens, in hexadecimal. */
  tokenDigests: readonly string[];
  authority: () => Authority;
  /** Commits a change and waits, for a limited time, until it is in effect. */
  submit: (
    changeId: string,
    author: string,
    change: Change,
  ) => Promise<OperatorChangeResult>;
  /** Returns the state of this host and its peers. */
  status: () => unknown;
  /** Explains the placement of a model or adapter; undefined when unknown. */
  explainModel: (name: string) => unknown;
  /** Explains the models loaded on an endpoint; undefined when unknown. */
  explainEndpoint: (name: string) => unknown;
  /** Looks up an idempotency claim. */
  showRequest: (team: string, key: string) => Promise<unknown>;
  /** Starts a graceful shutdown. */
  drain: () => void;
}

const changeRequestSchema = z.strictObject({
  changeId: z.string().min(1).max(200),
  author: z.string().min(1).max(200),
  change: changeSchema,
});

const MAXIMUM_BODY = '1mb';

/** Collections of the authority that operators can list. */
const COLLECTIONS = [
  'contracts',
  'keys',
  'routes',
  'pools',
  'endpoints',
  'models',
  'adapters',
  'members',
  'leases',
  'quarantine',
] as const satisfies readonly (keyof Authority)[];

/** Creates the Express application that serves the operators' client. */
export function createOperatorApplication(
  options: OperatorApplicationOptions,
): Express {
  const application = express();
  application.disable('x-powered-by');
  application.set('etag', false);
  application.use(requireToken(options.tokenDigests));
  application.use(express.json({limit: MAXIMUM_BODY, type: () => true}));
  application.post('/changes', submitHandler(options));
  application.get('/authority/:collection', (request, response) => {
    const collection = COLLECTIONS.find(
      name => name === request.params.collection,
    );
    if (collection === undefined) {
      const known = COLLECTIONS.join(', ');
      sendFailure(response, 404, 'not_found', `Collections are ${known}`);
      return;
    }
    const authority = options.authority();
    const entities = [...authority[collection].values()];
    response.json({version: authority.version, entities});
  });
  application.get('/status', (_request, response) => {
    response.json(options.status());
  });
  application.get('/models/:name', (request, response) => {
    sendEntry(response, options.explainModel(request.params.name));
  });
  application.get('/endpoints/:name', (request, response) => {
    sendEntry(response, options.explainEndpoint(request.params.name));
  });
  application.get('/requests/:team/:key', async (request, response) => {
    const {team, key} = request.params;
    sendEntry(response, await options.showRequest(team, key));
  });
  application.post('/drain', (_request, response) => {
    options.drain();
    response.status(202).json({status: 'draining'});
  });
  application.use((request, response) => {
    const message = `There is no ${request.method} ${request.path}`;
    sendFailure(response, 404, 'not_found', message);
  });
  application.use(handleException);
  return application;
}

function requireToken(tokenDigests: readonly string[]): RequestHandler {
  const accepted = tokenDigests.map(digest => Buffer.from(digest, 'hex'));
  return (request, response, next) => {
    const header = request.get('authorization') ?? '';
    const token = /^Bearer\s+(\S+)$/i.exec(header)?.[1] ?? '';
    const digest = Buffer.from(digestSecret(token), 'hex');
    if (accepted.some(candidate => timingSafeEqual(candidate, digest))) {
      next();
      return;
    }
    const message = 'The operator token is missing or unknown';
    sendFailure(response, 401, 'invalid_token', message);
  };
}

function submitHandler(options: OperatorApplicationOptions): RequestHandler {
  return async (request, response) => {
    const parsed = changeRequestSchema.safeParse(request.body);
    if (!parsed.success) {
      const message = z.prettifyError(parsed.error);
      sendFailure(response, 400, 'invalid_change', message);
      return;
    }
    const {changeId, author, change} = parsed.data;
    const result = await options.submit(changeId, author, change);
    switch (result.kind) {
      case 'in_effect':
        response.json({status: 'accepted', version: result.version});
        return;
      case 'committed':
        response
          .status(202)
          .json({status: 'committed', version: result.version});
        return;
      case 'rejected': {
        const message = describeRejection(result.rejection);
        sendFailure(response, 409, result.rejection.kind, message);
        return;
      }
      case 'unavailable': {
        const message =
          'The table service is unavailable; the change was not accepted and nothing was changed';
        sendFailure(response, 503, 'table_unavailable', message);
        return;
      }
      case 'uncertain': {
        const message = `The outcome is unknown (${result.reason}); send the same change id again`;
        sendFailure(response, 504, 'outcome_unknown', message);
        return;
      }
    }
  };
}

const handleException: ErrorRequestHandler = (
  error: unknown,
  _request,
  response,
  next,
) => {
  if (response.headersSent) {
    next(error);
    return;
  }
  const message = error instanceof Error ? error.message : String(error);
  const status =
    error instanceof Error && 'status' in error ? Number(error.status) : 500;
  sendFailure(response, status, 'invalid_request', message);
};

function sendEntry(response: express.Response, value: unknown): void {
  if (value === undefined) {
    sendFailure(response, 404, 'not_found', 'There is no such entry');
    return;
  }
  response.json(value);
}

function sendFailure(
  response: express.Response,
  status: number,
  code: string,
  message: string,
): void {
  response.status(status).json({error: {code, message}});
}
