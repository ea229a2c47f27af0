import type {ServerResponse} from 'node:http';
import type {RequestLog} from './_request_log.ts';
import type {RoutedRequest} from './endpoint_source.ts';

/** An admitted request and the response to write to. */
export interface AttemptContext {
  readonly request: RoutedRequest;
  readonly method: string;
  readonly path: string;
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  readonly fingerprint: string;
  readonly response: ServerResponse;
  /** Aborted when the caller disconnects. */
  readonly callerLeft: AbortSignal;
  readonly log: RequestLog;
}
