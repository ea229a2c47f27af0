import type {PeerMessageOf} from '../peers/mod.ts';

/** Full list of one pool's replicas, as its controller broadcasts it. */
export type ReplicaUpdate = PeerMessageOf<'replica_update'>;

/** A replica from the latest update of its pool. */
export type KnownReplica = ReplicaUpdate['replicas'][number] & {
  readonly pool: string;
  /** Monotonic time at which a load is expected to end. */
  readonly readyAt: number;
};

/** A target that cannot be ready before the deadlines of waiting requests. */
export interface KnownRefusal {
  readonly pool: string;
  readonly reason: string;
  /** Monotonic time at which a replica may be ready at the earliest. */
  readonly retryAt: number;
}

/** Order of a pool's updates: first by epoch, then by sequence. */
interface UpdateVersion {
  readonly epoch: number;
  readonly sequence: number;
}

/**
 * Replicas of all pools, from the latest update of each. Updates from an older
 * epoch, and those that arrive out of order, are ignored.
 */
export class ReplicaTable {
  private readonly pools = new Map<string, UpdateVersion>();
  private readonly replicas = new Map<string, KnownReplica[]>();
  private readonly refusals = new Map<string, KnownRefusal>();

  /**
   * Applies an update.
   *
   * @returns Whether it was newer than the latest one and has been applied.
   */
  apply(update: ReplicaUpdate, now: number): boolean {
    const {pool, epoch, sequence} = update;
    const known = this.pools.get(pool);
    if (known !== undefined && !isNewer(update, known)) return false;
    this.pools.set(pool, {epoch, sequence});
    this.removePool(pool);
    for (const replica of update.replicas) {
      const list = this.replicas.get(replica.target) ?? [];
      const readyAt = now + replica.readyInMilliseconds;
      list.push({...replica, pool, readyAt});
      this.replicas.set(replica.target, list);
    }
    for (const refusal of update.refusals) {
      const {target, reason, retryAfterMilliseconds} = refusal;
      const retryAt = now + retryAfterMilliseconds;
      this.refusals.set(target, {pool, reason, retryAt});
    }
    return true;
  }

  /** Replicas of a model or adapter, in any state. */
  replicasOf(target: string): readonly KnownReplica[] {
    return this.replicas.get(target) ?? [];
  }

  /** Refusal of a target in the latest update; undefined without one. */
  refusalOf(target: string): KnownRefusal | undefined {
    return this.refusals.get(target);
  }

  /** All replicas in any state. */
  all(): readonly KnownReplica[] {
    return [...this.replicas.values()].flat();
  }

  /** Epoch and sequence of a pool's latest update. */
  latestOf(pool: string): UpdateVersion | undefined {
    return this.pools.get(pool);
  }

  private removePool(pool: string): void {
    for (const [target, list] of this.replicas) {
      const rest = list.filter(replica => replica.pool !== pool);
      if (rest.length === 0) this.replicas.delete(target);
      else this.replicas.set(target, rest);
    }
    for (const [target, refusal] of this.refusals) {
      if (refusal.pool === pool) this.refusals.delete(target);
    }
  }
}

function isNewer(update: ReplicaUpdate, known: UpdateVersion): boolean {
  if (update.epoch !== known.epoch) return update.epoch > known.epoch;
  return update.sequence > known.sequence;
}
