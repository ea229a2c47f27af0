import {createHash} from 'node:crypto';
import {
  REQUEST_ERROR_CODES,
  REQUEST_STEPS,
  type RequestError,
  unreachable,
} from '../errors/mod.ts';
import type {Endpoint} from '../fleet/mod.ts';
import {type ResumableStream, UNNAMED_STREAM} from '../streams/mod.ts';
import {notRunError} from './_not_run_error.ts';
import type {RoutedRequest} from './endpoint_source.ts';
import type {RequestRelayOptions} from './relay_options.ts';

/** Time after its deadline for which a caller can still take its stream up. */
const RETURN_MILLISECONDS = 2000;

/** Longest time for which a stream is remembered, whatever its caller states. */
const LONGEST_LIFE_MILLISECONDS = 600_000;

/** Retry-After while the store does not tell where a stream has begun. */
const UNAVAILABLE_RETRY_MILLISECONDS = 500;

/** Length of the key of a stream: 96 bits in base64. */
const KEY_LENGTH = 16;

/** Keeps one stream at the software version that began it. */
export class OriginGuard {
  /** Whether the stream goes on after an earlier try of its caller. */
  private readonly isTakenUp: boolean;
  private readonly isResumable: boolean;
  /** Version from which the caller has events. */
  private version: string | undefined;
  /** Version of the endpoint of the current attempt. */
  private attempted: string | undefined;
  private recorded: Promise<boolean> | undefined;

  constructor(
    private readonly options: Pick<RequestRelayOptions, 'streamOrigins'>,
    private readonly request: RoutedRequest,
  ) {
    const {route, metadata} = request;
    const isStream = route.kind === 'streaming';
    this.isTakenUp = isStream && metadata.lastEventId !== undefined;
    this.isResumable = isStream && route.resumable;
  }

  /** Finds out where a stream that is taken up has begun. @returns Why it is refused. */
  async find(): Promise<RequestError | undefined> {
    if (!this.isTakenUp) return undefined;
    const stream = this.stream(this.request.metadata.resumes);
    const origin = await this.options.streamOrigins.find(stream);
    switch (origin.kind) {
      case 'known':
        this.version = origin.version;
        return undefined;
      case 'unknown':
        return refusal('Nobody knows at which software version it has begun');
      case 'unavailable':
        return refusal(
          'The store does not tell at which software version it has begun',
          UNAVAILABLE_RETRY_MILLISECONDS,
        );
      default:
        return unreachable(origin);
    }
  }

  /** The request, limited to the endpoints that may run it, or why it is refused. */
  limit(request: RoutedRequest): RoutedRequest | RequestError {
    const {version} = this;
    if (version !== undefined) return {...request, softwareVersion: version};
    if (this.recordedName === undefined) return request;
    const limit = this.options.streamOrigins.beginLimit(request.service.name);
    switch (limit.kind) {
      case 'any':
        return request;
      case 'version':
        return {...request, softwareVersion: limit.version};
      case 'none':
        return notRunError(
          REQUEST_ERROR_CODES.tableUnavailable,
          REQUEST_STEPS.place,
          'The software version of the stream cannot be recorded: neither the store nor a peer responds',
          UNAVAILABLE_RETRY_MILLISECONDS,
        );
      default:
        return unreachable(limit);
    }
  }

  /**
   * Whether events of the current attempt may be forwarded, once it is known; undefined
   * if they may at once.
   */
  get mayForward(): Promise<boolean> | undefined {
    return this.recorded;
  }

  /** Records that the stream is sent to an endpoint. */
  begin({record}: Endpoint): void {
    this.attempted = record.softwareVersion;
    const name = this.recordedName;
    if (name === undefined) return;
    this.recorded = this.options.streamOrigins.begin(
      this.stream(name),
      record.softwareVersion,
    );
  }

  /** Records that the caller has got an event of the current attempt. */
  recordDelivered(): void {
    this.version ??= this.attempted;
  }

  /** Attempt under whose id the stream is recorded; undefined if it is not recorded. */
  private get recordedName(): string | undefined {
    if (!this.isResumable) return undefined;
    const {requestId, resumes} = this.request.metadata;
    const name = this.isTakenUp ? resumes : requestId;
    return name === '' ? undefined : name;
  }

  private stream(name: string | undefined): ResumableStream {
    const {arrivedAt, metadata, route, service, team} = this.request;
    const life = Math.min(
      metadata.deadlineMilliseconds ?? route.timeoutMilliseconds,
      LONGEST_LIFE_MILLISECONDS,
    );
    return {
      // Names belong to callers, so that one cannot claim the stream of another team.
      key: name === undefined ? UNNAMED_STREAM : keyOf(team, name),
      service: service.name,
      livesUntil: arrivedAt + life + RETURN_MILLISECONDS,
    };
  }
}

function keyOf(team: string | undefined, name: string): string {
  return createHash('sha256')
    .update(JSON.stringify([team ?? null, name]))
    .digest('base64')
    .slice(0, KEY_LENGTH);
}

function refusal(
  message: string,
  retryAfterMilliseconds?: number,
): RequestError {
  return notRunError(
    REQUEST_ERROR_CODES.originUnknown,
    REQUEST_STEPS.place,
    `The stream cannot go on: ${message}`,
    retryAfterMilliseconds,
  );
}
