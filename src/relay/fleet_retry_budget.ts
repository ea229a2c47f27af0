import type {Clock} from '../time/mod.ts';
import type {RetryBudget} from './relay_options.ts';

/** Options of {@link FleetRetryBudget}. */
export interface FleetRetryBudgetOptions {
  clock: Clock;
  /** Repetitions allowed for each request, over all hosts. */
  ratio: number;
  /** Repetitions allowed besides in each window, over all hosts. */
  slack: number;
  windowMilliseconds: number;
  /** Hosts that share the allowance. */
  hosts: () => number;
}

/** Share of the allowance that is used, as hosts count in windows of their own. */
const SAFETY_SHARE = 0.5;

interface ServiceWindow {
  readonly requests: number[];
  readonly repetitions: number[];
}

/**
 * Bounds repeated sendings to a share of the requests in a sliding window, plus
 * this host's part of a fixed number. Needs no messages: each host earns by its
 * own requests.
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
    const {ratio, slack, hosts, clock} = this.options;
    const {requests, repetitions} = this.window(service);
    const allowed =
      SAFETY_SHARE * (ratio * requests.length + slack / Math.max(1, hosts()));
    if (repetitions.length + 1 > allowed) return false;
    repetitions.push(clock.monotonicMilliseconds());
    return true;
  }

  private window(service: string): ServiceWindow {
    let window = this.windows.get(service);
    if (window === undefined) {
      window = {requests: [], repetitions: []};
      this.windows.set(service, window);
    }
    const {clock, windowMilliseconds} = this.options;
    const start = clock.monotonicMilliseconds() - windowMilliseconds;
    for (const times of [window.requests, window.repetitions]) {
      while (times.length > 0 && (times[0] ?? 0) < start) times.shift();
    }
    return window;
  }
}
