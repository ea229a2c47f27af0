import type {RequestError, Result} from '../errors/mod.ts';
import type {CancelTimer} from '../time/mod.ts';
import type {AcquiredReplica, ReplicaRequest} from './replica_source.ts';

/** A request that waits for a replica. */
export interface WaitingRequest {
  readonly request: ReplicaRequest;
  readonly finish: (result: Result<AcquiredReplica, RequestError>) => void;
  cancelTimer: CancelTimer;
}

/** Requests of this host that wait for one target. */
export class WaitingQueue {
  private readonly requests = new Set<WaitingRequest>();

  get size(): number {
    return this.requests.size;
  }

  /** Requests with the earliest deadline first. */
  byDeadline(): WaitingRequest[] {
    return [...this.requests].sort(
      (first, second) => first.request.deadlineAt - second.request.deadlineAt,
    );
  }

  add(waiting: WaitingRequest): void {
    this.requests.add(waiting);
  }

  /** Cancels a request's timer and removes it; false if it was not queued. */
  remove(waiting: WaitingRequest): boolean {
    waiting.cancelTimer();
    return this.requests.delete(waiting);
  }
}
