import type {
  EndpointError,
  EngineClient,
  EngineEvent,
  EngineRunRequest,
} from '../endpoints/mod.ts';
import {RUN_STATES, type RunState} from '../errors/mod.ts';
import type {EventLogger} from '../observability/mod.ts';
import {type Clock, sleep} from '../time/mod.ts';
import type {ModelEvent} from './model_request.ts';

type EndEvent = Extract<EngineEvent, {kind: 'end'}>;

/** How an attempt on one engine ended. */
export type ModelOutcome =
  | {readonly kind: 'ended'; readonly end: EndEvent}
  | {
      readonly kind: 'failed';
      readonly error: EndpointError;
      readonly run: RunState;
      /** Whether the engine's process ended while it had the run, if only in its queue. */
      readonly died: boolean;
      /** Incarnation that had the run, when it is known. */
      readonly incarnation: string | undefined;
    };

/** Options of {@link ModelAttempt}. */
export interface ModelAttemptOptions {
  client: EngineClient;
  run: Omit<EngineRunRequest, 'resume' | 'resumeFrom'>;
  signal: AbortSignal;
  clock: Clock;
  logger: EventLogger;
  /** Whether the run may be sent on a connection that was used before. */
  mayReuseConnection: boolean;
  /** Longest time without an event at first. */
  progressMilliseconds: number;
  /** Incarnation of the engine that answered last, when it is known. */
  knownIncarnation: string | undefined;
}

type ConnectionResult =
  | {readonly kind: 'ended'; readonly end: EndEvent}
  | {
      readonly kind: 'failed';
      readonly error: EndpointError;
      /** Whether the engine said on this connection that it has the run. */
      readonly alive: boolean;
    };

/**
 * The bound doubles while an engine shows that it has the run but sends no
 * token; a longer bound would let a silent connection cost more than 2 s.
 */
const MAXIMUM_PROGRESS_MILLISECONDS = 1200;

/** Pause until a run that must be alone is offered to a busy engine again. */
const BUSY_RETRY_MILLISECONDS = 10;

/** Connections without any event, one after another, until a run is given up. */
const MAXIMUM_CONNECTIONS_WITHOUT_EVENTS = 2;

/**
 * One run on one engine. When its connection breaks or goes silent, it reads
 * on from the same run over a new connection.
 */
export class ModelAttempt {
  /** Tokens that were passed on. */
  delivered = 0;
  /** Incarnation of the engine that has the run. */
  incarnation: string | undefined;
  private wasAcknowledged = false;
  private finished = false;

  constructor(private readonly options: ModelAttemptOptions) {}

  /** Relays the tokens; cancels the run when it is left early. */
  async *relay(): AsyncGenerator<ModelEvent, ModelOutcome, undefined> {
    try {
      const outcome = yield* this.relayOverConnections();
      this.finished =
        outcome.kind === 'ended' ||
        outcome.run === RUN_STATES.notRun ||
        outcome.died;
      return outcome;
    } finally {
      if (!this.finished) this.cancel();
    }
  }

  private async *relayOverConnections(): AsyncGenerator<
    ModelEvent,
    ModelOutcome,
    undefined
  > {
    const {clock, signal} = this.options;
    let timeout = this.options.progressMilliseconds;
    let connectionsWithoutEvents = 0;
    let resume = false;
    for (;;) {
      const before = this.delivered;
      const connection = yield* this.readConnection(resume, timeout);
      if (connection.kind === 'ended') return connection;
      const {error} = connection;
      if (isBusy(error) && !resume) {
        await sleep(clock, BUSY_RETRY_MILLISECONDS, signal);
        if (!signal.aborted) continue;
      }
      const terminal = await this.terminalFailure(error, resume);
      if (terminal !== undefined) return terminal;
      resume = true;
      connectionsWithoutEvents = connection.alive
        ? 0
        : connectionsWithoutEvents + 1;
      if (connectionsWithoutEvents >= MAXIMUM_CONNECTIONS_WITHOUT_EVENTS) {
        const died = await this.hasNewIncarnation();
        return this.failed(error, RUN_STATES.unknown, died);
      }
      if (error.kind === 'silent') this.logSilence(error, timeout);
      // An engine that shows nothing at all gets no longer bound: two of them
      // and the look at its incarnation must stay below 2 s.
      timeout =
        connection.alive && this.delivered === before
          ? Math.min(timeout * 2, MAXIMUM_PROGRESS_MILLISECONDS)
          : this.options.progressMilliseconds;
    }
  }

