import type {RequestError, Result} from '../errors/mod.ts';

/** Part of a reservation that comes from one loan or bucket. */
export interface ReservationPart {
  readonly tokens: number;
  /** Returns unused tokens of this part to their source. */
  refund(tokens: number): void;
  /** Ends the part; no further tokens are refunded. */
  finish(): void;
}

/** Request, or extension of a reservation, that waits for tokens. */
export interface TokenWaiter {
  readonly tokens: number;
  /**
   * Monotonic arrival time; extensions use an earlier time than new requests.
   */
  readonly arrivedAt: number;
  readonly deadlineAt: number;
  readonly resolve: (result: Result<ReservationPart[], RequestError>) => void;
}

/** Queue of the waiting requests of one team, oldest first. */
export class TokenWaiterQueue {
  private readonly waiters: TokenWaiter[] = [];

  get first(): TokenWaiter | undefined {
    return this.waiters[0];
  }

  get size(): number {
    return this.waiters.length;
  }

  /** Sum of the tokens of all waiters. */
  get totalTokens(): number {
    return this.waiters.reduce((sum, waiter) => sum + waiter.tokens, 0);
  }

  /** Earliest deadline; Infinity without a waiter. */
  get earliestDeadline(): number {
    return this.waiters.reduce(
      (earliest, waiter) => Math.min(earliest, waiter.deadlineAt),
      Infinity,
    );
  }

  /** Tokens of the waiters that arrived before `arrivedAt`. */
  tokensBefore(arrivedAt: number): number {
    let sum = 0;
    for (const waiter of this.waiters) {
      if (waiter.arrivedAt >= arrivedAt) break;
      sum += waiter.tokens;
    }
    return sum;
  }

  /** Inserts a waiter in the order of arrival. */
  add(waiter: TokenWaiter): void {
    let index = this.waiters.length;
    while (index > 0 && this.waiters[index - 1]!.arrivedAt > waiter.arrivedAt) {
      index--;
    }
    this.waiters.splice(index, 0, waiter);
  }

  /** Removes a waiter; returns false if it was not in the queue. */
  remove(waiter: TokenWaiter): boolean {
    const index = this.waiters.indexOf(waiter);
    if (index < 0) return false;
    this.waiters.splice(index, 1);
    return true;
  }

  /**
   * Removes and returns the waiters for which `test` returns true. Its
   * argument `tokensAhead` is the sum of the tokens of the earlier waiters that
   * stay in the queue.
   */
  removeWhere(
    test: (waiter: TokenWaiter, tokensAhead: number) => boolean,
  ): TokenWaiter[] {
    const removed: TokenWaiter[] = [];
    let tokensAhead = 0;
    for (const waiter of [...this.waiters]) {
      if (test(waiter, tokensAhead)) {
        this.remove(waiter);
        removed.push(waiter);
      } else {
        tokensAhead += waiter.tokens;
      }
    }
    return removed;
  }
}
