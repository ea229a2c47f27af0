import type {ServiceRoute} from '../contracts/mod.ts';
import {
  failure,
  REQUEST_ERROR_CODES,
  REQUEST_STEPS,
  type RequestError,
  type Result,
  RUN_STATES,
  success,
} from '../errors/mod.ts';
import {checkKeyId} from '../keys/mod.ts';
import {sleep} from '../time/mod.ts';
import {
  identifyCaller,
  mayCallModel,
  requireConfirmedView,
} from './admit_request.ts';
import type {ModelEvent, ModelRequest} from './model_request.ts';
import {ModelRun} from './model_run.ts';
import {OpenRequest} from './open_request.ts';
import {createContext} from './_create_context.ts';
import type {RequestContext} from './request_context.ts';
import type {RequestPathOptions} from './request_path_options.ts';
import type {ServiceRequest, ServiceResponse} from './service_request.ts';
import {ServiceRun} from './service_run.ts';
import {waitForView} from './wait_for_view.ts';

const DEFAULT_UNCONFIRMED_GRACE_MILLISECONDS = 10_000;
const UNROUTED_TIMEOUT_MILLISECONDS = 10_000;
const LIST_TIMEOUT_MILLISECONDS = 10_000;
/** Confirming the view takes one exchange with the peers or the table. */
const VIEW_CONFIRMATION_MILLISECONDS = 1000;
/** `Retry-After` of a draining host; its caller should try another host. */
const DRAINING_RETRY_MILLISECONDS = 1000;
const END_POLL_MILLISECONDS = 10;

/** Dispatches callers' requests to endpoints and relays the responses. */
export class RequestPath {
  private readonly context: RequestContext;
  private readonly openRequests = new Set<OpenRequest>();
  private isDispatching = true;

  constructor(private readonly options: RequestPathOptions) {
    this.context = createContext(options);
  }

  /**
   * Runs a request to a model or adapter.
   *
   * @example
   * ```ts
   * for await (const event of path.runModel(request)) {
   *   if (event.kind === 'token') response.write(event.text);
   * }
   * ```
   */
  async *runModel(
    request: ModelRequest,
  ): AsyncGenerator<ModelEvent, void, undefined> {
    const open = this.openRequest(request, request.timeoutMilliseconds);
    try {
      await this.waitForView(open);
      const ended = open.abortError();
      if (ended === undefined) yield* this.admitModel(request, open);
      else yield {kind: 'failed', error: ended};
    } finally {
      this.closeRequest(open);
    }
  }

  /** Runs a request to a plain service. */
  async callService(
    request: ServiceRequest,
  ): Promise<Result<ServiceResponse, RequestError>> {
    const route = this.options.authority().routes.get(request.service);
    const timeout = route?.timeoutMilliseconds ?? UNROUTED_TIMEOUT_MILLISECONDS;
    const open = this.openRequest(request, timeout);
    await this.waitForView(open);
    const ended = open.abortError();
    const admitted =
      ended === undefined
        ? this.admitService(request, open, route)
        : failure(ended);
    if (!admitted.ok) {
      this.closeRequest(open);
      return admitted;
    }
    const run = new ServiceRun(
      this.context,
      request,
      open,
      admitted.value.route,
      admitted.value.team,
      () => this.closeRequest(open),
    );
    return run.call();
  }

  /** Models and adapters that a key may call, in alphabetical order. */
  listModels(
    authorization: string | undefined,
  ): Result<string[], RequestError> {
    const open = this.openRequest(
      {requestId: 'list-models', signal: new AbortController().signal},
      LIST_TIMEOUT_MILLISECONDS,
    );
    try {
      const contract = identifyCaller(this.options, open, authorization);
      if (!contract.ok) return contract;
      const {models, adapters} = contract.value;
      const authority = this.options.authority();
      const names = [...models, ...adapters].filter(name =>
        mayCallModel(authority, contract.value, name),
      );
      return success([...new Set(names)].sort());
    } finally {
      this.closeRequest(open);
    }
  }

  /**
   * Removes idempotency claims that have expired. Call it about once an hour on
   * one host.
   *
   * @returns Number of claims removed.
   */
  removeExpiredClaims(): Promise<number> {
    return this.context.claims.removeExpired();
  }

  private waitForView(open: OpenRequest): Promise<void> {
    const {clock, view} = this.options;
    return waitForView(
      view,
      clock,
      VIEW_CONFIRMATION_MILLISECONDS,
      open.signal,
    );
  }

  /** Stops probes and stops listening to peers. */
  close(): void {
    this.context.breakers.close();
    this.context.suspects.close();
  }

  /** Requests that have not ended. */
  activeRequests(): number {
    return this.openRequests.size;
  }

  /**
   * Refuses all requests that no endpoint has received, including later ones.
   * Their callers can send them to another host.
   */
  stopDispatching(): void {
    if (!this.isDispatching) return;
    this.isDispatching = false;
    const undispatched = [...this.openRequests].filter(
      ({run}) => run === RUN_STATES.notRun,
    );
    const refused = undispatched.length;
    this.options.logger.event('dispatchStopped', {refused});
    for (const open of undispatched) refuseForDrain(open);
  }

