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
      /** Whether the engine's process ended while it had the run, running or queued. */
      readonly died: boolean;
      /** Incarnation of the engine that had the run, if known. */
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
  /** Initial time-out between two events. */
  progressMilliseconds: number;
  /** Incarnation that the engine last reported, if known. */
  knownIncarnation: string | undefined;
}

type ConnectionResult =
  | {readonly kind: 'ended'; readonly end: EndEvent}
  | {
      readonly kind: 'failed';
      readonly error: EndpointError;
      /** Whether the engine confirmed on this connection that it has the run. */
      readonly alive: boolean;
    };

/**
 * Maximum of the progress time-out, which doubles while an engine confirms that
 * it has the run but sends no token. With a higher maximum, detecting a silent
 * connection could take more than 2 s.
 */
const MAXIMUM_PROGRESS_MILLISECONDS = 1200;

/** Delay before a run that must be alone is sent again to a busy engine. */
const BUSY_RETRY_MILLISECONDS = 10;

/** Consecutive connections without any event after which the attempt fails. */
const MAXIMUM_CONNECTIONS_WITHOUT_EVENTS = 2;

/**
 * One run on one engine. If its connection breaks or times out, the run is
 * resumed over a new connection.
 */
export class ModelAttempt {
  /** Number of tokens relayed. */
  delivered = 0;
  /** Incarnation of the engine that has the run. */
  incarnation: string | undefined;
  private wasAcknowledged = false;
  private finished = false;

  constructor(private readonly options: ModelAttemptOptions) {}

  /** Relays the tokens; cancels the run if the consumer stops early. */
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
      // The time-out is not extended for an engine that sends no event: two
      // time-outs and the incarnation check must take less than 2 s together.
      timeout =
        connection.alive && this.delivered === before
          ? Math.min(timeout * 2, MAXIMUM_PROGRESS_MILLISECONDS)
          : this.options.progressMilliseconds;
    }
  }

  /** The final outcome, unless the run can be resumed on the same engine. */
  private async terminalFailure(
    error: EndpointError,
    resume: boolean,
  ): Promise<ModelOutcome | undefined> {
    switch (error.kind) {
      case 'cancelled':
        return this.failed(error, RUN_STATES.unknown, false);
      case 'unreachable':
        if (!resume) return this.failed(error, RUN_STATES.notRun, false);
        // The engine accepted a connection before and refuses one now, so its
        // process has ended.
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

  /** Whether an engine that does not know the run has restarted since it was sent. */
  private async hasRestarted(): Promise<boolean> {
    if (this.wasAcknowledged || this.options.knownIncarnation === undefined)
      return true;
    return this.hasNewIncarnation();
  }

  /** Whether the engine's incarnation has changed since the run was sent. */
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
          // A resumed stream may start at an earlier token than requested.
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

  /** Records the incarnation that has the run; true if it has changed. */
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
    // Not awaited: an engine that cannot be reached ends the run at its token
    // limit.
    void this.options.client.cancel(this.options.run.runId);
  }
}

/** Strips the fields that only the engine protocol uses. */
function toModelEnd(event: EndEvent): EndEvent {
  const {promptTokens, completionTokens, finishReason} = event;
  return {kind: 'end', promptTokens, completionTokens, finishReason};
}

/** Whether a busy engine rejected a run that must be alone. */
function isBusy(error: EndpointError): boolean {
  return error.kind === 'rejected' && error.code === 'busy';
}

/** `duplicate_run` means that the engine received the run before, so it may have run. */
function rejectedRun(code: string): RunState {
  return code === 'duplicate_run' ? RUN_STATES.unknown : RUN_STATES.notRun;
}
