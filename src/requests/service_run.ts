import type {ServiceRoute} from '../contracts/mod.ts';
import {
  type EndpointError,
  EndpointFailure,
  runStateOf,
  type ServiceClientResponse,
} from '../endpoints/mod.ts';
import {
  failure,
  REQUEST_ERROR_CODES,
  REQUEST_STEPS,
  type RequestError,
  type Result,
  RUN_STATES,
  success,
} from '../errors/mod.ts';
import type {Reservation} from '../limits/mod.ts';
import {sleep} from '../time/mod.ts';
import {decideRetry} from './retry_policy.ts';
import {
  bufferedBody,
  bufferResponse,
  type BufferedResponse,
} from './buffered_response.ts';
import type {StoredResponse} from './claim_row.ts';
import {claimIdempotencyKey} from './claim_idempotency_key.ts';
import type {Claim} from './claim_store.ts';
import {endpointRequestError} from './endpoint_request_error.ts';
import {forwardedHeaders, returnedHeaders} from './forwarded_headers.ts';
import {observeFailure} from './observe_failure.ts';
import type {OpenRequest} from './open_request.ts';
import type {RequestContext} from './request_context.ts';
import {RequestFailure} from './request_failure.ts';
import {requestFingerprint} from './request_fingerprint.ts';
import {DEFAULT_MAXIMUM_OUTCOME_BYTES} from './request_path_options.ts';
import {acquireRunPermit, type RunPermit} from './run_permit.ts';
import {isRepeatableCall} from './route_rules.ts';
import type {AcquiredEndpoint} from './service_balancer.ts';
import type {ServiceRequest, ServiceResponse} from './service_request.ts';
import type {FingerprintedRequest} from './suspect_registry.ts';

type Outcome = Result<ServiceResponse, RequestError>;

const DEFAULT_MAXIMUM_ATTEMPTS = 4;
const DEFAULT_REPEATABLE_HEAD_MILLISECONDS = 1500;
/** Responses of repeatable calls up to this size are buffered whole, so that they can be retried. */
const RETRYABLE_ANSWER_BYTES = 65_536;
/** Team name for callers of open routes; no real team can have it. */
const OPEN_ROUTE_TEAM = '_open';
/** Maximum wait while the circuit breakers of all endpoints are open. */
const MAXIMUM_BLOCKED_MILLISECONDS = 1000;
const PLACEMENT_RETRY_MILLISECONDS = 20;

/** A service request after admission: reserve, place, dispatch, relay, settle. */
export class ServiceRun {
  private readonly excluded = new Set<string>();
  private readonly repeatable: boolean;
  private reservation: Reservation | undefined;
  private claim: Claim | undefined;
  private isFinished = false;
  private readonly claimTeam: string;
  private readonly identity: FingerprintedRequest;

  constructor(
    private readonly context: RequestContext,
    private readonly request: ServiceRequest,
    private readonly open: OpenRequest,
    private readonly route: ServiceRoute,
    /** Undefined on open routes. */
    private readonly team: string | undefined,
    /** Called once the request has ended. */
    private readonly onEnd: () => void,
  ) {
    const {method, path, body} = request;
    this.repeatable = isRepeatableCall(route, method, path);
    this.claimTeam = team ?? OPEN_ROUTE_TEAM;
    const name = `${method} ${route.name}${path}`;
    const fingerprint = requestFingerprint(this.claimTeam, name, body);
    this.identity = {fingerprint, team: this.claimTeam, route: name};
  }

  /** Runs the request; the response body is streamed. */
  async call(): Promise<Outcome> {
    const outcome = await this.reserveAndRun();
    if (!outcome.ok) this.finish();
    return outcome;
  }

  private async reserveAndRun(): Promise<Outcome> {
    const {open, route, team} = this;
    if (team !== undefined && route.tokensPerCall > 0) {
      open.step = REQUEST_STEPS.reserve;
      const reservation = await this.context.options.tokens.reserve({
        team,
        tokens: route.tokensPerCall,
        deadlineAt: open.deadlineAt,
        signal: open.signal,
      });
      if (!reservation.ok)
        return failure(open.toRefusalError(reservation.error));
      this.reservation = reservation.value;
    }
    return this.claimAndRun();
  }

  /** Repeatable calls need no claim, so they work while the table is unavailable. */
  private async claimAndRun(): Promise<Outcome> {
    const {open, request} = this;
    const {idempotencyKey} = request;
    if (idempotencyKey !== undefined && !this.repeatable) {
      const claimed = await claimIdempotencyKey(this.context, open, {
        team: this.claimTeam,
        idempotencyKey,
        bodyDigest: this.identity.fingerprint,
      });
      if (claimed.kind === 'refused') return failure(claimed.error);
      if (claimed.kind === 'answered') return this.replay(claimed.answer);
      this.claim = claimed.claim;
      // The run continues without its caller, so that the response is stored
      // for repeats.
      open.detachCaller();
    }
    return this.attempts();
  }