  /**
   * Ends all open requests and refuses later ones. Resolves once every request
   * has ended, or after a time limit.
   */
  async endOpenRequests(timeLimitMilliseconds: number): Promise<void> {
    const {clock} = this.options;
    const deadlineAt = clock.monotonicMilliseconds() + timeLimitMilliseconds;
    this.stopDispatching();
    for (const open of this.openRequests) {
      open.end(
        REQUEST_ERROR_CODES.draining,
        'This host shut down before the request ended',
      );
    }
    while (this.openRequests.size > 0) {
      const remaining = deadlineAt - clock.monotonicMilliseconds();
      if (remaining <= 0) return;
      await sleep(clock, Math.min(remaining, END_POLL_MILLISECONDS));
    }
  }

  /** Logs every open request with its step, run state and age. */
  logOpenRequests(): void {
    const {clock, logger} = this.options;
    const now = clock.monotonicMilliseconds();
    for (const {requestId, step, run, openedAt} of this.openRequests) {
      const ageMilliseconds = Math.round(now - openedAt);
      logger.event('requestOpenAtStop', {
        requestId,
        step,
        run,
        ageMilliseconds,
      });
    }
  }

  /**
   * Ends requests whose key was withdrawn or whose contract ended. Call it when
   * the authority changes, and about every second.
   */
  checkOpenRequests(): void {
    this.context.suspects.refresh();
    const {authority, clock, view} = this.options;
    const now = clock.now();
    const gracePeriod =
      this.options.unconfirmedGraceMilliseconds ??
      DEFAULT_UNCONFIRMED_GRACE_MILLISECONDS;
    const unconfirmed =
      clock.monotonicMilliseconds() - view.confirmedUntil() > gracePeriod;
    for (const open of this.openRequests) {
      if (open.keyId === undefined) continue;
      const identity = checkKeyId(authority(), open.keyId, now);
      if (!identity.ok) this.abortForInvalidKey(open, identity.error.kind);
      else if (unconfirmed) {
        const message =
          'This host can no longer confirm that its configuration is current';
        open.end(REQUEST_ERROR_CODES.viewUnconfirmed, message);
      }
    }
  }

  private abortForInvalidKey(open: OpenRequest, reason: string): void {
    const {invalidApiKey, contractEnded} = REQUEST_ERROR_CODES;
    if (reason === 'contract_ended') {
      open.end(contractEnded, 'The contract has ended');
    } else {
      open.end(invalidApiKey, 'The API key has been withdrawn');
    }
    const {requestId} = open;
    this.options.logger.event('streamEndedByKey', {requestId, reason});
  }

  private async *admitModel(
    request: ModelRequest,
    open: OpenRequest,
  ): AsyncGenerator<ModelEvent, void, undefined> {
    const contract = identifyCaller(this.options, open, request.authorization);
    if (!contract.ok) {
      yield {kind: 'failed', error: contract.error};
      return;
    }
    open.step = REQUEST_STEPS.admit;
    const {model} = request;
    if (!mayCallModel(this.options.authority(), contract.value, model)) {
      const message = `Model "${model}" does not exist or is not in the contract`;
      const error = open.error(REQUEST_ERROR_CODES.modelNotFound, message);
      yield {kind: 'failed', error};
      return;
    }
    const run = new ModelRun(this.context, request, open, contract.value);
    yield* run.events();
  }

  private admitService(
    request: ServiceRequest,
    open: OpenRequest,
    route: ServiceRoute | undefined,
  ): Result<
    {readonly route: ServiceRoute; readonly team: string | undefined},
    RequestError
  > {
    const {routeNotFound, requestTooLarge} = REQUEST_ERROR_CODES;
    const routeNotFoundFailure = () => {
      const message = `Service "${request.service}" does not exist or is not in the contract`;
      return failure(open.error(routeNotFound, message));
    };
    let team: string | undefined;
    if (route?.open === true) {
      const unconfirmed = requireConfirmedView(this.options, open);
      if (unconfirmed !== undefined) return failure(unconfirmed);
    } else {
      const {authorization} = request;
      const contract = identifyCaller(this.options, open, authorization);
      if (!contract.ok) return contract;
      if (!contract.value.services.includes(request.service))
        return routeNotFoundFailure();
      team = contract.value.team;
    }
    open.step = REQUEST_STEPS.admit;
    if (route === undefined) return routeNotFoundFailure();
    const {length} = request.body;
    if (length > route.maximumBodyBytes) {
      const message = `The body has ${length} bytes, more than ${route.maximumBodyBytes}`;
      return failure(open.error(requestTooLarge, message));
    }
    return success({route, team});
  }

  private openRequest(
    request: {readonly requestId: string; readonly signal: AbortSignal},
    timeoutMilliseconds: number,
  ): OpenRequest {
    const open = new OpenRequest({
      requestId: request.requestId,
      clock: this.options.clock,
      callerSignal: request.signal,
      timeoutMilliseconds,
    });
    this.openRequests.add(open);
    if (!this.isDispatching) refuseForDrain(open);
    return open;
  }

  private closeRequest(open: OpenRequest): void {
    this.openRequests.delete(open);
    open.close();
  }
}

function refuseForDrain(open: OpenRequest): void {
  open.end(
    REQUEST_ERROR_CODES.draining,
    'This host is shutting down',
    DRAINING_RETRY_MILLISECONDS,
  );
}
