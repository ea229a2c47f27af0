import type {RequestError} from '../errors/mod.ts';
import {REQUEST_STEPS, type RequestStep, RUN_STATES} from '../errors/mod.ts';
import type {EndpointResponse} from '../exchange/mod.ts';
import type {Endpoint} from '../fleet/mod.ts';
import type {EventFields} from '../observability/mod.ts';
import type {SlowReaderReason} from './_caller_writer.ts';
import type {DispatchTimes} from './_dispatch_times.ts';
import type {RequestRelayOptions} from './relay_options.ts';
import type {RequestMetadata} from './request_metadata.ts';

/** An attempt that yielded no response for the caller. */
export interface AttemptFailure {
  readonly reason: string;
  /** Whether the endpoint may have executed the request. */
  readonly run: 'not_run' | 'broken';
  /** Whether the endpoint had delivered an event or a whole response. */
  readonly hasBegun: boolean;
  /** Milliseconds that were left until the deadline; negative when it had passed. */
  readonly remainingMilliseconds: number;
}

/** Upper bounds of the buckets of {@link PATIENCE_METRIC}, in seconds. */
const PATIENCE_BUCKETS = [0, 0.1, 0.25, 0.5, 1, 2, 5, 10] as const;

/** Histogram of the time for which callers still wait when a request is sent. */
const PATIENCE_METRIC = 'limpetdale_patience_at_dispatch_seconds';

/** Collects the log fields of one request and writes its events and metrics. */
export class RequestLog {
  route = '';
  service = '';
  team: string | undefined;
  target = '';
  configurationVersion = 0;
  /** Milliseconds from arrival to admission, before an endpoint is selected. */
  admittedAfterMilliseconds = 0;
  /** Total time spent waiting for an endpoint. */
  waitedMilliseconds = 0;
  attempts = 0;
  /** Step that the request has reached. */
  step: RequestStep = REQUEST_STEPS.parse;
  private endpoint: Endpoint | undefined;
  private dispatchTimes: DispatchTimes | undefined;
  private isEnded = false;

  constructor(
    private readonly options: Pick<
      RequestRelayOptions,
      'clock' | 'eventLoopDelay' | 'logger' | 'metrics'
    >,
    private readonly metadata: RequestMetadata,
    private readonly arrivedAt: number,
  ) {}

  /** Records that the request is sent to an endpoint. */
  recordDispatch(endpoint: Endpoint, times: DispatchTimes): void {
    this.attempts++;
    this.step = REQUEST_STEPS.dispatch;
    this.endpoint = endpoint;
    this.dispatchTimes = times;
    this.options.metrics.recordValue(
      PATIENCE_METRIC,
      times.patienceMilliseconds / 1000,
      PATIENCE_BUCKETS,
    );
  }

  /** Logs an attempt that yielded no response for the caller. */
  attemptFailed(failure: AttemptFailure): void {
    const {run} = failure;
    this.options.metrics.increment('limpetdale_attempts_failed_total', {run});
    this.options.logger.event('attemptFailed', {
      ...this.fields(),
      promptParts: this.metadata.promptParts.map(({id}) => id),
      ...failure,
    });
  }

  /** Logs a response that was not forwarded and ended its connection. */
  answerDiscarded(
    reason: string,
    answer: Pick<EndpointResponse, 'status' | 'earlierRequests'>,
  ): void {
    const {status, earlierRequests} = answer;
    this.options.logger.event('answerDiscarded', {
      ...this.fields(),
      reason,
      status,
      earlierRequests,
    });
  }

  /** Logs that a stream is resumed at another endpoint. */
  streamResumed(lastEventId: string | undefined): void {
    this.options.logger.event('streamResumed', {...this.fields(), lastEventId});
  }

  /** Logs the end of a request that got the response of an endpoint. */
  served(status: number, isComplete: boolean): void {
    this.end('served');
    this.options.logger.event('requestServed', {
      ...this.fields(),
      status,
      isComplete,
    });
  }

  /** Logs the end of a request that this host responds to with an error. */
  failed(error: RequestError, status: number): void {
    const refused = error.run === RUN_STATES.notRun;
    this.end(refused ? 'refused' : 'failed');
    this.options.logger.event(refused ? 'requestRefused' : 'requestFailed', {
      ...this.fields(),
      error,
      status,
    });
  }

  /**
   * Logs the end of a request whose caller disconnected.
   *
   * @param leftAt Monotonic time at which this host noticed it.
   */
  callerLeft(leftAt: number): void {
    if (this.isEnded) return;
    const {step} = this;
    this.end('caller_left');
    const {clock, eventLoopDelay, logger} = this.options;
    logger.event('callerLeft', {
      ...this.fields(),
      step,
      atDispatch: this.dispatchTimes,
      endedAfterMilliseconds: Math.round(
        clock.monotonicMilliseconds() - leftAt,
      ),
      eventLoopDelayMilliseconds: Math.round(eventLoopDelay()),
    });
  }

  /** Logs that a response is broken off because its caller does not read it. */
  readerTooSlow(reason: SlowReaderReason, heldBytes: number): void {
    const {metrics, logger} = this.options;
    metrics.increment('limpetdale_slow_readers_total', {reason});
    // A response of which the host holds the rest was counted as served.
    if (!this.isEnded) this.end('reader_too_slow');
    logger.event('readerTooSlow', {...this.fields(), reason, heldBytes});
  }

  /** Logs a request that is still open when its host stops. */
  stillOpen(): void {
    this.options.logger.event('requestOpenAtStop', {
      ...this.fields(),
      step: this.step,
      isEnded: this.isEnded,
    });
  }

  private end(outcome: string): void {
    this.isEnded = true;
    this.step = REQUEST_STEPS.settle;
    const labels = {outcome, service: this.service};
    const {metrics, clock} = this.options;
    metrics.increment('limpetdale_requests_total', labels);
    metrics.recordDuration(
      'limpetdale_request_seconds',
      clock.monotonicMilliseconds() - this.arrivedAt,
      labels,
    );
  }

  private fields(): EventFields {
    const {clock} = this.options;
    return {
      requestId: this.metadata.requestId,
      resumes: this.metadata.resumes,
      route: this.route,
      service: this.service,
      team: this.team,
      target: this.target,
      configurationVersion: this.configurationVersion,
      attempts: this.attempts,
      endpoint: this.endpoint?.record.id,
      endpointInFlight: this.endpoint?.inFlight,
      waitedMilliseconds: Math.round(this.waitedMilliseconds),
      elapsedMilliseconds: Math.round(
        clock.monotonicMilliseconds() - this.arrivedAt,
      ),
    };
  }
}
