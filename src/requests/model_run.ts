import {randomUUID} from 'node:crypto';
import type {Contract} from '../contracts/mod.ts';
import {REQUEST_ERROR_CODES, REQUEST_STEPS, RUN_STATES} from '../errors/mod.ts';
import type {AcquiredReplica} from '../routing/mod.ts';
import {decideRetry} from './retry_policy.ts';
import type {Claim} from './claim_store.ts';
import type {StoredResponse} from './claim_row.ts';
import {claimIdempotencyKey} from './claim_idempotency_key.ts';
import {endpointRequestError} from './endpoint_request_error.ts';
import {observeFailure} from './observe_failure.ts';
import {ModelAttempt, type ModelOutcome} from './model_attempt.ts';
import type {ModelEvent, ModelRequest} from './model_request.ts';
import type {OpenRequest} from './open_request.ts';
import type {RequestContext} from './request_context.ts';
import {requestFingerprint} from './request_fingerprint.ts';
import {
  acquireRunPermit,
  quarantinedError,
  type RunPermit,
} from './run_permit.ts';
import type {FingerprintedRequest} from './suspect_registry.ts';

type FailedOutcome = Extract<ModelOutcome, {kind: 'failed'}>;

const DEFAULT_MAXIMUM_ATTEMPTS = 4;
const DEFAULT_PROGRESS_MILLISECONDS = 600;
const CHARACTERS_PER_TOKEN = 4;

/** A model request after admission: reserve, place, dispatch, relay, settle. */
export class ModelRun {
  private readonly excluded = new Set<string>();
  private current: ModelAttempt | undefined;
  private usedTokens: number | undefined;
  private claim: Claim | undefined;
  private readonly tokens: string[] = [];
  private readonly identity: FingerprintedRequest;

  constructor(
    private readonly context: RequestContext,
    private readonly request: ModelRequest,
    private readonly open: OpenRequest,
    private readonly contract: Contract,
  ) {
    const {model, operation, input, maximumTokens, parameters} = request;
    const {team} = contract;
    const body = JSON.stringify([operation, input, maximumTokens, parameters]);
    const fingerprint = requestFingerprint(team, model, body);
    this.identity = {fingerprint, team, route: model};
  }

  /** Yields all events; the last one is `end` or `failed`. */
  async *events(): AsyncGenerator<ModelEvent, void, undefined> {
    const {open, request} = this;
    const promptTokens = estimatePromptTokens(request);
    open.step = REQUEST_STEPS.reserve;
    const reservation = await this.context.options.tokens.reserve({
      team: this.contract.team,
      tokens: promptTokens + request.maximumTokens,
      deadlineAt: open.deadlineAt,
      signal: open.signal,
    });
    if (!reservation.ok) {
      yield {kind: 'failed', error: open.toRefusalError(reservation.error)};
      return;
    }
    try {
      yield* this.claimAndRun();
    } finally {
      this.settleClaim();
      const assumed =
        open.run === RUN_STATES.notRun ? 0 : promptTokens + this.delivered;
      reservation.value.settle(this.usedTokens ?? assumed);
    }
  }

  private async *claimAndRun(): AsyncGenerator<ModelEvent, void, undefined> {
    const {open, request} = this;
    const {requestId, idempotencyKey} = request;
    if (idempotencyKey !== undefined) {
      const claimed = await claimIdempotencyKey(this.context, open, {
        team: this.contract.team,
        idempotencyKey,
        bodyDigest: this.identity.fingerprint,
      });
      if (claimed.kind === 'refused') {
        yield {kind: 'failed', error: claimed.error};
        return;
      }
      if (claimed.kind === 'answered') {
        yield {kind: 'accepted', requestId, team: this.contract.team};
        yield* this.replay(claimed.answer);
        return;
      }
      this.claim = claimed.claim;
    }
    yield {kind: 'accepted', requestId, team: this.contract.team};
    yield* this.attempts();
  }

  private *replay(answer: StoredResponse): Generator<ModelEvent> {
    if (answer.kind !== 'model') {
      const {internal} = REQUEST_ERROR_CODES;
      const message = 'The stored response is one of a service, not of a model';
      yield {kind: 'failed', error: this.open.error(internal, message)};
      return;
    }
    // No engine runs the request, so no tokens are charged.
    this.usedTokens = 0;
    const {tokens, promptTokens, completionTokens, finishReason} = answer;
    for (const [index, text] of tokens.entries()) {
      yield {kind: 'token', index, text};
    }
    yield {kind: 'end', promptTokens, completionTokens, finishReason};
  }

