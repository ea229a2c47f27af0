import type {Endpoint} from '../contracts/mod.ts';
import type {RequestError, Result} from '../errors/mod.ts';

/** What a request needs from a replica. */
export interface ReplicaRequest {
  /** Name of the requested model or adapter. */
  readonly target: string;
  readonly team: string;
  /** Monotonic time after which the request may no longer wait. */
  readonly deadlineAt: number;
  /** Digest of the prompt's prefix, for cache affinity. */
  readonly prefix: string | undefined;
  /** Endpoints on which earlier attempts of this request failed. */
  readonly excludedEndpoints: ReadonlySet<string>;
  /** Whether no other request may run on the endpoint at the same time. */
  readonly alone: boolean;
  readonly signal: AbortSignal;
}

/** A replica on which a request may run until it calls `release`. */
export interface AcquiredReplica {
  readonly endpoint: Endpoint;
  readonly model: string;
  readonly adapter: string | null;
  /** Whether the request waited for a load. */
  readonly coldStart: boolean;
  /** Ends the use. Calls after the first have no effect. */
  release(): void;
}

/** Finds replicas for requests; a waiting request causes a load. */
export interface ReplicaSource {
  /**
   * Waits for a replica until the deadline. The request has not been sent to an
   * endpoint when this fails, so all errors have the run state `not_run`.
   */
  acquire(
    request: ReplicaRequest,
  ): Promise<Result<AcquiredReplica, RequestError>>;
}

/** Receives the outcomes of exchanges with endpoints from the request path. */
export interface EndpointObserver {
  /** The endpoint answered. */
  succeeded(endpoint: string): void;
  /** An exchange with the endpoint failed. */
  failed(endpoint: string, failure: 'refused' | 'broken' | 'silent'): void;
  /** The endpoint answered that the replica is not loaded. */
  replicaMissing(endpoint: string, target: string): void;
}
