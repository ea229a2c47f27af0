import type {EnginePoolConfiguration} from '../deployment/mod.ts';
import type {WaitingTarget} from '../fleet/mod.ts';
import {type Clock, sleep} from '../time/mod.ts';
import type {OrderDispatcher} from './_order_dispatcher.ts';
import {splitTarget} from './_split_target.ts';
import type {EngineState} from './engine_state.ts';

/** Options of {@link AdapterLoader}. */
export interface AdapterLoaderOptions {
  clock: Clock;
  orders: Pick<OrderDispatcher, 'order'>;
  /** Called after an engine's adapters have changed. */
  onChange: () => void;
}

/** Unfinished requests of all hosts, by engine and then by target. */
type InFlight = ReadonlyMap<string, ReadonlyMap<string, number>>;

/** Load time of an adapter from an idle weight store. */
const ADAPTER_LOAD_MILLISECONDS = 12;

/**
 * Loads adapters that requests wait for, within the engines' adapter capacity.
 */
export class AdapterLoader {
  private readonly inProgress = new Set<string>();

  constructor(private readonly options: AdapterLoaderOptions) {}

  /** Starts loads of adapters on engines that are available now. */
  startLoads(
    engines: readonly EngineState[],
    waiting: readonly WaitingTarget[],
    inFlight: InFlight,
    pool: EnginePoolConfiguration,
  ): void {
    this.recordUse(engines, inFlight);
    for (const {target} of waiting) {
      if (!target.includes('/') || this.inProgress.has(target)) continue;
      if (engines.some(engine => engine.adapters.has(target))) continue;
      const engine = this.chooseEngine(engines, target, inFlight, pool);
      if (engine !== undefined) void this.load(engine, target, inFlight, pool);
    }
  }

  private recordUse(engines: readonly EngineState[], inFlight: InFlight): void {
    const now = this.options.clock.monotonicMilliseconds();
    for (const engine of engines) {
      for (const target of inFlight.get(engine.record.id)?.keys() ?? []) {
        if (target.includes('/')) engine.adapterUsedAt.set(target, now);
      }
    }
  }

  private chooseEngine(
    engines: readonly EngineState[],
    target: string,
    inFlight: InFlight,
    pool: EnginePoolConfiguration,
  ): EngineState | undefined {
    const {model} = splitTarget(target);
    return engines
      .filter(
        engine =>
          engine.models.has(model) &&
          !engine.withdrawn.has(model) &&
          !engine.isLocked &&
          !engine.needsReport &&
          engine.pending === undefined &&
          this.hasRoom(engine, model, inFlight, pool),
      )
      .sort((left, right) => left.adapters.size - right.adapters.size)[0];
  }

  private hasRoom(
    engine: EngineState,
    model: string,
    inFlight: InFlight,
    pool: EnginePoolConfiguration,
  ): boolean {
    const megabytes = pool.models.get(model)?.adapterMegabytes ?? 0;
    if (engine.adapters.size < pool.adapterCapacity) {
      return usedMegabytes(engine, pool) + megabytes <= pool.weightsMegabytes;
    }
    return leastRecentlyUsed(engine, inFlight) !== undefined;
  }

  private async load(
    engine: EngineState,
    target: string,
    inFlight: InFlight,
    pool: EnginePoolConfiguration,
  ): Promise<void> {
    const {model, adapter} = splitTarget(target);
    this.inProgress.add(target);
    engine.isLocked = true;
    try {
      if (engine.adapters.size >= pool.adapterCapacity) {
        if (!(await this.unloadLeastRecentlyUsed(engine, inFlight))) return;
      }
      const outcome = await this.options.orders.order(
        engine,
        'load',
        model,
        adapter,
      );
      if (outcome !== 'accepted' && outcome !== 'done') return;
      if (outcome === 'accepted') {
        await sleep(this.options.clock, ADAPTER_LOAD_MILLISECONDS);
      }
      engine.adapters.add(target);
      engine.adapterUsedAt.set(
        target,
        this.options.clock.monotonicMilliseconds(),
      );
    } finally {
      engine.isLocked = false;
      this.inProgress.delete(target);
      this.options.onChange();
    }
  }

  private async unloadLeastRecentlyUsed(
    engine: EngineState,
    inFlight: InFlight,
  ): Promise<boolean> {
    const victim = leastRecentlyUsed(engine, inFlight);
    if (victim === undefined) return false;
    const {model, adapter} = splitTarget(victim);
    engine.withdrawn.add(victim);
    this.options.onChange();
    const outcome = await this.options.orders.order(
      engine,
      'unload',
      model,
      adapter,
    );
    engine.withdrawn.delete(victim);
    if (outcome === 'done' || outcome === 'accepted') {
      engine.adapters.delete(victim);
      engine.adapterUsedAt.delete(victim);
    }
    return outcome === 'done';
  }
}

/** The least recently used adapter without unfinished requests. */
function leastRecentlyUsed(
  engine: EngineState,
  inFlight: InFlight,
): string | undefined {
  const targets = inFlight.get(engine.record.id);
  return [...engine.adapters]
    .filter(target => !targets?.has(target))
    .sort(
      (left, right) =>
        (engine.adapterUsedAt.get(left) ?? 0) -
        (engine.adapterUsedAt.get(right) ?? 0),
    )[0];
}

function usedMegabytes(
  engine: EngineState,
  pool: EnginePoolConfiguration,
): number {
  const weights = [...engine.models].reduce(
    (sum, model) => sum + (pool.models.get(model)?.weightsMegabytes ?? 0),
    0,
  );
  return [...engine.adapters].reduce((sum, target) => {
    const model = pool.models.get(splitTarget(target).model);
    return sum + (model?.adapterMegabytes ?? 0);
  }, weights);
}