  /** The outcome, when this failure cannot be mended on the same engine. */
  private async terminalFailure(
    error: EndpointError,
    resume: boolean,
  ): Promise<ModelOutcome | undefined> {
    switch (error.kind) {
      case 'cancelled':
        return this.failed(error, RUN_STATES.unknown, false);
      case 'unreachable':
        if (!resume) return this.failed(error, RUN_STATES.notRun, false);
        // A process that was there a moment ago and is refused now has ended.
        return this.failed(error, RUN_STATES.unknown, error.refused);
      case 'rejected':
        if (resume) {
          const died = await this.hasRestarted();
          return this.failed(error, RUN_STATES.unknown, died);
        }
        return this.failed(error, rejectedRun(error.code), false);
      case 'invalid_answer':
      case 'broken':
      case 'silent':
        return undefined;
    }
  }

  /** Whether an engine that does not know the run had it before. */
  private async hasRestarted(): Promise<boolean> {
    if (this.wasAcknowledged || this.options.knownIncarnation === undefined)
      return true;
    return this.hasNewIncarnation();
  }

  /** Whether the engine's process is another one than the one before the run. */
  private async hasNewIncarnation(): Promise<boolean> {
    const {client, knownIncarnation, progressMilliseconds} = this.options;
    const known = this.incarnation ?? knownIncarnation;
    if (known === undefined) return false;
    const state = await client.state({
      progressMilliseconds: progressMilliseconds / 2,
    });
    return state.ok && state.value.incarnation !== known;
  }

  private failed(
    error: EndpointError,
    run: RunState,
    died: boolean,
  ): ModelOutcome {
    const incarnation = this.incarnation ?? this.options.knownIncarnation;
    return {kind: 'failed', error, run, died, incarnation};
  }

  private async *readConnection(
    resume: boolean,
    progressMilliseconds: number,
  ): AsyncGenerator<ModelEvent, ConnectionResult, undefined> {
    const {client, run, signal, mayReuseConnection} = this.options;
    let alive = false;
    const events = client.run(
      {...run, resume, resumeFrom: this.delivered},
      signal,
      {
        progressMilliseconds,
        freshConnection: resume || !mayReuseConnection,
      },
    );
    for await (const event of events) {
      switch (event.kind) {
        case 'queued':
        case 'started':
          alive = true;
          if (!this.recordIncarnation(event.incarnation)) break;
          return {kind: 'failed', error: this.restartedError(), alive: false};
        case 'token':
          // A resumed stream may start earlier than asked.
          if (event.index < this.delivered) break;
          if (event.index > this.delivered) {
            const error = this.gapError(`Token ${event.index}`);
            return {kind: 'failed', error, alive};
          }
          alive = true;
          this.delivered++;
          yield {kind: 'token', index: event.index, text: event.text};
          break;
        case 'end':
          if (event.completionTokens !== this.delivered) {
            const error = this.gapError(
              `The end after ${event.completionTokens}`,
            );
            return {kind: 'failed', error, alive: false};
          }
          return {kind: 'ended', end: toModelEnd(event)};
        case 'failed':
          return {kind: 'failed', error: event.error, alive};
      }
    }
    return {kind: 'failed', error: this.gapError('The end'), alive};
  }

  /** Remembers who has the run; true when the engine has restarted since. */
  private recordIncarnation(incarnation: string | undefined): boolean {
    this.wasAcknowledged = true;
    if (incarnation === undefined) return false;
    const changed =
      this.incarnation !== undefined && this.incarnation !== incarnation;
    this.incarnation ??= incarnation;
    return changed;
  }

  private gapError(what: string): EndpointError {
    const reason = `${what} arrived after ${this.delivered} tokens`;
    const peer = this.options.run.runId;
    return {kind: 'invalid_answer', step: 'receive', peer, reason};
  }

  private restartedError(): EndpointError {
    const reason = 'The engine has restarted';
    const peer = this.options.run.runId;
    return {kind: 'broken', step: 'receive', peer, reason};
  }

  private logSilence(error: EndpointError, milliseconds: number): void {
    this.options.logger.event('connectionSilent', {
      endpoint: error.peer,
      runId: this.options.run.runId,
      milliseconds,
    });
  }

  private cancel(): void {
    // The caller does not wait; an engine that cannot be reached ends the run
    // at its token limit.
    void this.options.client.cancel(this.options.run.runId);
  }
}

/** The end without what the engine's protocol adds. */
function toModelEnd(event: EndEvent): EndEvent {
  const {promptTokens, completionTokens, finishReason} = event;
  return {kind: 'end', promptTokens, completionTokens, finishReason};
}

/** Whether an engine that runs others refused a run that must be alone. */
function isBusy(error: EndpointError): boolean {
  return error.kind === 'rejected' && error.code === 'busy';
}

/** An engine that knows the run id has been given the run before. */
function rejectedRun(code: string): RunState {
  return code === 'duplicate_run' ? RUN_STATES.unknown : RUN_STATES.notRun;
}
