import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  failure,
  REQUEST_ERROR_CODES,
  REQUEST_STEPS,
  type Result,
  success,
} from '../errors/mod.ts';
import type {
  ExplanationError,
  ExplanationQuery,
  RequestExplanation,
} from './explain_request.ts';

/** Path under which operators ask what would become of a request. */
export const EXPLAIN_PATH = '/explain';

/** Parameters of a query of {@link handleExplain}. */
export const EXPLAIN_PARAMETERS = {
  hostName: 'host',
  path: 'path',
  target: 'model',
  team: 'team',
  service: 'service',
  priority: 'priority',
  tokens: 'tokens',
  deadline: 'deadline_ms',
  /** May be given several times. */
  promptPart: 'prompt_part',
} as const;

const LOWEST_PRIORITY = 9;

/**
 * Answers an operator: `GET /explain?host=HOST&path=PATH` with further parameters tells
 * what this host would do with such a request now. Errors have a code, a step and a
 * message, with the status 400 for a wrong query, 503 without a configuration, 500 for a
 * fault and else 404.
 */
export function handleExplain(
  request: IncomingMessage,
  response: ServerResponse,
  explain: (
    query: ExplanationQuery,
  ) => Result<RequestExplanation, ExplanationError>,
): void {
  const url = new URL(request.url ?? '/', 'http://host');
  if (request.method !== 'GET' || url.pathname !== EXPLAIN_PATH) {
    response.writeHead(404).end();
    return;
  }
  const query = parseQuery(url.searchParams);
  let explained: Result<RequestExplanation, ExplanationError>;
  try {
    explained = query.ok ? explain(query.value) : query;
  } catch (error) {
    // A fault in an explanation must not end a host that serves callers.
    const message = error instanceof Error ? error.message : String(error);
    const code = REQUEST_ERROR_CODES.internal;
    explained = failure({code, step: REQUEST_STEPS.place, message});
  }
  const body = explained.ok ? explained.value : {error: explained.error};
  const status = explained.ok ? 200 : statusOf(explained.error);
  response
    .writeHead(status, {'Content-Type': 'application/json'})
    .end(JSON.stringify(body));
}

function statusOf({code}: ExplanationError): number {
  switch (code) {
    case REQUEST_ERROR_CODES.invalidRequest:
      return 400;
    case REQUEST_ERROR_CODES.viewUnconfirmed:
      return 503;
    case REQUEST_ERROR_CODES.internal:
      return 500;
    default:
      return 404;
  }
}

function parseQuery(
  parameters: URLSearchParams,
): Result<ExplanationQuery, ExplanationError> {
  const known: readonly string[] = Object.values(EXPLAIN_PARAMETERS);
  for (const name of parameters.keys()) {
    if (!known.includes(name)) return invalid(`Unknown parameter "${name}"`);
  }
  const text = (name: string) => parameters.get(name) || undefined;
  const number = (name: string) => {
    const value = text(name);
    return value === undefined ? undefined : Number(value);
  };
  const hostName = text(EXPLAIN_PARAMETERS.hostName);
  const path = text(EXPLAIN_PARAMETERS.path);
  if (hostName === undefined || path === undefined) {
    return invalid(
      `"${EXPLAIN_PARAMETERS.hostName}" and "${EXPLAIN_PARAMETERS.path}" are required`,
    );
  }
  const priority = number(EXPLAIN_PARAMETERS.priority);
  if (priority !== undefined && !isPriority(priority)) {
    return invalid(
      `"${EXPLAIN_PARAMETERS.priority}" must be a whole number from 0 to ${LOWEST_PRIORITY}`,
    );
  }
  const tokens = number(EXPLAIN_PARAMETERS.tokens);
  const deadlineMilliseconds = number(EXPLAIN_PARAMETERS.deadline);
  if (!isAmount(tokens ?? 0) || !isAmount(deadlineMilliseconds ?? 0)) {
    return invalid(
      `"${EXPLAIN_PARAMETERS.tokens}" and "${EXPLAIN_PARAMETERS.deadline}" must be numbers that are not negative`,
    );
  }
  return success({
    hostName,
    path,
    target: text(EXPLAIN_PARAMETERS.target),
    team: text(EXPLAIN_PARAMETERS.team),
    service: text(EXPLAIN_PARAMETERS.service),
    priority,
    tokens,
    deadlineMilliseconds,
    promptParts: parameters.getAll(EXPLAIN_PARAMETERS.promptPart),
  });
}

function isPriority(value: number): boolean {
  return Number.isInteger(value) && value >= 0 && value <= LOWEST_PRIORITY;
}

function isAmount(value: number): boolean {
  return Number.isFinite(value) && value >= 0;
}

function invalid(message: string): Result<never, ExplanationError> {
  const code = REQUEST_ERROR_CODES.invalidRequest;
  return failure({code, step: REQUEST_STEPS.parse, message});
}
