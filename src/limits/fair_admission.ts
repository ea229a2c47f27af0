import {
  failure,
  type RequestError,
  type Result,
  RUN_STATES,
  success,
} from '../errors/mod.ts';
import type {CancelTimer, Clock} from '../time/mod.ts';

/** Options of {@link FairAdmission}. */
export interface FairAdmissionOptions {
  clock: Clock;
  /** Maximum number of concurrently running requests. */
  maximumConcurrent: number;
  /** Maximum number of waiting requests. @default 1024 */
  maximumWaiting?: number;
  /** Returns the weight of a team's contract. */
  weightOf: (team: string) => number;
}

/** Request for admission. */
export interface AdmissionRequest {
  readonly team: string;
  /** Expected cost, such as tokens; fairness is measured in this unit. */
  readonly cost: number;
  /** Monotonic time by which the request must have started. */
  readonly startBy: number;
  readonly signal: AbortSignal;
}

/** Permit to run one request. */
export interface AdmissionSlot {
  /** Returns the permit; calls after the first have no effect. */
  release(): void;
}

interface Waiter {
  readonly request: AdmissionRequest;
  readonly resolve: (result: Result<AdmissionSlot, RequestError>) => void;
}

interface TeamQueue {
  readonly team: string;
  readonly waiters: Waiter[];
  /** Deficit counter: cost that the team may still start in this round. */
  deficit: number;
}

// Weight of the latest value in the moving averages of running time and cost.
const SMOOTHING_FACTOR = 0.1;

/**
 * Limits the number of concurrent requests and divides the slots between teams
 * by deficit round robin, weighted by contract. Within a team, the request with
 * the earliest deadline starts first. A request that cannot start in time is
 * refused as soon as this is known.
 *
 * @example
 * ```ts
 * const slot = await admission.enter({team, cost, startBy, signal});
 * if (slot.ok) {
 *   try {
 *     await run();
 *   } finally {
 *     slot.value.release();
 *   }
 * }
 * ```
 */
export class FairAdmission {
  private running = 0;
  private waiting = 0;
  /** Queues of the teams with waiting requests, in round-robin order. */
  private readonly activeQueues: TeamQueue[] = [];
  private averageDuration: number | undefined;
  private averageCost = 1;
  private cancelTimer: CancelTimer = () => undefined;

  constructor(private readonly options: FairAdmissionOptions) {}

  /** Current number of waiting requests. */
  get waitingCount(): number {
    return this.waiting;
  }

  /** Current number of running requests. */
  get runningCount(): number {
    return this.running;
  }

  /** Waits for a slot. A refusal always has the run state `not_run`. */
  enter(
    request: AdmissionRequest,
  ): Promise<Result<AdmissionSlot, RequestError>> {
    const refusal = this.refusalOf(request);
    if (refusal !== undefined) return Promise.resolve(failure(refusal));
    this.averageCost += SMOOTHING_FACTOR * (request.cost - this.averageCost);
    return new Promise(resolve => {
      const onAbort = () => {
        if (this.remove(waiter)) {
          waiter.resolve(
            failure(
              overloaded('The request was cancelled while waiting', undefined),
            ),
          );
        }
      };
      const waiter: Waiter = {
        request,
        resolve: result => {
          request.signal.removeEventListener('abort', onAbort);
          resolve(result);
        },
      };
      request.signal.addEventListener('abort', onAbort, {once: true});
      this.add(waiter);
      this.startNext();
    });
  }

  private refusalOf(request: AdmissionRequest): RequestError | undefined {
    if (request.signal.aborted) {
      return overloaded(
        'The request was cancelled before it was queued',
        undefined,
      );
    }
    const wait = this.expectedWait(request);
    if (this.now() + wait > request.startBy) {
      return overloaded(
        `The request is expected to start in ${Math.ceil(wait)} ms, after its deadline`,
        wait,
      );
    }
    if (this.waiting >= (this.options.maximumWaiting ?? 1024)) {
      return this.makeRoom(request, wait);
    }
    return undefined;
  }

  /**
   * Evicts the waiter with the latest deadline from the team with the most
   * waiting requests relative to its weight. Refuses the new request instead if
   * its own team would exceed that team.
   */
  private makeRoom(
    request: AdmissionRequest,
    wait: number,
  ): RequestError | undefined {
    const load = (team: string, waiting: number) =>
      waiting / this.options.weightOf(team);
    let mostLoaded = this.activeQueues[0]!;
    for (const queue of this.activeQueues) {
      const {team, waiters} = queue;
      if (
        load(team, waiters.length) >
        load(mostLoaded.team, mostLoaded.waiters.length)
      ) {
        mostLoaded = queue;
      }
    }
    const own = this.activeQueues.find(queue => queue.team === request.team);
    const ownLoad = load(request.team, (own?.waiters.length ?? 0) + 1);
    const error = overloaded(
      `${this.waiting} requests are already waiting`,
      wait,
    );
    if (load(mostLoaded.team, mostLoaded.waiters.length) < ownLoad)
      return error;
    const evicted = mostLoaded.waiters[mostLoaded.waiters.length - 1]!;
    this.remove(evicted);
    evicted.resolve(failure(error));
    return undefined;
  }

