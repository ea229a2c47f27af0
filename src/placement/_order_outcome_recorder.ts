import type {Authority} from '../contracts/mod.ts';
import type {EventLogger} from '../observability/mod.ts';
import type {Clock} from '../time/mod.ts';
import type {UsageTracker} from './_usage_tracker.ts';
import type {EngineLedger, LedgerEvent, LedgerOrder} from './engine_ledger.ts';
import type {IntentLog} from './intent_log.ts';
import type {StoreSpeedEstimator} from './store_speed_estimator.ts';

/** Options of {@link OrderOutcomeRecorder}. */
export interface OrderOutcomeRecorderOptions {
  authority: () => Authority;
  clock: Clock;
  logger: EventLogger;
  usage: UsageTracker;
  storeSpeed: StoreSpeedEstimator;
  intents: IntentLog;
}

/**
 * Logs the outcomes of orders, and passes them to the usage tracker, the store
 * speed estimator and the intent log.
 */
export class OrderOutcomeRecorder {
  constructor(private readonly options: OrderOutcomeRecorderOptions) {}

  /** Processes the outcomes that a listing of an engine shows. */
  observe(ledger: EngineLedger, events: readonly LedgerEvent[]): void {
    this.observeProgress(ledger);
    for (const event of events) this.record(ledger.name, event);
  }

  private record(endpoint: string, event: LedgerEvent): void {
    const {intents, logger, storeSpeed, usage} = this.options;
    if (event.kind === 'lost') {
      logger.event('replicasLost', {targets: event.targets, endpoint});
      return;
    }
    const {target, orderId} = event.order;
    const fields = {target, endpoint, orderId};
    intents.finish(orderId);
    switch (event.kind) {
      case 'loaded':
        this.recordLoaded(endpoint, event.order);
        break;
      case 'load_failed':
        usage.recordLoadFailure(target, endpoint);
        storeSpeed.discard(orderId);
        logger.event('loadFailed', {...fields, reason: event.reason});
        break;
      case 'unloaded':
        logger.event('unloadFinished', fields);
        break;
      case 'unload_failed': {
        const reason = 'The replica is still loaded';
        logger.event('orderRefused', {...fields, reason});
        break;
      }
    }
  }

  private recordLoaded(endpoint: string, order: LedgerOrder): void {
    const {clock, logger, storeSpeed, usage} = this.options;
    const {target, orderId, expectedMilliseconds} = order;
    const milliseconds = clock.monotonicMilliseconds() - order.startedAt;
    usage.recordLoaded(target);
    if (order.remote) {
      const full = this.fullSpeedMilliseconds(target);
      storeSpeed.recordFinished(orderId, milliseconds, full);
    }
    logger.event('loadFinished', {
      target,
      endpoint,
      orderId,
      milliseconds,
      expectedMilliseconds,
    });
  }

  private observeProgress(ledger: EngineLedger): void {
    const now = this.options.clock.monotonicMilliseconds();
    for (const order of ledger.openOrders) {
      if (order.kind !== 'load' || !order.remote) continue;
      const entry = ledger.entryOf(order.target);
      if (entry?.orderId !== order.orderId) continue;
      const full = this.fullSpeedMilliseconds(order.target);
      const {storeSpeed} = this.options;
      storeSpeed.recordProgress(order.orderId, entry.progress, full, now);
    }
  }

  private fullSpeedMilliseconds(target: string): number {
    const model = this.options.authority().models.get(target);
    return model?.loadMilliseconds.remote ?? 1000;
  }
}
