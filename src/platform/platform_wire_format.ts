import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import {
  REQUEST_ERROR_CODES,
  RUN_STATES,
  type RequestError,
} from '../errors/mod.ts';
import {hopByHopHeaders} from '../exchange/mod.ts';
import type {
  ForwardingMetadata,
  PromptPart,
  RequestMetadata,
  ResponseHead,
  WireFormat,
  EndpointNotice,
} from '../relay/mod.ts';
import {coldMillisecondsOf} from './_wire_value.ts';

/** Header names of the platform, in the letter case in which they are sent. */
const HEADERS = {
  requestId: 'Request-Id',
  /** Time left in milliseconds, not a point in time. */
  deadline: 'Deadline-Ms',
  key: 'X-Api-Key',
  model: 'Model',
  /** Prompt tokens and maximum output tokens: an estimate, not the actual usage. */
  tokens: 'Token-Usage',
  promptParts: 'Prompt-Prefix',
  lastEventId: 'Last-Event-Id',
  /** Attempt that brought the first event of the stream that is taken up. */
  resumes: 'Resumes',
  /** Shows that a response was written by the endpoint itself. */
  signature: 'Server-Signature',
  team: 'Tenant',
  endpointId: 'Expect-Instance',
  notRun: 'Not-Executed',
  retryAfter: 'Retry-After',
  priority: 'Request-Priority',
  /** Requests a second from all hosts together. */
  requestLimit: 'Server-Limit',
  leaving: 'Server-Leaving',
  /** Time for which the endpoint stays cold, in milliseconds. */
  cold: 'Cold-Ms',
} as const;

/** Rewritten for each message (Content-Length) or handled by this host (Expect). */
const FRAMING_HEADERS: ReadonlySet<string> = new Set([
  'content-length',
  'expect',
]);

/**
 * Headers that callers must not set at endpoints: this system sets them, or
 * they are meant for this system only.
 */
const SYSTEM_HEADERS: ReadonlySet<string> = new Set([
  'x-api-key',
  'tenant',
  'deadline-ms',
  'expect-instance',
  'request-priority',
  'expect-version',
  'hold-request',
  'pin-ms',
  'kv-backup',
  'kv-from',
  'kv-fetch',
]);

const NOT_RUN_MISDIRECTED = 421;
const STATUS_UNAVAILABLE = 503;

/** Longest time for which an endpoint can ask for no requests. */
const MAXIMUM_CLOSED_MILLISECONDS = 600_000;

/** Header names and formats that the platform's clients and endpoints use. */
export const PLATFORM_WIRE_FORMAT: WireFormat = {
  readMetadata,
  requestHeaders,
  isNotRun: (response, requestId, isFirstOnConnection) =>
    (response.headers[HEADERS.notRun.toLowerCase()] !== undefined ||
      response.statusCode === NOT_RUN_MISDIRECTED) &&
    (requestIdOf(response) === requestId ||
      (requestIdOf(response) === undefined && isFirstOnConnection)),
  // A request without an id gets a response without one.
  matchesRequest: (response, requestId) =>
    requestId === '' || requestIdOf(response) === requestId,
  isAuthentic: response =>
    response.headers[HEADERS.signature.toLowerCase()] !== undefined &&
    response.headers['content-encoding'] === undefined,
  readNotice,
  responseHeaders: response =>
    withoutHeaders(
      response.rawHeaders,
      unforwardedHeaders(response.headers.connection),
    ),
  errorResponseHead,
};

function requestIdOf(response: IncomingMessage): string | undefined {
  return responseHeader(response, HEADERS.requestId);
}

function responseHeader(
  response: IncomingMessage,
  name: string,
): string | undefined {
  const value = response.headers[name.toLowerCase()];
  return Array.isArray(value) ? value[0] : value;
}

function readNotice(response: IncomingMessage): EndpointNotice {
  const number = (name: string) => parseDecimal(responseHeader(response, name));
  // `Retry-After` is in seconds, and also on responses to callers a request to the
  // caller; only a rejection with 503 speaks of the endpoint itself.
  const seconds =
    response.statusCode === STATUS_UNAVAILABLE
      ? number(HEADERS.retryAfter)
      : undefined;
  const cold = number(HEADERS.cold);
  return {
    coldMilliseconds: cold === undefined ? undefined : coldMillisecondsOf(cold),
    requestsPerSecond: number(HEADERS.requestLimit),
    isLeaving: responseHeader(response, HEADERS.leaving)?.trim() === '1',
    closedMilliseconds:
      seconds === undefined
        ? undefined
        : Math.min(seconds * 1000, MAXIMUM_CLOSED_MILLISECONDS),
  };
}

/** Parses a decimal number that is not negative; undefined for anything else. */
function parseDecimal(value: string | undefined): number | undefined {
  return value !== undefined && /^\d+(\.\d+)?$/.test(value.trim())
    ? Number(value)
    : undefined;
}

