import type {RequestError} from '../errors/mod.ts';
import type {Endpoint} from '../fleet/mod.ts';
import type {RoutedRequest} from './endpoint_source.ts';

/** Whether a request may be sent to an endpoint next. */
export type PromptPartTurn =
  | {readonly kind: 'unrestricted'}
  /** The request tests a suspected part; its endpoint should have few requests. */
  | {readonly kind: 'trial'}
  /** The request was not executed. */
  | {readonly kind: 'refused'; readonly error: RequestError};

/** One run of a request that is about to be sent. */
export interface PromptPartRun {
  /** Records the first event or the whole response. */
  recordBegun(): void;
  /** Records that the endpoint closed the connection before the run had begun. */
  recordBroken(): Promise<void>;
  /** Ends the run, with or without a verdict on its parts. */
  end(): void;
}

/** A request with the endpoint that has been chosen for it. */
export interface RunCandidate {
  readonly request: RoutedRequest;
  readonly endpoint: Endpoint;
  /** Monotonic time from which on the request is refused if it has to wait. */
  readonly holdUntil: number;
}

/** Keeps prompt parts that crash endpoints from crashing further ones. */
export interface PromptPartGuard {
  /**
   * Waits while another run tests a suspected part of the request.
   *
   * @param holdUntil Monotonic time from which on the request is refused instead.
   */
  waitForTurn(
    request: RoutedRequest,
    holdUntil: number,
    signal: AbortSignal,
  ): Promise<PromptPartTurn>;
  /**
   * Begins a run on an endpoint.
   *
   * @returns Undefined if the request must wait for its turn again.
   */
  begin(
    candidate: RunCandidate,
    signal: AbortSignal,
  ): Promise<PromptPartRun | undefined>;
}
