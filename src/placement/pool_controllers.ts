import type {PeerMessageOf} from '../peers/mod.ts';
import type {LocalPoolController} from '../routing/mod.ts';
import {sleep} from '../time/mod.ts';
import {PoolController, type PoolControllerOptions} from './pool_controller.ts';

/** Options of {@link PoolControllers}, which adds each pool and epoch. */
export type PoolControllersOptions = Omit<
  PoolControllerOptions,
  'pool' | 'epoch'
>;

const SCOPE_PREFIX = 'pool:';
const LEASE_CHECK_MILLISECONDS = 500;

/** Runs a {@link PoolController} for each pool whose lease this host holds. */
export class PoolControllers implements LocalPoolController {
  private readonly controllers = new Map<
    string,
    {epoch: number; controller: PoolController}
  >();
  private readonly stopping = new Set<Promise<void>>();
  private readonly abort = new AbortController();
  private unsubscribe: (() => void) | undefined;

  constructor(private readonly options: PoolControllersOptions) {}

  /** Starts controllers for the leases of this host, now and as they change. */
  start(): void {
    const {leases, authority} = this.options;
    this.unsubscribe = leases.onChange((scope, epoch) => {
      if (scope.startsWith(SCOPE_PREFIX)) {
        this.followLease(scope.slice(SCOPE_PREFIX.length), epoch);
      }
    });
    for (const {name, kind} of authority().pools.values()) {
      if (kind !== 'engine') continue;
      this.followLease(name, leases.actingEpoch(`${SCOPE_PREFIX}${name}`));
    }
    void this.stopWithoutLease();
  }

  /** Stops all controllers; resolves once none can send further orders. */
  async stop(): Promise<void> {
    this.abort.abort();
    this.unsubscribe?.();
    for (const pool of [...this.controllers.keys()]) this.stopController(pool);
    await Promise.all(this.stopping);
  }

  /**
   * Stops one pool's controller before its lease is released. A new one starts
   * only under a new epoch.
   */
  async stopPool(pool: string): Promise<void> {
    this.stopController(pool);
    await Promise.all(this.stopping);
  }

  receiveDemand(message: PeerMessageOf<'demand'>): void {
    for (const {controller} of this.controllers.values()) {
      controller.receiveDemand(this.options.channel.self.hostId, message);
    }
  }

  receiveReplicaReleased(message: PeerMessageOf<'replica_released'>): void {
    for (const {controller} of this.controllers.values()) {
      controller.receiveReplicaReleased(
        this.options.channel.self.hostId,
        message,
      );
    }
  }

  /** Explains a target; undefined when another host controls its pool. */
  explain(target: string): Record<string, unknown> | undefined {
    const {models, adapters} = this.options.authority();
    const model = models.get(adapters.get(target)?.baseModel ?? target);
    return this.controllers.get(model?.pool ?? '')?.controller.explain(target);
  }

  /** Explains an engine; undefined when another host controls its pool. */
  explainEndpoint(name: string): Record<string, unknown> | undefined {
    const pool = this.options.authority().endpoints.get(name)?.pool;
    return this.controllers.get(pool ?? '')?.controller.explainEndpoint(name);
  }

  private followLease(pool: string, epoch: number | undefined): void {
    // While the membership view is unconfirmed, the controller sends no orders.
    // It continues under the same epoch once the view is confirmed again.
    if (epoch === undefined) return;
    if (this.controllers.get(pool)?.epoch === epoch) return;
    this.stopController(pool);
    if (this.options.authority().pools.get(pool)?.kind !== 'engine') return;
    const controller = new PoolController({...this.options, pool, epoch});
    this.controllers.set(pool, {epoch, controller});
    controller.start();
  }

  private stopController(pool: string): void {
    const current = this.controllers.get(pool);
    if (current === undefined) return;
    this.controllers.delete(pool);
    const stopped = current.controller.stop().finally(() => {
      this.stopping.delete(stopped);
    });
    this.stopping.add(stopped);
  }

  /** Stops controllers whose lease has passed to another host. */
  private async stopWithoutLease(): Promise<void> {
    const {channel, clock, leases} = this.options;
    const {signal} = this.abort;
    while (!signal.aborted) {
      for (const pool of [...this.controllers.keys()]) {
        const holder = leases.holderOf(`${SCOPE_PREFIX}${pool}`);
        if (holder !== channel.self.hostId) this.stopController(pool);
      }
      await sleep(clock, LEASE_CHECK_MILLISECONDS, signal);
    }
  }
}
