import {randomUUID} from 'node:crypto';
import type {ServerResponse} from 'node:http';
import {pipeline} from 'node:stream/promises';
import {Readable} from 'node:stream';
import type {RequestHandler} from 'express';
import {breakOff} from '../exchange/mod.ts';
import type {CallerRequestHandler} from './caller_request_handler.ts';
import {sendError} from './error_response.ts';
import {disconnectSignal} from './model_handler.ts';

/** Headers of a service's response that are not forwarded to the caller. */
const HOP_BY_HOP_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Creates a handler that forwards requests to `/services/<name>/…`. */
export function createServiceHandler(
  requestPath: CallerRequestHandler,
): RequestHandler {
  return async (request, response) => {
    const requestId = `req-${randomUUID()}`;
    response.set('X-Request-Id', requestId);
    const service = String(request.params['service']);
    const answer = await requestPath.callService({
      requestId,
      authorization: request.get('authorization'),
      service,
      method: request.method,
      path: request.originalUrl.slice(`/services/${service}`.length) || '/',
      headers: request.headers,
      body: Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0),
      idempotencyKey: request.get('idempotency-key'),
      signal: disconnectSignal(request, response),
    });
    if (!answer.ok) {
      sendError(response, answer.error);
      return;
    }
    const {status, headers, body} = answer.value;
    response.status(status);
    for (const [name, value] of Object.entries(headers)) {
      if (value === undefined || HOP_BY_HOP_HEADERS.has(name)) continue;
      response.set(name, typeof value === 'string' ? value : [...value]);
    }
    // The request path logs why a body broke off.
    await pipeline(
      Readable.from(forwardedBody(body, response)),
      response,
    ).catch(() => undefined);
  };
}

/** Breaks the response off if the body does, before `pipeline` closes it. */
async function* forwardedBody(
  body: AsyncIterable<Uint8Array>,
  response: ServerResponse,
): AsyncGenerator<Uint8Array, void, undefined> {
  try {
    yield* body;
  } catch (error) {
    breakOff(response);
    throw error;
  }
}