  /** Expected milliseconds until a new request of the team starts. */
  private expectedWait(request: AdmissionRequest): number {
    const {maximumConcurrent, weightOf} = this.options;
    if (this.running < maximumConcurrent) return 0;
    const queue = this.activeQueues.find(entry => entry.team === request.team);
    const ahead =
      queue?.waiters.filter(waiter => waiter.request.startBy <= request.startBy)
        .length ?? 0;
    // The team gets its weighted share of the slots that become free.
    const weight = weightOf(request.team);
    let weights = weight;
    for (const entry of this.activeQueues) {
      if (entry !== queue) weights += weightOf(entry.team);
    }
    const others = this.waiting - (queue?.waiters.length ?? 0);
    const fairAhead = (ahead + 1) * (weights / weight);
    const startsNeeded = Math.min(fairAhead, ahead + 1 + others);
    // The running time is unknown until the first request has ended.
    const duration = this.averageDuration ?? 0;
    return (startsNeeded * duration) / maximumConcurrent;
  }

  private add(waiter: Waiter): void {
    const {team, startBy} = waiter.request;
    let queue = this.activeQueues.find(entry => entry.team === team);
    if (queue === undefined) {
      queue = {team, waiters: [], deficit: 0};
      this.activeQueues.push(queue);
    }
    let index = queue.waiters.length;
    while (index > 0 && queue.waiters[index - 1]!.request.startBy > startBy) {
      index--;
    }
    queue.waiters.splice(index, 0, waiter);
    this.waiting++;
    this.setTimer();
  }

  private remove(waiter: Waiter): boolean {
    const queue = this.activeQueues.find(
      entry => entry.team === waiter.request.team,
    );
    const index = queue?.waiters.indexOf(waiter) ?? -1;
    if (queue === undefined || index < 0) return false;
    queue.waiters.splice(index, 1);
    this.waiting--;
    // A team without waiting requests loses its deficit, so that it cannot
    // accumulate credit.
    if (queue.waiters.length === 0) {
      this.activeQueues.splice(this.activeQueues.indexOf(queue), 1);
    }
    return true;
  }

  private startNext(): void {
    this.refuseExpired();
    while (this.running < this.options.maximumConcurrent) {
      const waiter = this.takeNext();
      if (waiter === undefined) return;
      this.start(waiter);
    }
  }

  /** Removes and returns the next request by deficit round robin. */
  private takeNext(): Waiter | undefined {
    if (this.waiting === 0) return undefined;
    const smallestWeight = Math.min(
      ...this.activeQueues.map(queue => this.options.weightOf(queue.team)),
    );
    // Giving the team with the smallest weight a quantum of the average cost
    // limits the number of rounds until a request can start.
    const quantum = Math.max(1, this.averageCost) / smallestWeight;
    for (;;) {
      const queue = this.activeQueues[0]!;
      const waiter = queue.waiters[0]!;
      if (waiter.request.cost <= queue.deficit) {
        queue.deficit -= waiter.request.cost;
        this.remove(waiter);
        return waiter;
      }
      queue.deficit += quantum * this.options.weightOf(queue.team);
      this.activeQueues.push(this.activeQueues.shift()!);
    }
  }

  private start(waiter: Waiter): void {
    this.running++;
    const startedAt = this.now();
    let released = false;
    const release = () => {
      if (released) return;
      released = true;
      this.running--;
      const duration = this.now() - startedAt;
      const average = this.averageDuration ?? duration;
      this.averageDuration = average + SMOOTHING_FACTOR * (duration - average);
      this.startNext();
    };
    waiter.resolve(success({release}));
  }

  private refuseExpired(): void {
    const at = this.now();
    for (const queue of [...this.activeQueues]) {
      for (const waiter of [...queue.waiters]) {
        if (waiter.request.startBy > at) break;
        this.remove(waiter);
        const message = 'No slot became available before the request deadline';
        waiter.resolve(failure(overloaded(message, this.averageDuration)));
      }
    }
    this.setTimer();
  }

  private setTimer(): void {
    this.cancelTimer();
    let earliest = Infinity;
    for (const queue of this.activeQueues) {
      earliest = Math.min(earliest, queue.waiters[0]!.request.startBy);
    }
    if (earliest === Infinity) return;
    this.cancelTimer = this.options.clock.startTimer(
      Math.max(0, earliest - this.now()),
      () => this.refuseExpired(),
    );
  }

  private now(): number {
    return this.options.clock.monotonicMilliseconds();
  }
}

function overloaded(
  message: string,
  retryAfterMilliseconds: number | undefined,
): RequestError {
  return {
    code: 'overloaded',
    message,
    step: 'admit',
    run: RUN_STATES.notRun,
    ...(retryAfterMilliseconds === undefined
      ? {}
      : {
          retryAfterMilliseconds: Math.max(
            1,
            Math.ceil(retryAfterMilliseconds),
          ),
        }),
  };
}
