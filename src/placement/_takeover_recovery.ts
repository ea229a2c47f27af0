import type {Authority} from '../contracts/mod.ts';
import type {EventLogger} from '../observability/mod.ts';
import {type Clock, sleep} from '../time/mod.ts';
import type {EnginePoller} from './_engine_poller.ts';
import type {OrderSender} from './_order_sender.ts';
import type {EngineLedger} from './engine_ledger.ts';
import type {IntentLog} from './intent_log.ts';

/** Options of {@link TakeoverRecovery}. */
export interface TakeoverRecoveryOptions {
  pool: string;
  epoch: number;
  authority: () => Authority;
  clock: Clock;
  logger: EventLogger;
  intents: IntentLog;
  orders: OrderSender;
  orderValidityMilliseconds: number;
  /** Longest wait for an engine that does not answer. */
  silentEngineTimeoutMilliseconds: number;
  /** Names of what the latest update of a holder listed on an engine. */
  lastReportedTargets: (endpoint: string) => readonly string[];
}

/** Attempts to read the intents before they count as unknown. */
const READ_ATTEMPTS = 3;
const READ_RETRY_MILLISECONDS = 100;

/** Listings that must agree with the one before them. */
const REQUIRED_UNCHANGED_LISTINGS = 1;

/**
 * What a new holder waits for before it orders loads: the outcome of every
 * order of former holders must be known or counted.
 */
export class TakeoverRecovery {
  private readonly startedAt: number;
  private readonly settled = new Set<string>();
  private readonly fencing = new Set<string>();
  private readonly fenced = new Map<string, number>();
  private readonly knownTargets = new Map<string, readonly string[]>();
  private intentsRead = false;
  /** Whether former holders may have sent orders that are not recorded. */
  private unrecorded = true;
  private reason: string | undefined = 'intents are being read';

  constructor(private readonly options: TakeoverRecoveryOptions) {
    this.startedAt = options.clock.monotonicMilliseconds();
    // This holder's own updates soon replace those of its predecessor.
    for (const {name, pool} of options.authority().endpoints.values()) {
      if (pool !== options.pool) continue;
      this.knownTargets.set(name, options.lastReportedTargets(name));
    }
  }

  /** Why loads wait; undefined once they need not. */
  get pendingReason(): string | undefined {
    return this.reason;
  }

  /** Whether nothing of former holders is open. */
  get isDone(): boolean {
    return this.reason === undefined;
  }

  /** Adopts the orders that former holders recorded. */
  async readIntents(
    ledgerOf: (endpoint: string) => EngineLedger | undefined,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock, intents, logger, orderValidityMilliseconds, epoch} =
      this.options;
    for (let attempt = 0; attempt < READ_ATTEMPTS; attempt++) {
      const read = await intents.read();
      if (signal.aborted) return;
      if (!read.ok) {
        await sleep(clock, READ_RETRY_MILLISECONDS, signal);
        continue;
      }
      // The former holder stopped to act before this one started, so that
      // its orders ended at the latest one validity time from now.
      const now = clock.monotonicMilliseconds();
      for (const intent of read.value.intents) {
        const ledger = ledgerOf(intent.endpoint);
        if (ledger === undefined) {
          // The endpoint was removed from the pool.
          intents.finish(intent.orderId);
          continue;
        }
        logger.event('loadAdopted', {...intent});
        ledger.add({
          ...intent,
          startedAt: now,
          boundAt: now + orderValidityMilliseconds,
          acceptedAt: undefined,
          missingListings: 0,
        });
      }
      this.unrecorded = !read.value.complete && epoch > 1;
      break;
    }
    this.intentsRead = true;
    void intents.open();
  }

  /** Checks what the engines' listings show by now. */
  checkListings(pollers: readonly EnginePoller[]): void {
    if (this.reason === undefined || !this.intentsRead) return;
    for (const poller of pollers) {
      if (this.settled.has(poller.name)) continue;
      if (this.isSettled(poller)) this.settled.add(poller.name);
    }
    const pending = pollers.filter(({name}) => !this.settled.has(name));
    if (pending.length > 0) {
      const names = pending.map(({name}) => name).join(', ');
      this.reason = `outcomes of earlier orders are not known on ${names}`;
      return;
    }
    this.reason = undefined;
    void this.options.intents.deleteEarlierEpochs();
  }

  private isSettled(poller: EnginePoller): boolean {
    const {authority, clock, silentEngineTimeoutMilliseconds} = this.options;
    const endpoint = authority().endpoints.get(poller.name);
    if (endpoint === undefined) return true;
    // A dead process holds nothing; what may reach its successor is counted.
    if (poller.connectionRefused && !this.unrecorded) return true;
    const now = clock.monotonicMilliseconds();
    const elapsed = now - this.startedAt;
    if (!poller.reachable) {
      if (poller.connectionRefused)
        return elapsed > this.longestOutcomeMilliseconds();
      if (elapsed <= silentEngineTimeoutMilliseconds) return false;
      this.countReportedTargets(poller);
      return true;
    }
    const {listing, listedAt} = poller.ledger;
    if (listing === undefined || listedAt < this.startedAt) return false;
    if (endpoint.checksFencing) this.fence(poller, listing.role);
    if (!this.unrecorded) return true;
    const fencedAt = this.fenced.get(poller.name);
    if (fencedAt !== undefined) return listedAt >= fencedAt;
    return (
      listedAt - this.startedAt > this.longestOutcomeMilliseconds() &&
      poller.unchangedListings >= REQUIRED_UNCHANGED_LISTINGS
    );
  }

  /**
   * Counts what a silent engine held when its former holder last reported it.
   * The engine still holds it, although its listing cannot be read.
   */
  private countReportedTargets(poller: EnginePoller): void {
    const {authority, clock, epoch} = this.options;
    const {models, adapters} = authority();
    const now = clock.monotonicMilliseconds();
    for (const target of this.knownTargets.get(poller.name) ?? []) {
      const adapter = adapters.get(target);
      const known = models.get(target) ?? adapter;
      if (known === undefined) continue;
      poller.ledger.add({
        orderId: `known/${epoch}/${poller.name}/${target}`,
        epoch: epoch - 1,
        kind: 'load',
        target,
        targetKind: adapter === undefined ? 'model' : 'adapter',
        baseModel: adapter?.baseModel ?? null,
        version: known.version,
        memoryMegabytes: known.memoryMegabytes,
        expectedMilliseconds: 0,
        remote: false,
        startedAt: now,
        // The first listing settles it.
        boundAt: now,
        acceptedAt: undefined,
        missingListings: 0,
      });
    }
  }

  /** Time after which an unrecorded order shows in every listing. */
  private longestOutcomeMilliseconds(): number {
    const {authority, orderValidityMilliseconds, pool} = this.options;
    let longest = orderValidityMilliseconds;
    for (const model of authority().models.values()) {
      if (model.pool !== pool) continue;
      longest = Math.max(longest, model.loadMilliseconds.remote);
    }
    return longest;
  }

  private fence(poller: EnginePoller, role: string): void {
    const {clock, orders} = this.options;
    const {name, ledger} = poller;
    if (this.fencing.has(name) || this.fenced.has(name)) return;
    this.fencing.add(name);
    void orders.fence(name, role).then(accepted => {
      this.fencing.delete(name);
      if (!accepted) return;
      const now = clock.monotonicMilliseconds();
      this.fenced.set(name, now);
      // Orders of former holders can no longer be obeyed.
      for (const order of ledger.openOrders) {
        if (order.epoch < this.options.epoch) order.boundAt = now;
      }
      poller.pollNow();
    });
  }
}
