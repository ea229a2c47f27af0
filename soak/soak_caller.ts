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

/** What a caller sends. */
interface RequestToSend {
  readonly id: string;
  readonly kind: RequestKind;
  /** Drawn if it is undefined. */
  readonly model?: string | undefined;
  readonly resumes?: string;
  readonly afterEvent?: number;
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

/** Share of the streams that their callers leave after the first event. */
const LEAVING_SHARE = 0.3;

/** Tries at most to take a stream up. */
const MAXIMUM_TAKE_UPS = 3;

const LAST_EVENT = 3;

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
        const request = await this.send(host, {
          id,
          kind: random.pick(REQUEST_KINDS),
        });
        this.options.onEnded(request);
        if (request.kind === 'draft') await this.takeUp(request);
        const {minimum, maximum} = PAUSE_MILLISECONDS;
        const pause = random.integer(minimum, maximum);
        await new Promise(resolve => setTimeout(resolve, pause));
        // Like a caller that looks up another address.
        if (request.status === undefined) break;
      }
    }
    this.agent.destroy();
  }

  /** Takes a stream up, at any hosts, until it has ended. */
  private async takeUp(first: SentRequest): Promise<void> {
    const {random, hosts, onEnded} = this.options;
    let afterEvent = lastEventOf(first.body) ?? 0;
    for (let tries = 0; tries < MAXIMUM_TAKE_UPS; tries++) {
      if (this.isStopped || afterEvent === 0 || afterEvent === LAST_EVENT)
        return;
      const {id: resumes, kind, model} = first;
      const id = `${resumes}-again-${tries}`;
      const again = {id, kind, model, resumes, afterEvent};
      const request = await this.send(random.pick(hosts), again);
      onEnded(request);
      afterEvent = lastEventOf(request.body) ?? afterEvent;
    }
  }

  private send(host: CallableHost, sent: RequestToSend): Promise<SentRequest> {
    const {random, models} = this.options;
    const {id, kind, resumes, afterEvent} = sent;
    const key = this.options.key();
    const model = sent.model ?? random.pick(models);
    const leaves = kind === 'draft' && random.chance(LEAVING_SHARE);
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
          model,
          ...(resumes === undefined ? {} : {resumes, afterEvent}),
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
          ...(isModelRequest ? {Model: model} : {}),
          ...(resumes === undefined
            ? {}
            : {Resumes: resumes, 'Last-Event-Id': String(afterEvent)}),
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
        response.on('data', (chunk: Buffer) => {
          body += chunk.toString();
          const end = body.indexOf('\n\n');
          if (!leaves || end < 0 || hasTimedOut) return;
          body = body.slice(0, end + 2);
          hasTimedOut = true;
          request.destroy();
        });
        response.on('end', () => finish(hasTimedOut || !response.complete));
        response.on('error', () => finish(true));
      });
      request.end();
    });
  }
}

/** Id of the last whole event of a body. */
function lastEventOf(body: string): number | undefined {
  const whole = body.slice(0, body.lastIndexOf('\n\n') + 1);
  const ids = [...whole.matchAll(/^id: (\d+)$/gm)];
  const last = ids.at(-1)?.[1];
  return last === undefined ? undefined : Number(last);
}
