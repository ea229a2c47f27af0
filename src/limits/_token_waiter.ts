import type {RequestError, Result} from '../errors/mod.ts';

/** Part of a reservation with the way back for its unused tokens. */
export interface ReservationPart {
  readonly tokens: number;
  /** Gives unused tokens of this part back. */
  refund(tokens: number): void;
  /** Says that nothing more of this part comes back. */
  finish(): void;
}

/** One request, or an extension of one, that waits for tokens. */
export interface TokenWaiter {
  readonly tokens: number;
  /** Order of service; extensions count as older than new requests. */
  readonly arrivedAt: number;
  readonly deadlineAt: number;
  readonly resolve: (result: Result<ReservationPart[], RequestError>) => void;
}

/** Waiting requests of one team, oldest first. */
export class TokenWaiterQueue {
  private readonly waiters: TokenWaiter[] = [];

  get first(): TokenWaiter | undefined {
    return this.waiters[0];
  }

  get size(): number {
    return this.waiters.length;
  }

  /** Sum of the tokens that all waiters want. */
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

  /** Adds a waiter behind all that arrived before it. */
  add(waiter: TokenWaiter): void {
    let index = this.waiters.length;
    while (index > 0 && this.waiters[index - 1]!.arrivedAt > waiter.arrivedAt) {
      index--;
    }
    this.waiters.splice(index, 0, waiter);
  }

  /** Removes a waiter; false when it was not waiting. */
  remove(waiter: TokenWaiter): boolean {
    const index = this.waiters.indexOf(waiter);
    if (index < 0) return false;
    this.waiters.splice(index, 1);
    return true;
  }

  /** Removes and returns the waiters for which `test` holds. */
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
