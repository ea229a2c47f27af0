import {
  REQUEST_ERROR_CODES,
  REQUEST_STEPS,
  type RequestError,
} from '../errors/mod.ts';
import type {StoredResponse} from './claim_row.ts';
import type {Claim, ClaimRequest, ClaimResult} from './claim_store.ts';
import type {OpenRequest} from './open_request.ts';
import type {RequestContext} from './request_context.ts';

/** Outcome of {@link claimIdempotencyKey}. */
export type ClaimOutcome =
  | {readonly kind: 'granted'; readonly claim: Claim}
  | {readonly kind: 'answered'; readonly answer: StoredResponse}
  | {readonly kind: 'refused'; readonly error: RequestError};

/** Claims an idempotency key for one run, within the request's deadline. */
export async function claimIdempotencyKey(
  context: RequestContext,
  open: OpenRequest,
  request: Pick<ClaimRequest, 'team' | 'idempotencyKey' | 'bodyDigest'>,
): Promise<ClaimOutcome> {
  open.step = REQUEST_STEPS.claim;
  const {requestId, remainingMilliseconds} = open;
  const claiming = context.claims.claim({
    ...request,
    requestId,
    remainingMilliseconds,
  });
  const result = await resolveUnlessAborted(claiming, open.signal);
  if (result === undefined || open.signal.aborted) {
    // The claim may still be granted later. Nothing was sent, so release it then.
    void claiming.then(late => {
      if (late.kind === 'granted') late.claim.release();
    });
    const {deadlineExceeded} = REQUEST_ERROR_CODES;
    const error = open.error(
      deadlineExceeded,
      'The request ended before its idempotency key was claimed',
    );
    return {kind: 'refused', error: open.toRefusalError(error)};
  }
  if (result.kind !== 'refused') return result;
  const {code, message, run, retryAfterMilliseconds} = result;
  const retry =
    retryAfterMilliseconds === undefined ? {} : {retryAfterMilliseconds};
  return {
    kind: 'refused',
    error: {...open.error(code, message), run, ...retry},
  };
}

function resolveUnlessAborted(
  claiming: Promise<ClaimResult>,
  signal: AbortSignal,
): Promise<ClaimResult | undefined> {
  if (signal.aborted) return Promise.resolve(undefined);
  return new Promise(resolve => {
    const abort = () => resolve(undefined);
    signal.addEventListener('abort', abort, {once: true});
    void claiming.then(result => {
      signal.removeEventListener('abort', abort);
      resolve(result);
    });
  });
}
