import type {EventLogger, Metrics} from '../observability/mod.ts';
import {type Clock, sleep} from '../time/mod.ts';
import type {EngineControl, OrderOutcome} from './engine_control.ts';
import type {EngineState} from './engine_state.ts';
import type {PoolLease} from './pool_lease.ts';

/** Options of {@link OrderDispatcher}. */
export interface OrderDispatcherOptions {
  hostId: string;
  lease: PoolLease;
  control: EngineControl;
  clock: Clock;
  logger: EventLogger;
  metrics: Metrics;
  /** Fencing token of the manager's current term; undefined outside a term. */
  epoch: () => number | undefined;
  /** Whether an engine still belongs to the pool and may be contacted. */
  isKnown: (engine: EngineState) => boolean;
  /** Called when the targets that hosts may use have changed. */
  onChange: () => void;
}

/**
 * Delay between the announcement that a replica is withdrawn and its unload, so
 * that hosts stop sending requests to it.
 */
const WITHDRAWAL_NOTICE_MILLISECONDS = 20;

/** Maximum wait for the running requests of a model that is being unloaded. */
const EVICTION_TIMEOUT_MILLISECONDS = 8000;

/** Interval at which an unload in progress is checked. */
const EVICTION_POLL_MILLISECONDS = 20;

/** Sends the orders of a pool's manager while its lease permits. */
export class OrderDispatcher {
  constructor(private readonly options: OrderDispatcherOptions) {}

  /**
   * Unloads a model and waits for completion; false if it may still be loaded.
   */
  async evict(engine: EngineState, model: string): Promise<boolean> {
    const {clock, isKnown, onChange} = this.options;
    engine.withdrawn.add(model);
    onChange();
    await sleep(clock, WITHDRAWAL_NOTICE_MILLISECONDS);
    const startedAt = clock.monotonicMilliseconds();
    const outcome = await this.order(engine, 'unload', model, undefined);
    if (outcome === 'done') {
      engine.models.delete(model);
      engine.withdrawn.delete(model);
      return true;
    }
    if (outcome !== 'accepted' && outcome !== 'unknown') {
      engine.withdrawn.delete(model);
      return false;
    }
    engine.pending = {
      operation: 'unload',
      model,
      tier: undefined,
      startedAt,
      expectedAt: startedAt,
    };
    if (outcome === 'unknown') return false;
    while (engine.pending !== undefined) {
      const waited = clock.monotonicMilliseconds() - startedAt;
      if (waited > EVICTION_TIMEOUT_MILLISECONDS) return false;
      if (!isKnown(engine)) return false;
      await sleep(clock, EVICTION_POLL_MILLISECONDS);
    }
    return !engine.models.has(model);
  }

  /** Sends one order if the lease permits it at this moment. */
  async order(
    engine: EngineState,
    operation: 'load' | 'unload',
    model: string,
    adapter: string | undefined,
  ): Promise<OrderOutcome> {
    const {lease, control, logger, metrics, hostId, isKnown} = this.options;
    const {term} = lease;
    if (term === undefined || term.epoch !== this.options.epoch())
      return 'unsent';
    if (!lease.mayOrder(engine.formerOrderAt)) return 'unsent';
    // It may have waited for evictions or notices, while the engine was evacuated.
    if (!isKnown(engine)) return 'unsent';
    const expectedOrders = engine.ordersAccepted;
    if (expectedOrders === undefined) return 'unsent';
    lease.beginOrder();
    const outcome = await control.order(engine.record, {
      operation,
      model,
      adapter,
      expectedOrders,
      holder: hostId,
      fencingToken: term.epoch,
    });
    lease.endOrder();
    logger.event('orderGiven', {
      endpoint: engine.record.id,
      operation,
      model,
      adapter,
      expectedOrders,
      ...term,
      outcome,
    });
    metrics.increment('limpetdale_orders_total', {operation, outcome});
    if (
      outcome === 'accepted' ||
      (outcome === 'done' && operation === 'unload')
    ) {
      engine.ordersAccepted = expectedOrders + 1;
    } else {
      engine.needsReport = true;
      if (outcome === 'unsent') engine.isUnreachable = true;
    }
    return outcome;
  }
}
