import type {Endpoint} from '../contracts/mod.ts';
import type {EngineClient, EngineState} from '../endpoints/mod.ts';
import {type Clock, sleep} from '../time/mod.ts';
import {EngineLedger, type LedgerEvent} from './engine_ledger.ts';

/** Options of {@link EnginePoller}. */
export interface EnginePollerOptions {
  endpoint: () => Endpoint | undefined;
  client: (endpoint: Endpoint) => EngineClient;
  clock: Clock;
  /** Milliseconds between polls while no order is open. */
  idlePollIntervalMilliseconds: number;
  /**
   * Called after each poll. `changed` is false when at most the load progress
   * and the request counts differ from the previous listing.
   */
  onPolled: (
    poller: EnginePoller,
    events: readonly LedgerEvent[],
    changed: boolean,
  ) => void;
}

/** Minimum time between two polls of one engine. */
const MINIMUM_POLL_INTERVAL_MILLISECONDS = 5;

/** Maximum time between two polls while an order is open. */
const MAXIMUM_BUSY_POLL_INTERVAL_MILLISECONDS = 100;

/**
 * Polls one engine for its listing, which is its answer to a state request, and
 * updates the engine's ledger.
 */
export class EnginePoller {
  readonly ledger: EngineLedger;
  /** Whether the engine answered the last poll. */
  reachable = false;
  /** Whether the last poll was refused, so that no process is listening. */
  connectionRefused = false;
  /** Monotonic time of the last answer; undefined before the first. */
  answeredAt: number | undefined;
  /** Whether at least one poll has completed, with or without an answer. */
  hasPolled = false;
  /** Number of consecutive listings whose entries equal the previous ones. */
  unchangedListings = 0;
  private wake: AbortController | undefined;
  private readonly abort = new AbortController();

  constructor(
    readonly name: string,
    private readonly options: EnginePollerOptions,
  ) {
    this.ledger = new EngineLedger(name);
  }

  /** Polls until {@link stop} is called. */
  async run(): Promise<void> {
    const {clock} = this.options;
    const {signal} = this.abort;
    while (!signal.aborted) {
      await this.poll(signal);
      if (signal.aborted) return;
      this.wake = new AbortController();
      await sleep(clock, this.nextPollMilliseconds(), this.wake.signal);
    }
  }

  /** Ends {@link run}. */
  stop(): void {
    this.abort.abort();
    this.wake?.abort();
  }

  /** Ends the wait for the next poll. */
  pollNow(): void {
    this.wake?.abort();
  }

  private async poll(signal: AbortSignal): Promise<void> {
    const {clock, client} = this.options;
    const endpoint = this.options.endpoint();
    if (endpoint === undefined) return;
    const askedAt = clock.monotonicMilliseconds();
    const answer = await client(endpoint).state();
    if (signal.aborted) return;
    const now = clock.monotonicMilliseconds();
    this.hasPolled = true;
    const wasReachable = this.reachable;
    if (answer.ok) {
      this.reachable = true;
      this.connectionRefused = false;
      this.answeredAt = now;
      const before = this.ledger.listing;
      const events = this.ledger.applyListing(answer.value, askedAt, now);
      const agrees = before !== undefined && sameEntries(before, answer.value);
      this.unchangedListings = agrees ? this.unchangedListings + 1 : 0;
      const changed =
        !agrees || !wasReachable || before.leaving !== answer.value.leaving;
      this.options.onPolled(this, events, changed);
      return;
    }
    const {error} = answer;
    this.reachable = false;
    this.unchangedListings = 0;
    this.connectionRefused = error.kind === 'unreachable' && error.refused;
    const events = this.connectionRefused ? this.ledger.processEnded(now) : [];
    this.options.onPolled(this, events, true);
  }

  private nextPollMilliseconds(): number {
    const {clock, idlePollIntervalMilliseconds} = this.options;
    const orders = this.ledger.openOrders;
    if (orders.length === 0 || !this.reachable)
      return idlePollIntervalMilliseconds;
    const now = clock.monotonicMilliseconds();
    const remaining = this.ledger
      .replicas(now)
      .filter(({state}) => state === 'loading')
      .map(({readyInMilliseconds}) => readyInMilliseconds);
    const least = Math.min(
      MAXIMUM_BUSY_POLL_INTERVAL_MILLISECONDS,
      ...remaining,
    );
    const shortest = orders.some(({targetKind}) => targetKind === 'adapter')
      ? MINIMUM_POLL_INTERVAL_MILLISECONDS
      : 4 * MINIMUM_POLL_INTERVAL_MILLISECONDS;
    return Math.max(shortest, least);
  }
}

function sameEntries(first: EngineState, second: EngineState): boolean {
  return (
    first.incarnation === second.incarnation &&
    describe(first) === describe(second)
  );
}

function describe(state: EngineState): string {
  return state.entries
    .map(entry => `${entry.name} ${entry.orderId} ${entry.state}`)
    .sort()
    .join('\n');
}