  private replay(answer: StoredResponse): Outcome {
    const {open} = this;
    if (answer.kind !== 'service') {
      const {internal} = REQUEST_ERROR_CODES;
      return failure(
        open.error(
          internal,
          'The stored response is one of a model, not of a service',
        ),
      );
    }
    const {status, headers, body} = answer;
    const chunks = [Buffer.from(body, 'base64')];
    const release = () => this.finish();
    const relayed = this.relay(
      bufferedBody({chunks, rest: undefined}),
      release,
    );
    this.releaseWhenAborted(release);
    return success({status, headers, body: relayed});
  }

  private async attempts(): Promise<Outcome> {
    const {open} = this;
    this.context.budget.deposit();
    for (let attempts = 1; ; attempts++) {
      open.step = REQUEST_STEPS.place;
      const permit = await acquireRunPermit(this.context, open, this.identity);
      if (!permit.ok) return permit;
      const acquired = await this.place(permit.value);
      if (!acquired.ok) {
        permit.value.release();
        return acquired;
      }
      const outcome = await this.attempt(acquired.value, permit.value);
      if (outcome.ok) return outcome;
      acquired.value.release();
      permit.value.release();
      if (!this.mayRetry(outcome.error, attempts)) {
        return failure(endpointRequestError(open, outcome.error));
      }
      this.excludeEndpoint(acquired.value, outcome.error);
    }
  }

  private async place(
    permit: RunPermit,
  ): Promise<Result<AcquiredEndpoint, RequestError>> {
    const {open, route} = this;
    const {balancer, breakers, options} = this.context;
    const {alone} = permit;
    const choice = {pool: route.pool, excluded: this.excluded, alone};
    if (!balancer.hasEndpoint(choice)) this.excluded.clear();
    const blockedUntil =
      options.clock.monotonicMilliseconds() + MAXIMUM_BLOCKED_MILLISECONDS;
    while (!open.signal.aborted && balancer.hasEndpoint(choice)) {
      const excluded = new Set([...this.excluded, ...breakers.open]);
      const acquired = balancer.acquire({...choice, excluded});
      if (acquired !== undefined) return success(acquired);
      const isBlocked = !balancer.hasEndpoint({...choice, excluded});
      const now = options.clock.monotonicMilliseconds();
      if (isBlocked && now >= blockedUntil) break;
      await sleep(options.clock, PLACEMENT_RETRY_MILLISECONDS, open.signal);
    }
    const error = open.error(
      REQUEST_ERROR_CODES.noReplica,
      `No endpoint of pool "${route.pool}" can take the request`,
    );
    return failure(open.toRefusalError(error));
  }

  private async attempt(
    acquired: AcquiredEndpoint,
    permit: RunPermit,
  ): Promise<Result<ServiceResponse, EndpointError>> {
    const {open} = this;
    const {breakers, options, suspects} = this.context;
    const {name} = acquired.endpoint;
    const runBefore = open.run;
    open.step = REQUEST_STEPS.dispatch;
    open.run = RUN_STATES.unknown;
    const response = await this.send(acquired, permit);
    if (response.ok) {
      options.observer.succeeded(name);
      breakers.succeeded(name);
      if (permit.alone) suspects.clear(this.identity.fingerprint);
      return response;
    }
    const {error} = response;
    if (runStateOf(error) === RUN_STATES.notRun) open.run = runBefore;
    observeFailure(this.context, acquired.endpoint, error);
    if (await this.hasEndpointDied(acquired, error)) {
      suspects.recordCrash(this.identity, name, undefined, permit.alone);
    }
    return response;
  }

  private async send(
    acquired: AcquiredEndpoint,
    permit: RunPermit,
  ): Promise<Result<ServiceResponse, EndpointError>> {
    const {request, open, repeatable} = this;
    const client = this.context.options.clients.service(acquired.endpoint);
    const answer = await client.call(
      {
        requestId: request.requestId,
        method: request.method,
        path: request.path,
        headers: forwardedHeaders(request.headers),
        body: request.body,
        repeatable,
        progressMilliseconds: this.progressMilliseconds,
      },
      open.signal,
    );
    if (!answer.ok) return answer;
    try {
      const buffered = await bufferResponse(
        answer.value,
        this.bufferLimit(answer.value),
      );
      open.run = RUN_STATES.run;
      return success(
        this.createResponse(answer.value, buffered, acquired, permit),
      );
    } catch (error) {
      answer.value.close();
      return failure(toEndpointError(acquired, error));
    }
  }

