import type {EventLogger} from '../observability/mod.ts';
import type {RowStore, StoreEra} from '../stores/mod.ts';
import type {Clock} from '../time/mod.ts';

/** Options of `PoolLease`. */
export interface PoolLeaseOptions {
  store: RowStore;
  storeEra: StoreEra;
  clock: Clock;
  logger: EventLogger;
  hostId: string;
  incarnation: string;
  /** Name of the leased resource; key of the lease row. */
  scope: string;
  /**
   * Minimum time between the last order of one holder and the first of the
   * next.
   */
  handoverDelayMilliseconds: number;
  /**
   * Whether a new holder may order engines that have had no order for
   * `handoverDelayMilliseconds` before the delay of the whole pool has passed.
   * @default false
   */
  ordersBySettledEngine?: boolean;
  /** Whether another holder has been heard from recently. */
  hasHeardFromHolder: () => boolean;
  /**
   * Called when this host has given up the lease, to notify the other hosts.
   *
   * @param sinceOrder Milliseconds since its last order; negative while one may
   *     still arrive.
   */
  onResigned?: (epoch: number, sinceOrder: number) => void;
  /** Called when the lease has been acquired. */
  onAcquired?: () => void;
  /**
   * Returns a number in [0, 1); adds jitter to the hosts' attempts to acquire.
   */
  random: () => number;
}
