import type {EngineState} from './engine_state.ts';
import type {PoolLease} from './pool_lease.ts';
import type {PoolManagerOptions} from './pool_manager_options.ts';

/**
 * Monotonic time before which former managers sent their last order to an engine, if
 * its report counts as many orders as they have announced; else undefined.
 */
export function formerOrderTime(
  {record, ordersAccepted}: EngineState,
  {announcedOrders}: Pick<PoolManagerOptions, 'announcedOrders'>,
): number | undefined {
  if (ordersAccepted === 0) return Number.NEGATIVE_INFINITY;
  const announced = announcedOrders?.(record.id, record.startedAt);
  return announced !== undefined && announced.accepted === ordersAccepted
    ? announced.since
    : undefined;
}

/** Whether the lease permits orders to at least one engine. */
export function mayOrderAny(
  lease: PoolLease,
  engines: Iterable<EngineState>,
): boolean {
  return (
    lease.mayIssueOrders() ||
    [...engines].some(({formerOrderAt}) => lease.mayOrder(formerOrderAt))
  );
}