  private async *attempts(): AsyncGenerator<ModelEvent, void, undefined> {
    const {open} = this;
    this.context.budget.deposit();
    for (let attempts = 1; ; attempts++) {
      open.step = REQUEST_STEPS.place;
      const permit = await acquireRunPermit(this.context, open, this.identity);
      if (!permit.ok) {
        yield {kind: 'failed', error: permit.error};
        return;
      }
      try {
        if (yield* this.placeAndAttempt(permit.value, attempts)) return;
      } finally {
        permit.value.release();
      }
    }
  }

  /** Makes one attempt; returns true once the request has ended. */
  private async *placeAndAttempt(
    permit: RunPermit,
    attempts: number,
  ): AsyncGenerator<ModelEvent, boolean, undefined> {
    const {open} = this;
    let replica = await this.place(permit);
    if (!replica.ok && this.excluded.size > 0 && !open.signal.aborted) {
      // Only endpoints that this request has failed on are left; allow them again.
      this.excluded.clear();
      replica = await this.place(permit);
    }
    if (!replica.ok) {
      yield {kind: 'failed', error: open.toRefusalError(replica.error)};
      return true;
    }
    const slot = await this.enterPool(replica.value);
    if (!slot.ok) {
      replica.value.release();
      yield {kind: 'failed', error: open.toRefusalError(slot.error)};
      return true;
    }
    let outcome: ModelOutcome;
    try {
      outcome = yield* this.attempt(replica.value, permit);
    } finally {
      slot.value.release();
      replica.value.release();
    }
    if (outcome.kind === 'ended') {
      this.storeAnswer(outcome.end);
      yield outcome.end;
      return true;
    }
    if (this.mayRetry(outcome, attempts)) {
      this.excludeEndpoint(replica.value, outcome);
      return false;
    }
    yield {kind: 'failed', error: this.finalError(outcome)};
    return true;
  }

  private finalError(outcome: FailedOutcome) {
    const {open} = this;
    const isQuarantined =
      this.context.suspects.status(this.identity.fingerprint) === 'quarantined';
    return isQuarantined && open.abortError() === undefined
      ? quarantinedError(open)
      : endpointRequestError(open, outcome.error);
  }

  private storeAnswer(end: {
    readonly promptTokens: number;
    readonly completionTokens: number;
    readonly finishReason: 'stop' | 'length';
  }): void {
    const {promptTokens, completionTokens, finishReason} = end;
    this.claim?.answered({
      kind: 'model',
      tokens: this.tokens,
      promptTokens,
      completionTokens,
      finishReason,
    });
  }

  /** Has no effect if the response was stored. */
  private settleClaim(): void {
    if (this.open.run === RUN_STATES.notRun) this.claim?.release();
    else this.claim?.unknown();
  }

  private place(permit: RunPermit) {
    const {open, request, contract} = this;
    return this.context.options.replicas.acquire({
      target: request.model,
      team: contract.team,
      deadlineAt: open.deadlineAt,
      prefix: undefined,
      excludedEndpoints: this.excludedEndpoints,
      alone: permit.alone,
      signal: open.signal,
    });
  }

  /** Waits for fair admission among this host's requests to the pool. */
  private enterPool(replica: AcquiredReplica) {
    const {open, request, contract} = this;
    return this.context.admission.enter(replica.endpoint.pool, {
      team: contract.team,
      cost: request.maximumTokens,
      startBy: open.deadlineAt,
      signal: open.signal,
    });
  }

