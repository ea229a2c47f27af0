import {TokenBucket, type TokenBucketTerms} from '../src/limits/mod.ts';
import type {CancelTimer, Clock} from '../src/time/mod.ts';
import type {LimitRequest} from './_limit_workload.ts';

interface Waiting {
  readonly request: LimitRequest;
  readonly deadlineAt: number;
}

/** One bucket with a queue in one place: ideal limiter, or one host's part. */
export class BucketQueue {
  private readonly bucket: TokenBucket;
  private readonly queue: Waiting[] = [];
  private cancelTimer: CancelTimer = () => undefined;

  constructor(
    private readonly clock: Clock,
    terms: TokenBucketTerms,
    private readonly onAdmitted: (request: LimitRequest, at: number) => void,
  ) {
    this.bucket = new TokenBucket(terms, clock.monotonicMilliseconds());
  }

  /** Queues a request until its deadline. */
  submit(request: LimitRequest): void {
    if (request.reservedTokens > this.bucket.terms.burstTokens) return;
    const at = this.clock.monotonicMilliseconds();
    const deadlineAt = at + request.waitMilliseconds;
    this.queue.push({request, deadlineAt});
    this.serve();
  }

  private serve(): void {
    this.cancelTimer();
    const at = this.clock.monotonicMilliseconds();
    this.bucket.advance(at);
    for (;;) {
      const first = this.queue[0];
      if (first === undefined) return;
      if (at >= first.deadlineAt) {
        this.queue.shift();
        continue;
      }
      const {reservedTokens} = first.request;
      if (!this.bucket.canTake(reservedTokens)) {
        const missing = reservedTokens - this.bucket.level;
        const wait = (1000 * missing) / this.bucket.terms.tokensPerSecond;
        const delay = Math.min(wait + 0.01, first.deadlineAt - at);
        this.cancelTimer = this.clock.startTimer(delay, () => this.serve());
        return;
      }
      this.queue.shift();
      this.admit(first.request, at);
    }
  }

  private admit(request: LimitRequest, at: number): void {
    const hold = this.bucket.take(request.reservedTokens);
    this.onAdmitted(request, at);
    this.clock.startTimer(request.runsForMilliseconds, () => {
      if (hold === undefined) return;
      this.bucket.advance(this.clock.monotonicMilliseconds());
      this.bucket.refund(hold, request.reservedTokens - request.usedTokens);
      this.bucket.release(hold);
      this.serve();
    });
  }
}
