import type {LeaseTerm} from './lease_term.ts';

/** A lease that this host holds. Times are monotonic. */
export interface HeldLease {
  readonly term: LeaseTerm;
  /** Version of the row that this host has written last. */
  readonly version: number;
  readonly ordersAllowedFrom: number;
  /** Latest time at which a previous holder can have sent an order. */
  readonly previousOrderAt: number;
}

/** Time after which an order that was sent has arrived or been abandoned. */
export const ORDER_TIMEOUT_MILLISECONDS = 1000;

/**
 * Time by which the report of an engine can lag behind its state. The platform names
 * some hundred milliseconds.
 */
const REPORT_LAG_MILLISECONDS = 500;

/** Time from which the reports of engines contain all orders of former holders. */
export function reportsCompleteFrom(held: HeldLease): number {
  return Math.min(
    held.ordersAllowedFrom,
    held.previousOrderAt + ORDER_TIMEOUT_MILLISECONDS + REPORT_LAG_MILLISECONDS,
  );
}

/**
 * Time from which an engine may be ordered whose last order of a former holder was sent
 * before `formerOrderAt`.
 */
export function engineOrdersFrom(
  held: HeldLease,
  formerOrderAt: number,
  handoverDelayMilliseconds: number,
): number {
  const settledFrom = Math.max(
    reportsCompleteFrom(held),
    formerOrderAt + handoverDelayMilliseconds,
  );
  return Math.min(held.ordersAllowedFrom, settledFrom);
}
