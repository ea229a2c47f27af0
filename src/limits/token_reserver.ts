import type {RequestError, Result} from '../errors/mod.ts';

/** Request to reserve tokens. */
export interface ReservationRequest {
  readonly team: string;
  /** Sum of the estimated prompt length and the maximum output, in tokens. */
  readonly tokens: number;
  /** Monotonic time until which the request may wait. */
  readonly deadlineAt: number;
  readonly signal: AbortSignal;
}

/** Tokens reserved for one request. */
export interface Reservation {
  readonly tokens: number;
  /**
   * Adds tokens, which must happen before more than `tokens` are delivered.
   * Waits for them until the deadline, with priority over new requests. If this
   * is refused, the reservation is unchanged and the stream must end at the
   * reserved amount.
   */
  extend(
    tokens: number,
    deadlineAt: number,
    signal: AbortSignal,
  ): Promise<Result<undefined, RequestError>>;
  /**
   * Ends the reservation and refunds unused tokens. Calls after the first have
   * no effect.
   */
  settle(usedTokens: number): void;
}

/** Reserves tokens within the rate and burst of each team across all hosts. */
export interface TokenReserver {
  /**
   * Waits for tokens until the deadline. A refusal always has the run state
   * `not_run`.
   */
  reserve(
    request: ReservationRequest,
  ): Promise<Result<Reservation, RequestError>>;
}
