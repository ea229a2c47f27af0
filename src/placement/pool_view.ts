import type {CheckpointTier, Pool} from '../contracts/mod.ts';
import type {IdleGapHistogram} from './idle_gap_histogram.ts';

/** State of a replica in an engine's ledger. */
export type LedgerState =
  | 'loading'
  | 'loaded'
  /** Still loaded, but hosts must send no new requests to it. */
  | 'draining'
  | 'unloading'
  /** A load was ordered, and it is not known whether the engine accepted it. */
  | 'unresolved';

/** A replica that occupies engine memory, or may do so. */
export interface ReplicaView {
  readonly target: string;
  readonly kind: 'model' | 'adapter';
  /** Null for a model. */
  readonly baseModel: string | null;
  readonly version: string;
  readonly endpoint: string;
  readonly state: LedgerState;
  readonly memoryMegabytes: number;
  readonly orderId: string;
  /** Monotonic time since which the replica is known to be in this state. */
  readonly since: number;
  /** Expected milliseconds until a load ends. */
  readonly readyInMilliseconds: number;
}

/** Snapshot of one engine for the policy. */
export interface EngineView {
  readonly name: string;
  readonly capacityMegabytes: number;
  /** Total memory of the engine's replicas, whatever their state. */
  readonly usedMegabytes: number;
  /** Whether loads may be sent to the engine now. */
  readonly usable: boolean;
  /** Why the engine is not usable; undefined when it is. */
  readonly reason: string | undefined;
  readonly replicas: readonly ReplicaView[];
  /** By target: tier of a checkpoint cached on the engine's machine. */
  readonly tiers: ReadonlyMap<string, CheckpointTier>;
  /** Requests running and queued, as the engine reports them. */
  readonly running: number;
  readonly queued: number;
}

/** Demand of one team for one target, summed over all hosts. */
export interface TeamDemand {
  readonly team: string;
  readonly waiting: number;
  /** Monotonic time of the earliest deadline of a waiting request. */
  readonly deadlineAt: number;
  readonly inFlight: number;
}

/** Snapshot of one model or adapter for the policy. */
export interface TargetView {
  readonly name: string;
  readonly kind: 'model' | 'adapter';
  readonly baseModel: string | null;
  readonly version: string;
  readonly memoryMegabytes: number;
  /** Load time from each tier when the weight store runs at full speed. */
  readonly loadMilliseconds: Readonly<Record<CheckpointTier, number>>;
  /** Maximum number of replicas, including those loading or unresolved. */
  readonly replicaLimit: number;
  readonly teams: readonly TeamDemand[];
  readonly waiting: number;
  readonly inFlight: number;
  /** Earliest deadline of a waiting request; Infinity when none waits. */
  readonly deadlineAt: number;
  /**
   * Monotonic time since which requests have been waiting, without a gap; the
   * time of the view when none waits.
   */
  readonly waitingSince: number;
  /** Monotonic time at which the target was last seen in use. */
  readonly lastUsedAt: number;
  readonly history: IdleGapHistogram;
  /** By engine on which a load failed: monotonic time of the next attempt. */
  readonly avoidedEngines: ReadonlyMap<string, number>;
}

/** Load on the weight store, and the number of adapter loads. */
export interface StoreView {
  /** Measured speed of remote loads as a fraction of full speed. */
  readonly speed: number;
  /** Remote loads in flight. */
  readonly inFlight: number;
  /** Expected milliseconds until each remote load ends. */
  readonly endsInMilliseconds: readonly number[];
  /** Monotonic time before which no further remote load may start. */
  readonly nextStartAt: number;
  readonly adapterInFlight: number;
}

/** Snapshot of one pool: all inputs of a placement decision. */
export interface PoolView {
  readonly now: number;
  readonly pool: Pool;
  readonly engines: readonly EngineView[];
  readonly targets: ReadonlyMap<string, TargetView>;
  readonly store: StoreView;
  /** Recent load time charged to each team, divided by the team's weight. */
  readonly recentLoadTimeByTeam: ReadonlyMap<string, number>;
}
