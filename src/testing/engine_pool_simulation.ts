import type {EnginePoolConfiguration} from '../deployment/mod.ts';
import {
  ArrivalRates,
  type ModelDemand,
  type PlacementInput,
  type EngineSnapshot,
  type PlannedLoad,
} from '../engines/mod.ts';

/** Requests of one kind that arrive during a simulation. */
export interface SimulatedKind {
  readonly name: string;
  /** Rank of the requests; 0 is most urgent. */
  readonly priority: number;
  /** Time within which the first token is worth most, in milliseconds. */
  readonly objective: number;
  /** Wait after which the caller leaves, in milliseconds. */
  readonly patience: number;
  /** Time of a run on an engine, in milliseconds. */
  readonly run: number;
  /** Requests a second at a time, in milliseconds from the start. */
  readonly rate: (now: number) => number;
  /** Models among which the requests are spread evenly. */
  readonly models: readonly string[];
}

/** Options of {@link simulateEnginePool}. */
export interface EnginePoolSimulationOptions {
  readonly terms: EnginePoolConfiguration;
  /** Models on the disk of each engine, by engine id. */
  readonly onDisk: ReadonlyMap<string, ReadonlySet<string>>;
  readonly kinds: readonly SimulatedKind[];
  readonly plan: (input: PlacementInput) => readonly PlannedLoad[];
  /** Milliseconds to simulate. */
  readonly duration: number;
  /** Engines that are lost, and when. */
  readonly lost?: {readonly at: number; readonly engines: readonly string[]};
  /** Returns a number in [0, 1). */
  readonly random: () => number;
}

/** What became of the requests of one kind. */
export interface SimulatedOutcome {
  asked: number;
  /** Requests that ran within their objective. */
  punctual: number;
  /** Requests that ran, late ones included. */
  served: number;
}

interface Waiting {
  readonly kind: SimulatedKind;
  readonly model: string;
  readonly arrivedAt: number;
}

interface SimulatedEngine {
  readonly id: string;
  readonly onDisk: Set<string>;
  /** Ends of the runs of each model in the accelerator. */
  readonly models: Map<string, number[]>;
  readonly loadedAt: Map<string, number>;
  order: PlannedLoad | undefined;
  /** Time at which the load of the order ends; undefined while it evicts. */
  readyAt: number | undefined;
}

const STEP_MILLISECONDS = 25;
const ROUND_MILLISECONDS = 150;
const PATIENCE_SHARE = 0.92;
const FRESH_MILLISECONDS = 600;

/**
 * Engines with places for models, one order at a time, copies on disks, and
 * runs of fixed length. It leaves out the time of prompts, adapters, the delay
 * of reports and the limits of the weight store, so it ranks ways to place
 * models; its shares are higher than those of played days.
 */
export function simulateEnginePool(
  options: EnginePoolSimulationOptions,
): ReadonlyMap<string, SimulatedOutcome> {
  return new EnginePoolSimulation(options).run();
}

class EnginePoolSimulation {
  private engines: SimulatedEngine[];
  private waiting: Waiting[] = [];
  private readonly rates = new ArrivalRates();
  private readonly counts = new Map<string, number>();
  private readonly outcomes = new Map<string, SimulatedOutcome>();

  constructor(private readonly options: EnginePoolSimulationOptions) {
    this.engines = [...options.onDisk].map(([id, models]) => ({
      id,
      onDisk: new Set(models),
      models: new Map(),
      loadedAt: new Map(),
      order: undefined,
      readyAt: undefined,
    }));
    for (const {name} of options.kinds) {
      this.outcomes.set(name, {asked: 0, punctual: 0, served: 0});
    }
  }

  run(): ReadonlyMap<string, SimulatedOutcome> {
    const {duration, lost} = this.options;
    for (let now = 0; now < duration; now += STEP_MILLISECONDS) {
      if (lost !== undefined && now === lost.at) {
        this.engines = this.engines.filter(
          ({id}) => !lost.engines.includes(id),
        );
      }
      this.arrive(now);
      for (const engine of this.engines) this.progress(engine, now);
      this.serve(now);
      if (now % ROUND_MILLISECONDS === 0) this.decide(now);
    }
    return this.outcomes;
  }

  private arrive(now: number): void {
    for (const kind of this.options.kinds) {
      const expected = (kind.rate(now) * STEP_MILLISECONDS) / 1000;
      if (this.options.random() >= expected) continue;
      const index = Math.floor(this.options.random() * kind.models.length);
      const model = kind.models[index]!;
      this.counts.set(model, (this.counts.get(model) ?? 0) + 1);
      this.outcomes.get(kind.name)!.asked++;
      this.waiting.push({kind, model, arrivedAt: now});
    }
  }

