import {z} from 'zod';
import {ByteCollector} from '../bytes/mod.ts';
import {CHECKPOINT_TIERS} from '../contracts/mod.ts';
import {failure, type Result, success} from '../errors/mod.ts';
import {
  type ExchangeTimeouts,
  type ExchangeRequest,
  HttpExchange,
} from './_http_exchange.ts';
import {LineTooLongError, readLines} from './_read_lines.ts';
import type {EndpointError, EndpointStep} from './endpoint_error.ts';
import type {
  CacheEvent,
  EngineClient,
  EngineEvent,
  EngineOrder,
  EngineRunRequest,
  EngineState,
  RunOptions,
} from './engine_client.ts';

const eventSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.enum(['queued', 'started']),
    runId: z.string(),
    incarnation: z.string().optional(),
  }),
  z.object({
    kind: z.literal('token'),
    runId: z.string(),
    index: z.number().int().nonnegative(),
    text: z.string(),
  }),
  z.object({
    kind: z.literal('end'),
    runId: z.string(),
    promptTokens: z.number().int().nonnegative(),
    completionTokens: z.number().int().nonnegative(),
    finishReason: z.enum(['stop', 'length']),
  }),
]);

const rejectionSchema = z.object({code: z.string(), message: z.string()});

const stateSchema = z.object({
  incarnation: z.string(),
  memoryMegabytes: z.number(),
  highestEpoch: z.number(),
  leaving: z.boolean(),
  role: z.string(),
  entries: z.array(
    z.object({
      kind: z.enum(['model', 'adapter']),
      name: z.string(),
      version: z.string(),
      state: z.enum(['loading', 'loaded', 'unloading']),
      memoryMegabytes: z.number(),
      orderId: z.string(),
      progress: z.number(),
    }),
  ),
  failedOrders: z.array(z.object({orderId: z.string(), reason: z.string()})),
  checkpoints: z.array(
    z.object({
      name: z.string(),
      version: z.string(),
      tier: z.enum(CHECKPOINT_TIERS),
    }),
  ),
  load: z.object({
    running: z.number(),
    queued: z.number(),
    ageMilliseconds: z.number(),
  }),
});

const cacheEventsSchema = z.object({
  events: z.array(
    z.object({
      sequence: z.number().int(),
      kind: z.enum(['stored', 'evicted']),
      model: z.string(),
      prefix: z.string(),
    }),
  ),
});

const MAXIMUM_REJECTION_BYTES = 64 * 1024;
const MAXIMUM_LINE_LENGTH = 256 * 1024;
const MAXIMUM_STATE_BYTES = 8 * 1024 * 1024;
const MAXIMUM_CACHE_BYTES = 64 * 1024 * 1024;
const JSON_HEADERS = {'content-type': 'application/json'};

/** Options of {@link HttpEngineClient}. */
export interface HttpEngineClientOptions extends ExchangeTimeouts {
  /** Name of the endpoint, for errors. */
  name: string;
  /** Address such as `http://127.0.0.1:9001`. */
  address: string;
}

/** {@link EngineClient} for the protocol `limpet-engine-1`. */
export class HttpEngineClient implements EngineClient {
  private readonly exchange: HttpExchange;

  constructor(options: HttpEngineClientOptions) {
    this.exchange = new HttpExchange(options.name, options.address, options);
  }

  async *run(
    request: EngineRunRequest,
    signal: AbortSignal,
    options: RunOptions = {},
  ): AsyncGenerator<EngineEvent, void, undefined> {
    const answer = await this.exchange.open({
      step: 'send',
      method: 'POST',
      path: '/v1/runs',
      headers: JSON_HEADERS,
      body: JSON.stringify(request),
      progressMilliseconds: options.progressMilliseconds,
      freshConnection: options.freshConnection ?? false,
      signal,
    });
    if (!answer.ok) {
      yield {kind: 'failed', error: answer.error};
      return;
    }
    const {status, body, close, release} = answer.value;
    let finish = close;
    try {
      if (status !== 200) {
        const error = await this.readRejection(status, body);
        yield {kind: 'failed', error};
        return;
      }
      const lines = readLines(body, MAXIMUM_LINE_LENGTH);
      for await (const event of this.readEvents(request.runId, lines)) {
        // No data follows the `end` event, so the connection can be reused.
        if (event.kind === 'end') finish = release;
        yield event;
      }
    } catch (error) {
      yield {kind: 'failed', error: this.toReadError(error)};
    } finally {
      finish();
    }
  }

  async cancel(runId: string): Promise<Result<undefined, EndpointError>> {
    const path = `/v1/runs/${encodeURIComponent(runId)}`;
    return this.sendCommand('cancel', 'DELETE', path);
  }

  async order(order: EngineOrder): Promise<Result<undefined, EndpointError>> {
    const body = JSON.stringify(order);
    return this.sendCommand('order', 'POST', '/v1/orders', body);
  }