function readMetadata(headers: IncomingHttpHeaders): RequestMetadata {
  const value = (name: string) => {
    const found = headers[name.toLowerCase()];
    return Array.isArray(found) ? found[0] : found;
  };
  const [model, adapter] = (value(HEADERS.model) ?? '').split('/', 2);
  const deadline = Number(value(HEADERS.deadline));
  return {
    requestId: value(HEADERS.requestId) ?? '',
    hostName: (headers.host ?? '').replace(/:\d+$/, ''),
    key: value(HEADERS.key),
    model: model === '' ? undefined : model,
    adapter: adapter === '' ? undefined : adapter,
    tokens: parseTokens(value(HEADERS.tokens)),
    promptParts: parsePromptParts(value(HEADERS.promptParts)),
    deadlineMilliseconds:
      Number.isFinite(deadline) && deadline > 0 ? deadline : undefined,
    lastEventId: value(HEADERS.lastEventId),
    resumes: value(HEADERS.resumes),
  };
}

/** Parses "PROMPT,OUTPUT"; the sum counts towards the rate limit of a team. */
function parseTokens(value: string | undefined): number | undefined {
  if (value === undefined) return undefined;
  const sum = value
    .split(',')
    .reduce((total, part) => total + Number(part.trim()), 0);
  return Number.isFinite(sum) && sum >= 0 ? sum : undefined;
}

/** Parses "ID:TOKENS,ID:TOKENS". */
function parsePromptParts(value: string | undefined): readonly PromptPart[] {
  if (value === undefined || value === '') return [];
  return value.split(',').flatMap(part => {
    const [id, tokens] = part.trim().split(':');
    return id === undefined || id === ''
      ? []
      : [{id, tokens: Number(tokens) || 0}];
  });
}

function requestHeaders(
  rawHeaders: readonly string[],
  bodyBytes: number,
  metadata: ForwardingMetadata,
): string[] {
  const dropped = new Set([
    ...unforwardedHeaders(headerValue(rawHeaders, 'connection')),
    ...SYSTEM_HEADERS,
  ]);
  if (metadata.lastEventId !== undefined) {
    dropped.add(HEADERS.lastEventId.toLowerCase());
  }
  const headers = withoutHeaders(rawHeaders, dropped);
  headers.push(
    HEADERS.deadline,
    String(Math.max(1, Math.floor(metadata.deadlineMilliseconds))),
    HEADERS.endpointId,
    metadata.endpointId,
  );
  if (metadata.team !== undefined) headers.push(HEADERS.team, metadata.team);
  if (metadata.priority !== undefined) {
    headers.push(HEADERS.priority, String(metadata.priority));
  }
  if (metadata.lastEventId !== undefined) {
    headers.push(HEADERS.lastEventId, metadata.lastEventId);
  }
  if (bodyBytes > 0 || hasBodyFraming(rawHeaders)) {
    headers.push('Content-Length', String(bodyBytes));
  }
  return headers;
}

function hasBodyFraming(rawHeaders: readonly string[]): boolean {
  return (
    headerValue(rawHeaders, 'content-length') !== undefined ||
    headerValue(rawHeaders, 'transfer-encoding') !== undefined
  );
}

function headerValue(
  rawHeaders: readonly string[],
  name: string,
): string | undefined {
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.toLowerCase() === name) return rawHeaders[index + 1];
  }
  return undefined;
}

/** Hop-by-hop and framing headers, which are not forwarded. */
function unforwardedHeaders(
  connection: string | undefined,
): ReadonlySet<string> {
  return new Set([...hopByHopHeaders(connection), ...FRAMING_HEADERS]);
}

function withoutHeaders(
  rawHeaders: readonly string[],
  dropped: ReadonlySet<string>,
): string[] {
  const kept: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    if (dropped.has(name.toLowerCase())) continue;
    kept.push(name, rawHeaders[index + 1] ?? '');
  }
  return kept;
}

/**
 * Returns the head of an error response. Statuses 429 and 503 guarantee that the
 * request was not executed; 502 and 504 do not.
 */
function errorResponseHead(
  error: RequestError,
  requestId: string,
): ResponseHead {
  const headers = ['Content-Length', '0'];
  if (requestId !== '') headers.push(HEADERS.requestId, requestId);
  if (error.retryAfterMilliseconds !== undefined) {
    const seconds = error.retryAfterMilliseconds / 1000;
    headers.push(HEADERS.retryAfter, seconds.toFixed(2));
  }
  return {status: errorStatus(error), headers};
}

function errorStatus(error: RequestError): number {
  if (error.run !== RUN_STATES.notRun) {
    return error.code === REQUEST_ERROR_CODES.deadlineExceeded ? 504 : 502;
  }
  switch (error.code) {
    case REQUEST_ERROR_CODES.invalidRequest:
      return 400;
    case REQUEST_ERROR_CODES.invalidApiKey:
      return 401;
    case REQUEST_ERROR_CODES.routeNotFound:
      return 404;
    case REQUEST_ERROR_CODES.requestTooLarge:
      return 413;
    case REQUEST_ERROR_CODES.rateLimited:
      return 429;
    default:
      return 503;
  }
}
