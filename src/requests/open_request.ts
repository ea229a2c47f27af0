import {
  REQUEST_ERROR_CODES,
  REQUEST_STEPS,
  type RequestError,
  type RequestErrorCode,
  type RequestStep,
  RUN_STATES,
  type RunState,
} from '../errors/mod.ts';
import type {CancelTimer, Clock} from '../time/mod.ts';

/** Options of {@link OpenRequest}. */
export interface OpenRequestOptions {
  requestId: string;
  clock: Clock;
  /** Aborted when the caller disconnects. */
  callerSignal: AbortSignal;
  timeoutMilliseconds: number;
}

interface AbortReason {
  readonly code: RequestErrorCode;
  readonly message: string;
  readonly retryAfterMilliseconds: number | undefined;
}

/** A request in progress. */
export class OpenRequest {
  /** Current step of the request. */
  step: RequestStep = REQUEST_STEPS.authenticate;
  /** Whether any endpoint may have run the request so far. */
  run: RunState = RUN_STATES.notRun;
  /** API key of the request; undefined on open routes. */
  keyId: string | undefined;
  readonly requestId: string;
  readonly openedAt: number;
  readonly deadlineAt: number;
  private readonly controller = new AbortController();
  private abortReason: AbortReason | undefined;
  private readonly cancelDeadline: CancelTimer;

  constructor(private readonly options: OpenRequestOptions) {
    const {clock, timeoutMilliseconds} = options;
    this.requestId = options.requestId;
    this.openedAt = clock.monotonicMilliseconds();
    this.deadlineAt = this.openedAt + timeoutMilliseconds;
    this.cancelDeadline = clock.startTimer(timeoutMilliseconds, () => {
      const message = `The request took longer than ${timeoutMilliseconds} ms`;
      this.end(REQUEST_ERROR_CODES.deadlineExceeded, message);
    });
    this.attachCaller();
  }

  /** Lets the request continue after its caller disconnects. */
  detachCaller(): void {
    this.options.callerSignal.removeEventListener(
      'abort',
      this.onCallerDisconnect,
    );
  }

  /** Aborts the request when its caller disconnects. */
  attachCaller(): void {
    const {callerSignal} = this.options;
    callerSignal.addEventListener('abort', this.onCallerDisconnect);
    if (callerSignal.aborted) this.onCallerDisconnect();
  }

  /** Aborted when the request must end. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  get remainingMilliseconds(): number {
    return this.deadlineAt - this.options.clock.monotonicMilliseconds();
  }

  /** Whether the caller has disconnected. */
  get isCancelled(): boolean {
    return this.abortReason?.code === REQUEST_ERROR_CODES.cancelled;
  }

  /** Aborts the request with this error; only the first call takes effect. */
  end(
    code: RequestErrorCode,
    message: string,
    retryAfterMilliseconds?: number,
  ): void {
    if (this.abortReason !== undefined) return;
    this.abortReason = {code, message, retryAfterMilliseconds};
    this.controller.abort();
  }

  /** The error with which the request was aborted, if it was. */
  abortError(): RequestError | undefined {
    if (this.abortReason === undefined) return undefined;
    const {code, message, retryAfterMilliseconds} = this.abortReason;
    return {
      ...this.error(code, message),
      ...(retryAfterMilliseconds === undefined ? {} : {retryAfterMilliseconds}),
    };
  }

  /** Creates an error at the current step. */
  error(code: RequestErrorCode, message: string, peer?: string): RequestError {
    const {step, run} = this;
    return {code, message, step, run, ...(peer === undefined ? {} : {peer})};
  }

  /** Records whether a failed attempt may have run the request. */
  addRun(run: RunState): void {
    if (run !== RUN_STATES.notRun) this.run = run;
  }

  /** Completes another module's error with the run state of earlier attempts. */
  toRefusalError(error: RequestError): RequestError {
    return this.abortError() ?? {...error, run: this.run};
  }

  /** Stops the deadline timer and the caller listener. */
  close(): void {
    this.cancelDeadline();
    this.detachCaller();
  }

  private readonly onCallerDisconnect = (): void => {
    this.end(REQUEST_ERROR_CODES.cancelled, 'The caller has disconnected');
  };
}
