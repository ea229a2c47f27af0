import type {Endpoint} from '../contracts/mod.ts';
import type {EngineClient, EngineState} from '../endpoints/mod.ts';
import {type Clock, sleep} from '../time/mod.ts';
import {EngineLedger, type LedgerEvent} from './engine_ledger.ts';

/** Options of {@link EnginePoller}. */
export interface EnginePollerOptions {
  endpoint: () => Endpoint | undefined;
  client: (endpoint: Endpoint) => EngineClient;
  clock: Clock;
  /** Milliseconds between listings when nothing is expected. */
  idlePollIntervalMilliseconds: number;
  /** Called after each listing, and whether more than its progress changed. */
  onPolled: (
    poller: EnginePoller,
    events: readonly LedgerEvent[],
    changed: boolean,
  ) => void;
}

/** Shortest time between two listings of one engine. */
const MINIMUM_POLL_INTERVAL_MILLISECONDS = 5;

/** Longest time between two listings while an order is open. */
const MAXIMUM_BUSY_POLL_INTERVAL_MILLISECONDS = 100;

/** Reads one engine's listing again and again and keeps its ledger. */
export class EnginePoller {
  readonly ledger: EngineLedger;
  /** Whether the last exchange reached the engine. */
  reachable = false;
  /** Whether nothing listens at the engine's address. */
  connectionRefused = false;
  /** Monotonic time of the last answer; undefined before the first. */
  answeredAt: number | undefined;
  /** Whether an exchange was tried at all. */
  hasPolled = false;
  /** Consecutive listings, asked after a time bound, that agree. */
  unchangedListings = 0;
  private wake: AbortController | undefined;
  private readonly abort = new AbortController();

  constructor(
    readonly name: string,
    private readonly options: EnginePollerOptions,
  ) {
    this.ledger = new EngineLedger(name);
  }

  /** Reads listings until {@link stop}. */
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

  /** Reads the next listing at once. */
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
    const events = this.connectionRefused ? this.ledger.processGone(now) : [];
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
