import type {CheckpointTier, Pool} from '../contracts/mod.ts';
import type {IdleGapHistogram} from './idle_gap_histogram.ts';

/** State of a replica in the ledger of its engine. */
export type LedgerState =
  | 'loading'
  | 'loaded'
  /** Hosts are told to stop sending; it is still loaded. */
  | 'draining'
  | 'unloading'
  /** Its order was sent; whether it was obeyed is not known. */
  | 'unresolved';

/** A replica that takes memory, or may take it. */
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
  /** Monotonic time at which the state began, as far as it is known. */
  readonly since: number;
  /** Expected milliseconds until a load ends. */
  readonly readyInMilliseconds: number;
}

/** An engine as the policy sees it. */
export interface EngineView {
  readonly name: string;
  readonly capacityMegabytes: number;
  /** Memory of every replica in any state. */
  readonly usedMegabytes: number;
  /** Whether loads may be ordered now. */
  readonly usable: boolean;
  /** Why it is not usable. */
  readonly reason: string | undefined;
  readonly replicas: readonly ReplicaView[];
  /** Checkpoints that are closer than the weight store. */
  readonly tiers: ReadonlyMap<string, CheckpointTier>;
  /** Requests running and queued by the engine's own report. */
  readonly running: number;
  readonly queued: number;
}

/** Demand of one team for one target, over all hosts. */
export interface TeamDemand {
  readonly team: string;
  readonly waiting: number;
  /** Monotonic time of the earliest deadline of a waiting request. */
  readonly deadlineAt: number;
  readonly inFlight: number;
}

/** A model or adapter as the policy sees it. */
export interface TargetView {
  readonly name: string;
  readonly kind: 'model' | 'adapter';
  readonly baseModel: string | null;
  readonly version: string;
  readonly memoryMegabytes: number;
  /** Load time at full speed from each tier. */
  readonly loadMilliseconds: Readonly<Record<CheckpointTier, number>>;
  /** Most replicas that may be loaded, loading or unresolved. */
  readonly replicaLimit: number;
  readonly teams: readonly TeamDemand[];
  readonly waiting: number;
  readonly inFlight: number;
  /** Earliest deadline of a waiting request; Infinity when none waits. */
  readonly deadlineAt: number;
  /** Monotonic time since which a request waits; Infinity when none waits. */
  readonly waitingSince: number;
  /** Monotonic time of the last sign of use. */
  readonly lastUsedAt: number;
  readonly history: IdleGapHistogram;
  /** Engines on which a load failed, with the time until which to avoid them. */
  readonly avoidedEngines: ReadonlyMap<string, number>;
}

/** Load on the weight store and on adapter loading. */
export interface StoreView {
  /** Measured speed of loads relative to the expected one. */
  readonly speed: number;
  /** Remote loads in flight. */
  readonly inFlight: number;
  /** Expected milliseconds until each of them ends. */
  readonly endsInMilliseconds: readonly number[];
  /** Monotonic time from which the next remote load may start. */
  readonly nextStartAt: number;
  readonly adapterInFlight: number;
}

/** Everything that a placement decision takes into account. */
export interface PoolView {
  readonly now: number;
  readonly pool: Pool;
  readonly engines: readonly EngineView[];
  readonly targets: ReadonlyMap<string, TargetView>;
  readonly store: StoreView;
  /** Load time that each team received lately, divided by its weight. */
  readonly recentLoadTimeByTeam: ReadonlyMap<string, number>;
}
