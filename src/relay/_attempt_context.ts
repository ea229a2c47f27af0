import type {ServerResponse} from 'node:http';
import type {ByteReservation} from '../bytes/mod.ts';
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
  /** Opens a reservation that lasts until the response is written out. */
  readonly reservation: (holder: string) => ByteReservation;
  /** Aborted when the caller disconnects. */
  readonly callerLeft: AbortSignal;
  /** Aborted when requests without a response must be answered. */
  readonly hostStops: AbortSignal;
  readonly log: RequestLog;
}