  async state(
    options: Pick<RunOptions, 'progressMilliseconds'> = {},
  ): Promise<Result<EngineState, EndpointError>> {
    const {progressMilliseconds} = options;
    return this.readJson('state', '/v1/state', stateSchema, {
      // With a short time-out, a reused connection that has gone silent would
      // look like a silent engine.
      freshConnection: progressMilliseconds !== undefined,
      progressMilliseconds,
    });
  }

  async cacheEvents(
    afterSequence: number,
  ): Promise<Result<readonly CacheEvent[], EndpointError>> {
    const path = `/v1/cache-events?after=${afterSequence}`;
    const answer = await this.readJson('cache', path, cacheEventsSchema);
    return answer.ok ? success(answer.value.events) : answer;
  }

  async exportCache(
    model: string,
    prefix: string,
  ): Promise<Result<Uint8Array | undefined, EndpointError>> {
    const answer = await this.exchange.readText(
      {step: 'cache', method: 'GET', path: cachePath(model, prefix)},
      MAXIMUM_CACHE_BYTES,
    );
    if (!answer.ok) return answer;
    const {status, text} = answer.value;
    if (status === 404) return success(undefined);
    if (status === 200) return success(Buffer.from(text, 'base64'));
    return failure(this.unexpectedStatusError('cache', status));
  }

  async importCache(
    model: string,
    prefix: string,
    content: Uint8Array,
  ): Promise<Result<undefined, EndpointError>> {
    const body = Buffer.from(content).toString('base64');
    return this.sendCommand('cache', 'PUT', cachePath(model, prefix), body);
  }

  close(): void {
    this.exchange.close();
  }

  private async *readEvents(
    runId: string,
    lines: AsyncGenerator<string, void, undefined>,
  ): AsyncGenerator<EngineEvent, void, undefined> {
    for await (const line of lines) {
      const event = eventSchema.parse(JSON.parse(line));
      // An event of another run comes from a misrouted response; skip it.
      if (event.runId !== runId) continue;
      yield event;
      if (event.kind === 'end') return;
    }
    const error = this.exchange.toEndpointError(
      'receive',
      new Error('The response ended without its `end` event'),
    );
    yield {kind: 'failed', error};
  }

  private async readRejection(
    status: number,
    body: AsyncIterable<Buffer>,
  ): Promise<EndpointError> {
    const collector = new ByteCollector();
    for await (const chunk of body) {
      if (collector.length + chunk.length > MAXIMUM_REJECTION_BYTES) break;
      collector.append(chunk);
    }
    const text = collector.take().toString('utf8');
    return this.rejectionError('send', status, text);
  }

  /** Only status 409 and 429 mean that the engine has not run the request. */
  private rejectionError(
    step: EndpointStep,
    status: number,
    text: string,
  ): EndpointError {
    if (status !== 409 && status !== 429) {
      return this.unexpectedStatusError(step, status);
    }
    const parsed = rejectionSchema.safeParse(parseJson(text));
    if (!parsed.success) return this.unexpectedStatusError(step, status);
    const {code, message} = parsed.data;
    const peer = this.exchange.invalidAnswerError(step, '').peer;
    return {kind: 'rejected', step, peer, code, reason: message};
  }

  private toReadError(error: unknown): EndpointError {
    if (
      error instanceof z.ZodError ||
      error instanceof SyntaxError ||
      error instanceof LineTooLongError
    ) {
      return this.exchange.invalidAnswerError('receive', error.message);
    }
    return this.exchange.toEndpointError('receive', error);
  }

  private async sendCommand(
    step: EndpointStep,
    method: string,
    path: string,
    body?: string,
  ): Promise<Result<undefined, EndpointError>> {
    const answer = await this.exchange.readText(
      {
        step,
        method,
        path,
        headers: JSON_HEADERS,
        ...(body === undefined ? {} : {body}),
      },
      MAXIMUM_LINE_LENGTH,
    );
    if (!answer.ok) return answer;
    const {status, text} = answer.value;
    if (status >= 200 && status < 300) return success(undefined);
    return failure(this.rejectionError(step, status, text));
  }

  private async readJson<Value>(
    step: EndpointStep,
    path: string,
    schema: z.ZodType<Value>,
    options: Pick<
      ExchangeRequest,
      'freshConnection' | 'progressMilliseconds'
    > = {},
  ): Promise<Result<Value, EndpointError>> {
    const answer = await this.exchange.readText(
      {step, method: 'GET', path, ...options},
      MAXIMUM_STATE_BYTES,
    );
    if (!answer.ok) return answer;
    const {status, text} = answer.value;
    if (status !== 200)
      return failure(this.unexpectedStatusError(step, status));
    const parsed = schema.safeParse(parseJson(text));
    if (parsed.success) return success(parsed.data);
    const reason = z.prettifyError(parsed.error);
    return failure(this.exchange.invalidAnswerError(step, reason));
  }

  private unexpectedStatusError(
    step: EndpointStep,
    status: number,
  ): EndpointError {
    return this.exchange.invalidAnswerError(step, `HTTP status ${status}`);
  }
}

function cachePath(model: string, prefix: string): string {
  return `/v1/kv/${encodeURIComponent(model)}/${encodeURIComponent(prefix)}`;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
