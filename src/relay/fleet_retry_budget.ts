import type {Clock} from '../time/mod.ts';
import type {RetryBudget} from './relay_options.ts';

/** Options of {@link FleetRetryBudget}. */
export interface FleetRetryBudgetOptions {
  clock: Clock;
  /** Retries allowed per request, over all hosts. */
  ratio: number;
  /** Additional retries allowed per window, over all hosts. */
  slack: number;
  windowMilliseconds: number;
  /** Returns this host's share of the additional retries. */
  share: () => number;
}

/** Fraction of the budget that is used, because each host counts in its own window. */
const SAFETY_FACTOR = 0.5;

interface ServiceWindow {
  readonly requests: number[];
  readonly retries: number[];
}

/**
 * Limits retries to a fraction of the requests in a sliding window, plus this
 * host's part of a fixed number for all hosts. Needs no messages between hosts:
 * each host counts only its own requests.
 */
export class FleetRetryBudget implements RetryBudget {
  private readonly windows = new Map<string, ServiceWindow>();

  constructor(private readonly options: FleetRetryBudgetOptions) {}

  recordRequest(service: string): void {
    this.window(service).requests.push(
      this.options.clock.monotonicMilliseconds(),
    );
  }

  tryConsume(service: string): boolean {
    const {ratio, slack, share, clock} = this.options;
    const {requests, retries} = this.window(service);
    const allowed = SAFETY_FACTOR * (ratio * requests.length + slack * share());
    if (retries.length + 1 > allowed) return false;
    retries.push(clock.monotonicMilliseconds());
    return true;
  }

  private window(service: string): ServiceWindow {
    let window = this.windows.get(service);
    if (window === undefined) {
      window = {requests: [], retries: []};
      this.windows.set(service, window);
    }
    const {clock, windowMilliseconds} = this.options;
    const start = clock.monotonicMilliseconds() - windowMilliseconds;
    for (const times of [window.requests, window.retries]) {
      while (times.length > 0 && (times[0] ?? 0) < start) times.shift();
    }
    return window;
  }
}
