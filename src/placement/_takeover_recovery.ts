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
  /** Maximum wait for an engine that does not answer. */
  silentEngineTimeoutMilliseconds: number;
  /** Targets that the previous controller's last update listed on an engine. */
  lastReportedTargets: (endpoint: string) => readonly string[];
}

/** Attempts to read the intents before recovery goes on without them. */
const READ_ATTEMPTS = 3;
const READ_RETRY_MILLISECONDS = 100;

/** Number of listings that must equal the one before them. */
const REQUIRED_UNCHANGED_LISTINGS = 1;

/**
 * Holds back the loads of a controller that has just taken over a pool, until
 * the outcome of every order of earlier epochs is known or its memory and
 * replica are counted in the engine's ledger.
 */
export class TakeoverRecovery {
  private readonly startedAt: number;
  private readonly settled = new Set<string>();
  private readonly fencesInProgress = new Set<string>();
  private readonly fencedAt = new Map<string, number>();
  private readonly lastReportedTargets = new Map<string, readonly string[]>();
  private intentsRead = false;
  /** Whether earlier epochs may have sent orders that are not recorded. */
  private mayHaveUnrecordedOrders = true;
  private reason: string | undefined = 'intents are being read';

  constructor(private readonly options: TakeoverRecoveryOptions) {
    this.startedAt = options.clock.monotonicMilliseconds();
    // Read now, since this controller's own updates will soon replace those of
    // its predecessor.
    for (const {name, pool} of options.authority().endpoints.values()) {
      if (pool !== options.pool) continue;
      this.lastReportedTargets.set(name, options.lastReportedTargets(name));
    }
  }

  /** Why loads are held back; undefined once recovery is complete. */
  get pendingReason(): string | undefined {
    return this.reason;
  }

  /** Whether all orders of earlier epochs are accounted for. */
  get isDone(): boolean {
    return this.reason === undefined;
  }

  /** Adds the recorded orders of earlier epochs to the engines' ledgers. */
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
      // The previous controller stopped sending before this one started, so
      // all its orders expire within one order validity from now.
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
      this.mayHaveUnrecordedOrders = !read.value.complete && epoch > 1;
      break;
    }
    this.intentsRead = true;
    void intents.open();
  }

  /** Checks which engines' listings now account for all earlier orders. */
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
    // A process that has ended holds no replicas, and recorded orders that may
    // still reach its successor are in the ledger.
    if (poller.connectionRefused && !this.mayHaveUnrecordedOrders) return true;
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
    if (!this.mayHaveUnrecordedOrders) return true;
    const fencedAt = this.fencedAt.get(poller.name);
    if (fencedAt !== undefined) return listedAt >= fencedAt;
    return (
      listedAt - this.startedAt > this.longestOutcomeMilliseconds() &&
      poller.unchangedListings >= REQUIRED_UNCHANGED_LISTINGS
    );
  }

  /**
   * Adds the replicas that the previous controller last reported on a silent
   * engine. The engine may still hold them although its listing cannot be read.
   */
  private countReportedTargets(poller: EnginePoller): void {
    const {authority, clock, epoch} = this.options;
    const {models, adapters} = authority();
    const now = clock.monotonicMilliseconds();
    for (const target of this.lastReportedTargets.get(poller.name) ?? []) {
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
        // Expires at once, so that the first listing decides the outcome.
        boundAt: now,
        acceptedAt: undefined,
        missingListings: 0,
      });
    }
  }

  /** Time after which every listing reflects all unrecorded orders. */
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
    if (this.fencesInProgress.has(name) || this.fencedAt.has(name)) return;
    this.fencesInProgress.add(name);
    void orders.fence(name, role).then(accepted => {
      this.fencesInProgress.delete(name);
      if (!accepted) return;
      const now = clock.monotonicMilliseconds();
      this.fencedAt.set(name, now);
      // The engine no longer accepts orders of earlier epochs.
      for (const order of ledger.openOrders) {
        if (order.epoch < this.options.epoch) order.boundAt = now;
      }
      poller.pollNow();
    });
  }
}