  private progress(engine: SimulatedEngine, now: number): void {
    for (const [model, ends] of engine.models) {
      engine.models.set(
        model,
        ends.filter(end => end > now),
      );
    }
    const {order} = engine;
    if (order === undefined) return;
    if (engine.readyAt === undefined) {
      const runs = order.evictions.map(name => engine.models.get(name)?.length);
      if (runs.some(count => (count ?? 0) > 0)) return;
      for (const name of order.evictions) engine.models.delete(name);
      const terms = this.options.terms.models.get(order.model)!;
      const isOnDisk = engine.onDisk.has(order.model);
      engine.readyAt =
        now +
        (isOnDisk ? terms.diskLoadMilliseconds : terms.remoteLoadMilliseconds);
    }
    if (now < engine.readyAt) return;
    engine.models.set(order.model, []);
    engine.onDisk.add(order.model);
    engine.loadedAt.set(order.model, now);
    engine.order = undefined;
    engine.readyAt = undefined;
  }

  private serve(now: number): void {
    this.waiting = this.waiting.filter(request => {
      const {kind, model, arrivedAt} = request;
      if (now > arrivedAt + kind.patience * PATIENCE_SHARE) return false;
      const [holder] = this.engines
        .filter(engine => this.canRun(engine, model))
        .sort(
          (left, right) =>
            left.models.get(model)!.length - right.models.get(model)!.length,
        );
      if (holder === undefined) return true;
      holder.models.get(model)!.push(now + kind.run);
      const outcome = this.outcomes.get(kind.name)!;
      outcome.served++;
      if (now - arrivedAt <= kind.objective) outcome.punctual++;
      return false;
    });
  }

  private canRun(engine: SimulatedEngine, model: string): boolean {
    if (engine.order?.evictions.includes(model)) return false;
    const runs = engine.models.get(model);
    return runs !== undefined && runs.length < this.options.terms.slots;
  }

  private decide(now: number): void {
    this.rates.update(new Map(this.counts), now);
    const loads = this.options.plan({
      pool: this.options.terms,
      engines: this.engines.map(engine => this.planned(engine, now)),
      demand: this.demand(now),
      remoteLoadsAllowed: 4,
      remoteLoadsRunning: 0,
      preloadsAllowed: 0,
    });
    for (const load of loads) {
      const engine = this.engines.find(({id}) => id === load.engineId);
      if (engine?.order === undefined && engine !== undefined) {
        engine.order = load;
      }
    }
  }

  private planned(engine: SimulatedEngine, now: number): EngineSnapshot {
    const {order, readyAt} = engine;
    const loadedFor = new Map(
      [...engine.loadedAt].map(([model, at]) => [model, now - at]),
    );
    return {
      id: engine.id,
      models: new Set(engine.models.keys()),
      adapters: new Set(),
      loading: order?.model,
      busyMilliseconds:
        order === undefined ? 0 : Math.max(50, (readyAt ?? now) - now),
      inMemory: new Set(),
      requestsPerSecond: undefined,
      onDisk: engine.onDisk,
      inFlight: new Map(
        [...engine.models].map(([model, ends]) => [model, ends.length]),
      ),
      recentlyLoaded: new Set(
        [...loadedFor]
          .filter(([, age]) => age < FRESH_MILLISECONDS)
          .map(([model]) => model),
      ),
      loadAges: loadedFor,
    };
  }

  private demand(now: number): ReadonlyMap<string, ModelDemand> {
    const demand = new Map<string, ModelDemand>();
    for (const model of this.options.terms.models.keys()) {
      const waiting = this.waiting.filter(request => request.model === model);
      const ratePerSecond = this.rates.of(model);
      if (waiting.length === 0 && ratePerSecond < 0.01) continue;
      const load =
        this.options.terms.models.get(model)?.diskLoadMilliseconds ?? 0;
      demand.set(model, {
        waiting: waiting.length,
        timely: waiting.filter(
          ({kind, arrivedAt}) => now + load <= arrivedAt + kind.objective,
        ).length,
        waitingForAdapters: 0,
        returning: 0,
        priority: Math.min(9, ...waiting.map(({kind}) => kind.priority)),
        waitedMilliseconds: Math.max(
          0,
          ...waiting.map(({arrivedAt}) => now - arrivedAt),
        ),
        unmetMilliseconds: 0,
        ratePerSecond,
      });
    }
    return demand;
  }
}
