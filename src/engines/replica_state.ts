import type {LeaseRenewal} from './lease_renewal.ts';

/** Targets that one engine can serve. */
export interface EngineTargets {
  readonly endpoint: string;
  /** Start time of the engine process. */
  readonly startedAt: number;
  readonly targets: string[];
  /** Orders that the process has accepted; undefined if the manager does not know. */
  readonly ordersAccepted?: number | undefined;
}

/** Complete state of the replicas of a pool. */
export interface ReplicaState {
  readonly service: string;
  readonly epoch: number;
  /** Latest renewal of the manager's lease. */
  readonly renewal?: LeaseRenewal;
  readonly engines: readonly EngineTargets[];
  /** Time until targets without a replica are expected to be ready. */
  readonly expected: readonly {
    readonly target: string;
    readonly readyInMilliseconds: number;
  }[];
  /** Models that only the weight store has, and when a further one can be ready. */
  readonly remoteOnly: {
    readonly models: readonly string[];
    readonly readyInMilliseconds: number;
  };
}
