import {got, type Got, TimeoutError} from 'got';
import {
  failure,
  isConnectFailureCode,
  type Result,
  success,
} from '../errors/mod.ts';
import type {PlatformError, PlatformStep} from './platform_error.ts';

/** Reason of a failed HTTP request, and whether the service may have got it. */
export interface HttpFailure {
  readonly reason: string;
  /** True when the service may have received the request. */
  readonly mayHaveBeenReceived: boolean;
}

/** Options of the platform's HTTP clients. */
export interface PlatformClientOptions {
  /** Base address, such as `http://127.0.0.1:7001`. */
  address: string;
  /** Request timeout in milliseconds. @default 5000 */
  timeoutMilliseconds?: number;
}

const DEFAULT_TIMEOUT_MILLISECONDS = 5000;

/** Creates an HTTP client that neither retries nor follows redirects. */
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

/** Describes an error thrown by got. */
export function describeHttpFailure(error: unknown): HttpFailure {
  const code =
    error instanceof Error && 'code' in error ? String(error.code) : '';
  const reason = error instanceof Error ? error.message : String(error);
  return {
    reason: code === '' ? reason : `${code}: ${reason}`,
    mayHaveBeenReceived:
      error instanceof TimeoutError || !isConnectFailureCode(code),
  };
}

/**
 * Sends a JSON POST request and parses the JSON response. Only for read-only
 * operations: every failure is reported as having had no effect.
 */
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
