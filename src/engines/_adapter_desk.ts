import type {EnginePoolConfiguration} from '../deployment/mod.ts';
import type {WaitingTarget} from '../fleet/mod.ts';
import {type Clock, sleep} from '../time/mod.ts';
import type {OrderDesk} from './_order_desk.ts';
import {splitTarget} from './_split_target.ts';
import type {EngineState} from './engine_state.ts';

/** Options of {@link AdapterDesk}. */
export interface AdapterDeskOptions {
  clock: Clock;
  orders: Pick<OrderDesk, 'order'>;
  /** Called when an engine's adapters have changed. */
  changed: () => void;
}

/** Unfinished requests of all hosts, by engine and then by target. */
type InFlight = ReadonlyMap<string, ReadonlyMap<string, number>>;

/** Time for an adapter to arrive at an engine, on an idle weight store. */
const ADAPTER_LOAD_MILLISECONDS = 12;

/** Loads adapters for which requests wait, within the engines' places for them. */
export class AdapterDesk {
  private readonly underWay = new Set<string>();

  constructor(private readonly options: AdapterDeskOptions) {}

  /** Starts the loads that can start now. */
  serve(
    engines: readonly EngineState[],
    waiting: readonly WaitingTarget[],
    inFlight: InFlight,
    terms: EnginePoolConfiguration,
  ): void {
    this.noteUse(engines, inFlight);
    for (const {target} of waiting) {
      if (!target.includes('/') || this.underWay.has(target)) continue;
      if (engines.some(engine => engine.adapters.has(target))) continue;
      const engine = this.chooseEngine(engines, target, inFlight, terms);
      if (engine !== undefined) void this.load(engine, target, inFlight, terms);
    }
  }

  private noteUse(engines: readonly EngineState[], inFlight: InFlight): void {
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
    terms: EnginePoolConfiguration,
  ): EngineState | undefined {
    const {model} = splitTarget(target);
    return engines
      .filter(
        engine =>
          engine.models.has(model) &&
          !engine.withdrawn.has(model) &&
          !engine.isOrdering &&
          !engine.isUncertain &&
          engine.pending === undefined &&
          this.hasRoom(engine, model, inFlight, terms),
      )
      .sort((left, right) => left.adapters.size - right.adapters.size)[0];
  }

  private hasRoom(
    engine: EngineState,
    model: string,
    inFlight: InFlight,
    terms: EnginePoolConfiguration,
  ): boolean {
    const megabytes = terms.models.get(model)?.adapterMegabytes ?? 0;
    if (engine.adapters.size < terms.adapterCapacity) {
      return usedMegabytes(engine, terms) + megabytes <= terms.weightsMegabytes;
    }
    return leastUsed(engine, inFlight) !== undefined;
  }

  private async load(
    engine: EngineState,
    target: string,
    inFlight: InFlight,
    terms: EnginePoolConfiguration,
  ): Promise<void> {
    const {model, adapter} = splitTarget(target);
    this.underWay.add(target);
    engine.isOrdering = true;
    try {
      if (engine.adapters.size >= terms.adapterCapacity) {
        if (!(await this.unloadLeastUsed(engine, inFlight))) return;
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
      engine.isOrdering = false;
      this.underWay.delete(target);
      this.options.changed();
    }
  }

  private async unloadLeastUsed(
    engine: EngineState,
    inFlight: InFlight,
  ): Promise<boolean> {
    const victim = leastUsed(engine, inFlight);
    if (victim === undefined) return false;
    const {model, adapter} = splitTarget(victim);
    engine.withdrawn.add(victim);
    this.options.changed();
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

/** The adapter without requests that was used longest ago. */
function leastUsed(
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
  terms: EnginePoolConfiguration,
): number {
  const weights = [...engine.models].reduce(
    (sum, model) => sum + (terms.models.get(model)?.weightsMegabytes ?? 0),
    0,
  );
  return [...engine.adapters].reduce((sum, target) => {
    const model = terms.models.get(splitTarget(target).model);
    return sum + (model?.adapterMegabytes ?? 0);
  }, weights);
}
