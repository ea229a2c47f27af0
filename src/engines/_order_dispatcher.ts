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
  /** Fencing number of the manager's term; undefined outside of one. */
  epoch: () => number | undefined;
  /** Whether an engine still belongs to the pool. */
  isKnown: (engine: EngineState) => boolean;
  /** Called when what hosts may use has changed. */
  onChange: () => void;
}

/** Time in which hosts learn that a replica is withdrawn, before it is unloaded. */
const WITHDRAWAL_NOTICE_MILLISECONDS = 20;

/** Longest wait for the runs of a model that is unloaded. */
const EVICTION_TIMEOUT_MILLISECONDS = 8000;

/** Pause between two looks at an unload that is under way. */
const EVICTION_POLL_MILLISECONDS = 20;

/** Orders of a pool's manager, given only while its lease allows it. */
export class OrderDispatcher {
  constructor(private readonly options: OrderDispatcherOptions) {}

  /** Unloads a model and waits until it is gone; false when it may not be. */
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

  /** Gives one order, if the lease still allows it at this moment. */
  async order(
    engine: EngineState,
    operation: 'load' | 'unload',
    model: string,
    adapter: string | undefined,
  ): Promise<OrderOutcome> {
    const {lease, control, logger, metrics, hostId} = this.options;
    const {epoch} = lease;
    const isCurrentTerm = epoch !== undefined && epoch === this.options.epoch();
    if (!isCurrentTerm || !lease.mayIssueOrders()) {
      return 'unsent';
    }
    const expectedOrders = engine.ordersAccepted;
    if (expectedOrders === undefined) return 'unsent';
    lease.beginOrder();
    const outcome = await control.order(engine.record, {
      operation,
      model,
      adapter,
      expectedOrders,
      holder: hostId,
      fencingToken: epoch,
    });
    lease.endOrder();
    logger.event('orderGiven', {
      endpoint: engine.record.id,
      operation,
      model,
      adapter,
      expectedOrders,
      epoch,
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
