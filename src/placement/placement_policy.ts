import type {PoolView} from './pool_view.ts';

/** Expected milliseconds to the first token of a target on one engine. */
export interface PlacementEstimate {
  readonly endpoint: string;
  readonly tier: string;
  /** Wait until the weight store allows another load to start. */
  readonly storeMilliseconds: number;
  readonly loadMilliseconds: number;
  /** Wait for the requests that are queued on the engine. */
  readonly queueMilliseconds: number;
  /** Expected cost of reloading the evicted replicas. */
  readonly evictionMilliseconds: number;
  /** Targets whose replicas must be unloaded first. */
  readonly evicts: readonly string[];
  readonly totalMilliseconds: number;
}

/** One decision of a {@link PlacementPolicy}. */
export type PlacementStep =
  | {
      readonly kind: 'load';
      readonly target: string;
      readonly endpoint: string;
      readonly reason: string;
      readonly expectedMilliseconds: number;
      /** Whether the weights are read from the weight store. */
      readonly remote: boolean;
      /** Teams with waiting requests; each is charged a share of the load. */
      readonly teams: readonly string[];
      readonly candidates: readonly PlacementEstimate[];
    }
  | {
      readonly kind: 'drain';
      readonly target: string;
      readonly endpoint: string;
      readonly reason: string;
      readonly inputs: Readonly<Record<string, unknown>>;
    }
  | {
      /** A load is needed but cannot start yet. */
      readonly kind: 'defer';
      readonly target: string;
      readonly reason: string;
      readonly readyInMilliseconds: number;
      readonly candidates: readonly PlacementEstimate[];
    };

/** Decides which replicas of one pool to load and unload. */
export interface PlacementPolicy {
  /** Plans from a snapshot. Implementations must not retain the view. */
  plan(view: PoolView): readonly PlacementStep[];
}
