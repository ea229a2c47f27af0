import type {Endpoint} from '../contracts/mod.ts';
import type {RequestError, Result} from '../errors/mod.ts';

/** What a request needs from a replica. */
export interface ReplicaRequest {
  /** Model or adapter, as the caller named it. */
  readonly target: string;
  readonly team: string;
  /** Monotonic time until which the request may wait. */
  readonly deadlineAt: number;
  /** Digest of the prompt's prefix, for cache affinity. */
  readonly prefix: string | undefined;
  /** Endpoints that this request has failed on. */
  readonly excludedEndpoints: ReadonlySet<string>;
  /** Whether nothing else may run beside it. */
  readonly alone: boolean;
  readonly signal: AbortSignal;
}

/** A replica that a request may use until it releases it. */
export interface AcquiredReplica {
  readonly endpoint: Endpoint;
  readonly model: string;
  readonly adapter: string | null;
  /** Whether the request waited for a load. */
  readonly coldStart: boolean;
  /** Ends the use. Only the first call counts. */
  release(): void;
}

/** Finds replicas for requests, and causes loads. */
export interface ReplicaSource {
  /** Waits for a replica until the deadline; refusals are always `not_run`. */
  acquire(
    request: ReplicaRequest,
  ): Promise<Result<AcquiredReplica, RequestError>>;
}

/** Receives what the request path learns about endpoints. */
export interface EndpointObserver {
  /** The endpoint answered. */
  succeeded(endpoint: string): void;
  /** An exchange with the endpoint failed. */
  failed(endpoint: string, failure: 'refused' | 'broken' | 'silent'): void;
  /** The endpoint says that it does not hold the replica. */
  replicaMissing(endpoint: string, target: string): void;
}