  private async *attempt(
    replica: AcquiredReplica,
    permit: RunPermit,
  ): AsyncGenerator<ModelEvent, ModelOutcome, undefined> {
    const {open, request} = this;
    const {options, incarnations} = this.context;
    const {name} = replica.endpoint;
    open.step = REQUEST_STEPS.dispatch;
    // Until the outcome is known, the run may have started.
    const runBefore = open.run;
    open.run = RUN_STATES.unknown;
    const attempt = new ModelAttempt({
      client: options.clients.engine(replica.endpoint),
      run: {
        runId: randomUUID(),
        target: {model: replica.model, adapter: replica.adapter},
        operation: request.operation,
        input: request.input,
        maximumTokens: request.maximumTokens,
        parameters: request.parameters,
        priority: request.priority,
        alone: permit.alone,
      },
      signal: open.signal,
      clock: options.clock,
      logger: options.logger,
      mayReuseConnection: this.isRepeatable,
      progressMilliseconds:
        options.engineProgressMilliseconds ?? DEFAULT_PROGRESS_MILLISECONDS,
      knownIncarnation: incarnations.get(name),
    });
    this.current = attempt;
    const outcome = yield* this.relay(attempt);
    if (attempt.delivered > 0) open.step = REQUEST_STEPS.relay;
    if (outcome.kind === 'failed' && outcome.run === RUN_STATES.notRun) {
      open.run = runBefore;
    }
    if (attempt.incarnation !== undefined) {
      incarnations.set(name, attempt.incarnation);
    }
    this.recordOutcome(replica, outcome, permit);
    return outcome;
  }

  private async *relay(
    attempt: ModelAttempt,
  ): AsyncGenerator<ModelEvent, ModelOutcome, undefined> {
    if (this.claim === undefined) return yield* attempt.relay();
    const relay = attempt.relay();
    try {
      for (;;) {
        const next = await relay.next();
        if (next.done) return next.value;
        if (next.value.kind === 'token') this.tokens.push(next.value.text);
        yield next.value;
      }
    } finally {
      await relay.return(undefined as never);
    }
  }

  /** Number of tokens relayed to the caller; at most one attempt relays any. */
  private get delivered(): number {
    return this.current?.delivered ?? 0;
  }

  private recordOutcome(
    replica: AcquiredReplica,
    outcome: ModelOutcome,
    permit: RunPermit,
  ): void {
    const {observer} = this.context.options;
    const {breakers, suspects} = this.context;
    const endpoint = replica.endpoint.name;
    if (outcome.kind === 'ended') {
      this.open.run = RUN_STATES.run;
      this.open.step = REQUEST_STEPS.settle;
      const {promptTokens, completionTokens} = outcome.end;
      this.usedTokens = promptTokens + completionTokens;
      observer.succeeded(endpoint);
      breakers.succeeded(endpoint);
      if (permit.alone) suspects.clear(this.identity.fingerprint);
      return;
    }
    const {error, died, incarnation} = outcome;
    observeFailure(this.context, replica.endpoint, error);
    if (error.kind === 'rejected' && error.code === 'not_loaded') {
      observer.replicaMissing(endpoint, this.request.model);
    }
    if (died) {
      suspects.recordCrash(this.identity, endpoint, incarnation, permit.alone);
    }
  }

  private mayRetry(outcome: FailedOutcome, attempts: number): boolean {
    const {open} = this;
    const {options, budget} = this.context;
    const decision = decideRetry({
      repeatable: this.isRepeatable,
      run: outcome.run,
      delivered: this.delivered > 0,
      attempts,
      maximumAttempts: options.maximumAttempts ?? DEFAULT_MAXIMUM_ATTEMPTS,
      remainingMilliseconds: open.remainingMilliseconds,
      ending: open.signal.aborted,
      takeRetry: () => budget.tryWithdraw(),
    });
    return decision.allowed;
  }

  private get excludedEndpoints(): ReadonlySet<string> {
    const {open} = this.context.breakers;
    return open.size === 0
      ? this.excluded
      : new Set([...this.excluded, ...open]);
  }

  private excludeEndpoint(
    replica: AcquiredReplica,
    outcome: FailedOutcome,
  ): void {
    // An engine whose process ended may restart, so it is not excluded.
    if (!outcome.died) this.excluded.add(replica.endpoint.name);
    this.context.options.logger.event('requestRetried', {
      requestId: this.open.requestId,
      endpoint: replica.endpoint.name,
      reason: outcome.error.kind,
    });
  }

  /** A request with an idempotency key must run at most once. */
  private get isRepeatable(): boolean {
    return this.request.idempotencyKey === undefined;
  }
}

/** Estimates the prompt tokens of a request before an engine counts them. */
export function estimatePromptTokens(request: ModelRequest): number {
  const text =
    typeof request.input === 'string'
      ? request.input
      : JSON.stringify(request.input);
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN);
}
