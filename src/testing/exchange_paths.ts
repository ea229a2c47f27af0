import {Agent} from 'node:http';
import {HttpServiceClient} from '../endpoints/mod.ts';
import {callHttp, EndpointAgent, sendToEndpoint} from '../exchange/mod.ts';

const TIMEOUT_MILLISECONDS = 2000;

/** Ways in which requests reach servers: of callers, of hosts, and of the daemon. */
export const EXCHANGE_PATHS = ['relay', 'controlCall', 'daemon'] as const;

/** One of {@link EXCHANGE_PATHS}. */
export type ExchangePath = (typeof EXCHANGE_PATHS)[number];

/** What becomes of a request: `unknown` if it may have run. */
export type ExchangeOutcome = 'answered' | 'unknown' | (string & {});

const EXCHANGES: Readonly<
  Record<ExchangePath, (address: string) => Promise<ExchangeOutcome>>
> = {
  relay: async address => {
    const sent = await sendToEndpoint({
      address,
      method: 'GET',
      path: '/',
      headers: ['Host', 'h'],
      body: Buffer.alloc(0),
      agent: new EndpointAgent({
        maximumConnections: 1,
        idleTimeoutMilliseconds: 1000,
      }),
      connectTimeoutMilliseconds: TIMEOUT_MILLISECONDS,
      responseTimeoutMilliseconds: TIMEOUT_MILLISECONDS,
      signal: new AbortController().signal,
    });
    if (sent.kind === 'answer') return 'answered';
    return sent.kind === 'unknown' && sent.timedOut ? 'timed_out' : sent.kind;
  },
  controlCall: async address => {
    const result = await callHttp({
      address,
      method: 'GET',
      path: '/',
      agent: new Agent(),
      timeoutMilliseconds: TIMEOUT_MILLISECONDS,
    });
    if (result.ok) return 'answered';
    return result.error.mayHaveArrived ? 'unknown' : 'unsent';
  },
  daemon: async address => {
    const client = new HttpServiceClient({
      name: 'service',
      address: `http://${address}`,
      progressMilliseconds: TIMEOUT_MILLISECONDS,
    });
    const result = await client.call(
      {
        requestId: 'r',
        method: 'GET',
        path: '/',
        headers: {},
        body: Buffer.alloc(0),
        repeatable: false,
      },
      new AbortController().signal,
    );
    client.close();
    return result.ok ? 'answered' : result.error.kind;
  },
};

/** Sends one request to a server on loopback over one of the paths. */
export function exchangeOver(
  path: ExchangePath,
  port: number,
): Promise<ExchangeOutcome> {
  return EXCHANGES[path](`127.0.0.1:${port}`);
}
