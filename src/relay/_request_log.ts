import type {RequestError} from '../errors/mod.ts';
import {RUN_STATES} from '../errors/mod.ts';
import type {Endpoint} from '../fleet/mod.ts';
import type {EventFields} from '../observability/mod.ts';
import type {RequestRelayOptions} from './relay_options.ts';
import type {RequestMetadata} from './request_metadata.ts';

/** What one request's log lines say; filled in along its way. */
export class RequestLog {
  route = '';
  service = '';
  team: string | undefined;
  target = '';
  configurationVersion = 0;
  /** Milliseconds from the arrival to the first choice of an endpoint. */
  admittedAfter = 0;
  /** Milliseconds spent waiting for endpoints. */
  waited = 0;
  attempts = 0;
  private endpoint: Endpoint | undefined;
  private isEnded = false;

  constructor(
    private readonly options: Pick<
      RequestRelayOptions,
      'clock' | 'logger' | 'metrics'
    >,
    private readonly traits: RequestMetadata,
    private readonly arrivedAt: number,
  ) {}

  /** Notes that the request is sent to an endpoint. */
  sent(endpoint: Endpoint): void {
    this.attempts++;
    this.endpoint = endpoint;
  }

  /** Writes a line on an attempt that brought no answer. */
  attemptFailed(reason: string, run: string): void {
    this.options.metrics.increment('limpetdale_attempts_failed_total', {run});
    this.options.logger.event('attemptFailed', {
      ...this.fields(),
      reason,
      run,
    });
  }

  /** Writes a line on an answer that was not passed on. */
  answerDiscarded(reason: string, status: number): void {
    this.options.logger.event('answerDiscarded', {
      ...this.fields(),
      reason,
      status,
    });
  }

  /** Writes a line on a stream that goes on elsewhere. */
  streamResumed(lastEventId: string | undefined): void {
    this.options.logger.event('streamResumed', {...this.fields(), lastEventId});
  }

  /** Writes the last line of a request that got an endpoint's answer. */
  served(status: number, isComplete: boolean): void {
    this.end('served');
    this.options.logger.event('requestServed', {
      ...this.fields(),
      status,
      isComplete,
    });
  }

  /** Writes the last line of a request that got an error of this system. */
  failed(error: RequestError, status: number): void {
    const refused = error.run === RUN_STATES.notRun;
    this.end(refused ? 'refused' : 'failed');
    this.options.logger.event(refused ? 'requestRefused' : 'requestFailed', {
      ...this.fields(),
      error,
      status,
    });
  }

  /** Writes the last line of a request whose caller has left. */
  callerLeft(): void {
    if (this.isEnded) return;
    this.end('caller_left');
    this.options.logger.event('callerLeft', this.fields());
  }

  private end(outcome: string): void {
    this.isEnded = true;
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
      requestId: this.traits.requestId,
      route: this.route,
      service: this.service,
      team: this.team,
      target: this.target,
      configurationVersion: this.configurationVersion,
      attempts: this.attempts,
      endpoint: this.endpoint?.record.id,
      endpointInFlight: this.endpoint?.inFlight,
      waitedMilliseconds: Math.round(this.waited),
      elapsedMilliseconds: Math.round(
        clock.monotonicMilliseconds() - this.arrivedAt,
      ),
    };
  }
}
