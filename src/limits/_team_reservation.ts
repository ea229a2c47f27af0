import {type RequestError, type Result, success} from '../errors/mod.ts';
import type {ReservationPart} from './_token_waiter.ts';
import type {Reservation} from './token_reserver.ts';

/** Obtains further tokens for a request that is already admitted. */
export type ExtendReservation = (
  tokens: number,
  deadlineAt: number,
  signal: AbortSignal,
) => Promise<Result<ReservationPart[], RequestError>>;

/** {@link Reservation} over parts from loans and from the own bucket. */
export class TeamReservation implements Reservation {
  private settled = false;

  constructor(
    private readonly parts: ReservationPart[],
    private readonly acquire: ExtendReservation,
    private readonly onSettled: (reserved: number, used: number) => void,
  ) {}

  get tokens(): number {
    return this.parts.reduce((sum, part) => sum + part.tokens, 0);
  }

  async extend(
    tokens: number,
    deadlineAt: number,
    signal: AbortSignal,
  ): Promise<Result<undefined, RequestError>> {
    const result = await this.acquire(tokens, deadlineAt, signal);
    if (!result.ok) return result;
    if (this.settled) {
      // The request ended while it waited for the extension.
      for (const part of result.value) {
        part.refund(part.tokens);
        part.finish();
      }
    } else {
      this.parts.push(...result.value);
    }
    return success(undefined);
  }

  settle(usedTokens: number): void {
    if (this.settled) return;
    this.settled = true;
    const used = Math.max(0, usedTokens);
    this.onSettled(this.tokens, used);
    let unused = Math.max(0, this.tokens - used);
    // The latest part first: its loan has the most time left.
    for (const part of [...this.parts].reverse()) {
      const refunded = Math.min(unused, part.tokens);
      part.refund(refunded);
      part.finish();
      unused -= refunded;
    }
  }
}
