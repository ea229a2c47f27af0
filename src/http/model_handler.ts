import {randomUUID} from 'node:crypto';
import {once} from 'node:events';
import type {Request, RequestHandler, Response} from 'express';
import type {RequestError, Result} from '../errors/mod.ts';
import type {ModelEvent} from '../requests/mod.ts';
import type {CallerRequestHandler} from './caller_request_handler.ts';
import {
  completionChunk,
  type CompletionIdentity,
  usageChunk,
  completionBody,
} from './completion_format.ts';
import {errorBody, sendError} from './error_response.ts';
import type {ModelRequestBody} from './model_request_body.ts';

/** Options of {@link createModelHandler}. */
export interface ModelHandlerOptions {
  requestPath: CallerRequestHandler;
  /** Timeout of requests that specify none, in milliseconds. */
  requestTimeoutMilliseconds: number;
  parse: (body: unknown) => Result<ModelRequestBody, RequestError>;
}

type Events = AsyncIterator<ModelEvent, unknown>;
type ResponseEvent = Exclude<ModelEvent, {kind: 'accepted'}>;

/** Creates a handler for model requests, both streamed and not. */
export function createModelHandler(
  options: ModelHandlerOptions,
): RequestHandler {
  return async (request, response) => {
    const parsed = options.parse(request.body);
    if (!parsed.ok) {
      sendError(response, parsed.error);
      return;
    }
    const body = parsed.value;
    const requestId = `req-${randomUUID()}`;
    response.set('X-Request-Id', requestId);
    const run = options.requestPath.runModel({
      requestId,
      authorization: request.get('authorization'),
      model: body.model,
      operation: body.operation,
      input: body.input,
      maximumTokens: body.maximumTokens,
      parameters: body.parameters,
      priority: body.priority,
      timeoutMilliseconds:
        body.timeoutMilliseconds ?? options.requestTimeoutMilliseconds,
      idempotencyKey: request.get('idempotency-key'),
      signal: disconnectSignal(request, response),
    });
    const events = run[Symbol.asyncIterator]();
    const identity: CompletionIdentity = {
      id: requestId,
      model: body.model,
      operation: body.operation,
      created: Math.floor(Date.now() / 1000),
    };
    try {
      if (body.stream) {
        await streamResponse(response, events, identity, body.includeUsage);
      } else {
        await sendFullResponse(response, events, identity);
      }
    } finally {
      // Lets the request path finish its accounting; a generator that is not
      // resumed after its last event would stay open.
      await events.return?.();
    }
  };
}

/** Returns a signal that aborts if the caller disconnects before the response ends. */
export function disconnectSignal(
  request: Request,
  response: Response,
): AbortSignal {
  const controller = new AbortController();
  response.on('close', () => {
    if (!response.writableFinished) controller.abort();
  });
  request.on('aborted', () => controller.abort());
  return controller.signal;
}

async function nextResponseEvent(events: Events): Promise<ResponseEvent> {
  for (;;) {
    const next = await events.next();
    if (next.done) {
      throw new Error('The request path ended without an ending event');
    }
    if (next.value.kind !== 'accepted') return next.value;
  }
}

async function sendFullResponse(
  response: Response,
  events: Events,
  identity: CompletionIdentity,
): Promise<void> {
  const texts: string[] = [];
  for (;;) {
    const event = await nextResponseEvent(events);
    switch (event.kind) {
      case 'token':
        texts.push(event.text);
        break;
      case 'end':
        response.json(
          completionBody(identity, texts.join(''), event.finishReason, event),
        );
        return;
      case 'failed':
        sendError(response, event.error);
        return;
    }
  }
}

async function streamResponse(
  response: Response,
  events: Events,
  identity: CompletionIdentity,
  includeUsage: boolean,
): Promise<void> {
  const first = await nextResponseEvent(events);
  // The headers are not sent yet, so a failure can still set the HTTP status.
  if (first.kind === 'failed') {
    sendError(response, first.error);
    return;
  }
  response.status(200).set({
    'Content-Type': 'text/event-stream; charset=utf-8',
    'Cache-Control': 'no-cache',
  });
  response.flushHeaders();
  let event: ResponseEvent = first;
  for (;;) {
    switch (event.kind) {
      case 'token':
        await writeData(response, completionChunk(identity, event.text, null));
        break;
      case 'end':
        await writeData(
          response,
          completionChunk(identity, undefined, event.finishReason),
        );
        if (includeUsage)
          await writeData(response, usageChunk(identity, event));
        response.end('data: [DONE]\n\n');
        return;
      case 'failed':
        await writeData(response, errorBody(event.error));
        // Without `[DONE]`, clients recognise the response as incomplete.
        response.end();
        return;
    }
    event = await nextResponseEvent(events);
  }
}

/** Writes one server-sent event and waits while the send buffer is full. */
async function writeData(response: Response, data: unknown): Promise<void> {
  const written = response.write(`data: ${JSON.stringify(data)}\n\n`);
  if (written || response.destroyed) return;
  const controller = new AbortController();
  const {signal} = controller;
  await Promise.race([
    once(response, 'drain', {signal}).catch(() => undefined),
    once(response, 'close', {signal}).catch(() => undefined),
  ]);
  controller.abort();
}