  /** Maximum bytes to buffer before the response is relayed; -1 for none. */
  private bufferLimit(answer: ServiceClientResponse): number {
    if (this.claim !== undefined) return this.maximumOutcomeBytes;
    const length = Number(answer.headers['content-length'] ?? Infinity);
    const isSmall = length <= RETRYABLE_ANSWER_BYTES;
    return this.repeatable && isSmall ? RETRYABLE_ANSWER_BYTES : -1;
  }

  private get maximumOutcomeBytes(): number {
    const {maximumOutcomeBytes} = this.context.options;
    return maximumOutcomeBytes ?? DEFAULT_MAXIMUM_OUTCOME_BYTES;
  }

  /** Whether the endpoint's process may have ended during the call. */
  private async hasEndpointDied(
    acquired: AcquiredEndpoint,
    error: EndpointError,
  ): Promise<boolean> {
    if (error.kind !== 'broken') return false;
    const {clients} = this.context.options;
    const probe = await clients.service(acquired.endpoint).probe();
    return (
      !probe.ok && probe.error.kind === 'unreachable' && probe.error.refused
    );
  }

  /** A repeatable call has a short progress time-out, so that there is time for a retry. */
  private get progressMilliseconds(): number {
    if (!this.repeatable) return this.route.timeoutMilliseconds;
    return (
      this.context.options.repeatableHeadMilliseconds ??
      DEFAULT_REPEATABLE_HEAD_MILLISECONDS
    );
  }

  private mayRetry(error: EndpointError, attempts: number): boolean {
    const {open} = this;
    const {options, budget} = this.context;
    const decision = decideRetry({
      repeatable: this.repeatable,
      run: runStateOf(error),
      delivered: false,
      attempts,
      maximumAttempts: options.maximumAttempts ?? DEFAULT_MAXIMUM_ATTEMPTS,
      remainingMilliseconds: open.remainingMilliseconds,
      ending: open.signal.aborted,
      takeRetry: () => budget.tryWithdraw(),
    });
    return decision.allowed;
  }

  private excludeEndpoint(
    acquired: AcquiredEndpoint,
    error: EndpointError,
  ): void {
    this.excluded.add(acquired.endpoint.name);
    this.context.options.logger.event('requestRetried', {
      requestId: this.open.requestId,
      endpoint: acquired.endpoint.name,
      reason: error.kind,
    });
  }

  private createResponse(
    answer: ServiceClientResponse,
    buffered: BufferedResponse,
    acquired: AcquiredEndpoint,
    permit: RunPermit,
  ): ServiceResponse {
    this.open.step = REQUEST_STEPS.relay;
    const {status} = answer;
    const headers = returnedHeaders(answer.headers);
    if (buffered.rest === undefined) {
      const body = Buffer.concat(buffered.chunks).toString('base64');
      this.claim?.answered({kind: 'service', status, headers, body});
    }
    const release = () => {
      answer.close();
      acquired.release();
      permit.release();
      this.finish();
    };
    const body = this.relay(bufferedBody(buffered), release);
    this.releaseWhenAborted(release);
    return {status, headers, body};
  }

  /** Releases the request on abort, even if nobody reads the body. */
  private releaseWhenAborted(release: () => void): void {
    const {open} = this;
    open.signal.addEventListener('abort', release, {once: true});
    if (this.claim !== undefined) open.attachCaller();
    if (open.signal.aborted) release();
  }

  private async *relay(
    body: AsyncIterable<Uint8Array>,
    release: () => void,
  ): AsyncGenerator<Uint8Array, void, undefined> {
    try {
      yield* body;
    } catch (error) {
      this.open.run = RUN_STATES.unknown;
      const failed = toEndpointError(undefined, error);
      this.context.options.logger.event('requestFailed', {
        requestId: this.request.requestId,
        reason: failed.reason,
      });
      throw new RequestFailure(endpointRequestError(this.open, failed));
    } finally {
      release();
    }
  }

  private finish(): void {
    if (this.isFinished) return;
    this.isFinished = true;
    const {run} = this.open;
    const isNotRun = run === RUN_STATES.notRun;
    this.reservation?.settle(isNotRun ? 0 : this.route.tokensPerCall);
    // Has no effect if the response was stored.
    if (isNotRun) this.claim?.release();
    else this.claim?.unknown();
    this.onEnd();
  }
}

function toEndpointError(
  acquired: AcquiredEndpoint | undefined,
  error: unknown,
): EndpointError {
  if (error instanceof EndpointFailure) return error.error;
  const reason = error instanceof Error ? error.message : String(error);
  const peer = acquired?.endpoint.name ?? 'unknown';
  return {kind: 'broken', step: 'receive', peer, reason};
}
