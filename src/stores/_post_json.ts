import {got, type Got, TimeoutError} from 'got';
import {
  failure,
  isConnectFailureCode,
  type Result,
  success,
} from '../errors/mod.ts';
import type {PlatformError, PlatformStep} from './platform_error.ts';

/** What went wrong in an HTTP exchange, and whether the request was sent. */
export interface HttpFailure {
  readonly reason: string;
  /** True when the service may have received the request. */
  readonly mayHaveArrived: boolean;
}

/** Options of the platform's HTTP clients. */
export interface PlatformClientOptions {
  /** Base address, such as `http://127.0.0.1:7001`. */
  address: string;
  /** Milliseconds until an exchange is given up. @default 5000 */
  timeoutMilliseconds?: number;
}

const DEFAULT_TIMEOUT_MILLISECONDS = 5000;

/** Creates a client without retries and redirects. */
export function createHttpClient(options: PlatformClientOptions): Got {
  return got.extend({
    prefixUrl: options.address,
    retry: {limit: 0},
    followRedirect: false,
    throwHttpErrors: false,
    timeout: {
      request: options.timeoutMilliseconds ?? DEFAULT_TIMEOUT_MILLISECONDS,
    },
  });
}

/** Describes an exception of got. */
export function describeHttpFailure(error: unknown): HttpFailure {
  const code =
    error instanceof Error && 'code' in error ? String(error.code) : '';
  const reason = error instanceof Error ? error.message : String(error);
  return {
    reason: code === '' ? reason : `${code}: ${reason}`,
    mayHaveArrived:
      error instanceof TimeoutError || !isConnectFailureCode(code),
  };
}

/** Posts JSON and parses the JSON answer of a read-only operation. */
export async function postJson(
  client: Got,
  step: PlatformStep,
  peer: string,
  path: string,
  body: unknown,
): Promise<Result<unknown, PlatformError>> {
  try {
    const response = await client.post(path, {json: body});
    if (response.statusCode !== 200) {
      const reason = `HTTP status ${response.statusCode}`;
      return failure({kind: 'unavailable', step, peer, reason});
    }
    return success(JSON.parse(response.body) as unknown);
  } catch (error) {
    const {reason} = describeHttpFailure(error);
    return failure({kind: 'unavailable', step, peer, reason});
  }
}
