import type {EventLogger} from '../observability/mod.ts';
import type {Clock} from '../time/mod.ts';

/** Options of {@link CircuitBreakers}. */
export interface CircuitBreakersOptions {
  clock: Clock;
  logger: EventLogger;
  /** Consecutive failures that open a breaker. @default 3 */
  failureThreshold?: number;
  /** Milliseconds between probes of an endpoint whose breaker is open. @default 200 */
  probeMilliseconds?: number;
}

interface Breaker {
  failuresInRow: number;
  isOpen: boolean;
}

/** Checks whether an endpoint responds. */
export type Probe = () => Promise<boolean>;

/**
 * One circuit breaker per endpoint. After several consecutive failures, an
 * endpoint receives probes instead of traffic until a probe succeeds.
 */
export class CircuitBreakers {
  private readonly breakers = new Map<string, Breaker>();
  private readonly openNames = new Set<string>();
  private isClosed = false;

  constructor(private readonly options: CircuitBreakersOptions) {}

  /** Names of the endpoints whose breaker is open. */
  get open(): ReadonlySet<string> {
    return this.openNames;
  }

  /** Records a successful exchange with an endpoint. */
  succeeded(endpoint: string): void {
    if (!this.openNames.has(endpoint)) this.breakers.delete(endpoint);
  }

  /** Records a failure of an endpoint; `probe` checks it once its breaker is open. */
  failed(endpoint: string, probe: Probe): void {
    let breaker = this.breakers.get(endpoint);
    if (breaker === undefined) {
      breaker = {failuresInRow: 0, isOpen: false};
      this.breakers.set(endpoint, breaker);
    }
    breaker.failuresInRow++;
    if (breaker.isOpen) return;
    if (breaker.failuresInRow < (this.options.failureThreshold ?? 3)) return;
    breaker.isOpen = true;
    this.openNames.add(endpoint);
    this.options.logger.event('circuitOpened', {endpoint});
    this.scheduleProbe(endpoint, probe);
  }

  /** Stops all probes. */
  close(): void {
    this.isClosed = true;
  }

  private scheduleProbe(endpoint: string, probe: Probe): void {
    const delay = this.options.probeMilliseconds ?? 200;
    this.options.clock.startTimer(delay, () => {
      if (!this.isClosed) void this.probe(endpoint, probe);
    });
  }

  private async probe(endpoint: string, probe: Probe): Promise<void> {
    if (await probe()) {
      this.breakers.delete(endpoint);
      this.openNames.delete(endpoint);
      this.options.logger.event('circuitClosed', {endpoint});
      return;
    }
    this.scheduleProbe(endpoint, probe);
  }
}
