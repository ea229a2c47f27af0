import {Agent, request as httpRequest} from 'node:http';
import type {SeededRandom} from '../bench/_seeded_random.ts';
import {
  REQUEST_KINDS,
  type RequestKind,
  type SentRequest,
} from './soak_records.ts';

/** A host that callers can choose. */
export interface CallableHost {
  readonly name: string;
  readonly callerPort: number;
}

/** Options of {@link SoakCaller}. */
export interface SoakCallerOptions {
  index: number;
  random: SeededRandom;
  hosts: readonly CallableHost[];
  /** Key for the next request. */
  key: () => string;
  models: readonly string[];
  onEnded: (request: SentRequest) => void;
}

const PAUSE_MILLISECONDS = {minimum: 5, maximum: 120} as const;

/** Time after which a caller gives up; well above the time-out of all routes. */
const PATIENCE_MILLISECONDS = 10_000;

/** Requests in a row to one host, over one connection as long as it lasts. */
const MAXIMUM_SERIES = 40;

/** Sends requests one after the other until {@link stop}, on kept connections. */
export class SoakCaller {
  private readonly agent = new Agent({keepAlive: true, maxSockets: 1});
  private isStopped = false;
  private count = 0;

  constructor(private readonly options: SoakCallerOptions) {}

  /** Ends after the request under way. */
  stop(): void {
    this.isStopped = true;
  }

  async run(): Promise<void> {
    const {random, hosts, index} = this.options;
    while (!this.isStopped) {
      const host = random.pick(hosts);
      const series = random.integer(1, MAXIMUM_SERIES);
      for (let sent = 0; sent < series && !this.isStopped; sent++) {
        const id = `caller-${index}-${this.count++}`;
        const request = await this.send(host, id, random.pick(REQUEST_KINDS));
        this.options.onEnded(request);
        const {minimum, maximum} = PAUSE_MILLISECONDS;
        const pause = random.integer(minimum, maximum);
        await new Promise(resolve => setTimeout(resolve, pause));
        // Like a caller that looks up another address.
        if (request.status === undefined) break;
      }
    }
    this.agent.destroy();
  }

  private send(
    host: CallableHost,
    id: string,
    kind: RequestKind,
  ): Promise<SentRequest> {
    const {random, models} = this.options;
    const key = this.options.key();
    const sentAt = performance.now();
    const isModelRequest = kind === 'chat' || kind === 'draft';
    return new Promise(resolve => {
      let status: number | undefined;
      let answeredId: string | undefined;
      let body = '';
      let hasTimedOut = false;
      const finish = (isBroken: boolean) => {
        clearTimeout(timer);
        resolve({
          ...{id, kind, key, sentAt, status, answeredId, body, hasTimedOut},
          host: host.name,
          endedAt: performance.now(),
          isBroken,
        });
      };
      const request = httpRequest({
        host: '127.0.0.1',
        port: host.callerPort,
        method: 'POST',
        path: `/${kind}/${id}`,
        agent: this.agent,
        headers: {
          Host: 'api.example',
          'Request-Id': id,
          'X-Api-Key': key,
          ...(isModelRequest ? {Model: random.pick(models)} : {}),
        },
      });
      const timer = setTimeout(() => {
        hasTimedOut = true;
        request.destroy(new Error('the caller gives up'));
      }, PATIENCE_MILLISECONDS);
      request.on('error', () => finish(true));
      request.on('response', response => {
        status = response.statusCode;
        answeredId = response.headers['request-id'] as string | undefined;
        response.on('data', (chunk: Buffer) => (body += chunk.toString()));
        response.on('end', () => finish(!response.complete));
        response.on('error', () => finish(true));
      });
      request.end();
    });
  }
}
