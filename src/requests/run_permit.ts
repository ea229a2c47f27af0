import {
  failure,
  REQUEST_ERROR_CODES,
  type RequestError,
  type Result,
  success,
} from '../errors/mod.ts';
import type {OpenRequest} from './open_request.ts';
import type {RequestContext} from './request_context.ts';
import type {FingerprintedRequest} from './suspect_registry.ts';

/** Permission to make one attempt. */
export interface RunPermit {
  /** Whether the request is a suspect and must run alone. */
  readonly alone: boolean;
  /** Ends the attempt, so that the next one of the same suspect may start. */
  release(): void;
}

const UNRESTRICTED_PERMIT: RunPermit = {alone: false, release: () => undefined};

/** Waits until a request may run; fails if it is quarantined. */
export async function acquireRunPermit(
  context: RequestContext,
  open: OpenRequest,
  {fingerprint}: FingerprintedRequest,
): Promise<Result<RunPermit, RequestError>> {
  const {suspects, fingerprintLock} = context;
  const verdict = suspects.status(fingerprint);
  if (verdict === 'clear') return success(UNRESTRICTED_PERMIT);
  if (verdict === 'quarantined') return failure(quarantinedError(open));
  const release = await fingerprintLock.acquire(fingerprint, open.signal);
  if (release === undefined) {
    const {deadlineExceeded} = REQUEST_ERROR_CODES;
    const error = open.error(
      deadlineExceeded,
      'The request ended while it waited for another run of the same request',
    );
    return failure(open.toRefusalError(error));
  }
  // The run that held the lock may have cleared or quarantined the request.
  const statusNow = suspects.status(fingerprint);
  if (statusNow === 'suspect') return success({alone: true, release});
  release();
  return statusNow === 'clear'
    ? success(UNRESTRICTED_PERMIT)
    : failure(quarantinedError(open));
}

/** The error for a request that has crashed two endpoints. */
export function quarantinedError(open: OpenRequest): RequestError {
  return open.error(
    REQUEST_ERROR_CODES.quarantined,
    'Two endpoints died while they ran this request; it is quarantined',
  );
}
