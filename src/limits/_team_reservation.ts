import {type RequestError, type Result, success} from '../errors/mod.ts';
import type {ReservationPart} from './_token_waiter.ts';
import type {Reservation} from './token_reserver.ts';

/** Acquires additional tokens for a request that has already been admitted. */
export type ExtendReservation = (
  tokens: number,
  deadlineAt: number,
  signal: AbortSignal,
) => Promise<Result<ReservationPart[], RequestError>>;

/** {@link Reservation} made of parts from loans and from this host's bucket. */
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
    // Refunds the latest part first, because its loan expires last.
    for (const part of [...this.parts].reverse()) {
      const refunded = Math.min(unused, part.tokens);
      part.refund(refunded);
      part.finish();
      unused -= refunded;
    }
  }
}
