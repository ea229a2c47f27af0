import type {CheckpointTier} from '../contracts/mod.ts';
import type {
  EndpointError,
  EngineAction,
  EngineClient,
  EngineEvent,
  EngineOrder,
  EngineState,
} from '../endpoints/mod.ts';
import {failure, type Result, success} from '../errors/mod.ts';
import type {Clock} from '../time/mod.ts';
import {CheckpointCache} from './_checkpoint_cache.ts';
import type {MemoryWeightStore} from './memory_weight_store.ts';

type LoadAction = Extract<EngineAction, {kind: 'load_model' | 'load_adapter'}>;

interface Entry {
  readonly kind: 'model' | 'adapter';
  readonly name: string;
  readonly version: string;
  readonly baseModel: string | null;
  readonly memoryMegabytes: number;
  readonly orderId: string;
  readonly startedAt: number;
  state: 'loading' | 'loaded' | 'unloading';
  /** Remaining share of a transfer from the weight store. */
  progress: () => number;
}

/** Options of {@link MemoryEngine}. */
export interface MemoryEngineOptions {
  name: string;
  clock: Clock;
  store: MemoryWeightStore;
  /** Accelerator memory. @default 80000 */
  memoryMegabytes?: number;
  /** Whether orders with an old epoch are refused. @default false */
  checksFencing?: boolean;
  /** Load time of a model from each tier at full speed. */
  loadMilliseconds: (name: string) => Readonly<Record<CheckpointTier, number>>;
  /** Load time of an adapter. @default 8 ms */
  adapterMilliseconds?: (name: string) => number;
  /** Checkpoint memory of the engine's host. @default 0 */
  hostMemoryMegabytes?: number;
  /** Checkpoint disk of the engine's host. @default 0 */
  hostDiskMegabytes?: number;
  /** Milliseconds of each half of an exchange. @default 1 */
  delayMilliseconds?: number;
  /** Whether loads that do not fit are refused. @default true */
  refusesOvercommit?: boolean;
}

/** Engine in memory, with the faults of a real one. */
export class MemoryEngine {
  leaving = false;
  /** Nothing listens at its address. */
  down = false;
  /** Exchanges get no answer; they fail after a while without an effect. */
  silent = false;
  /** The next orders are obeyed, but their answers are lost. */
  loseAnswers = 0;
  /** Names whose loads fail. */
  readonly failing = new Set<string>();
  /** Orders that wait in a socket's buffer while this is true. */
  holdsOrders = false;
  readonly heldOrders: {order: EngineOrder; heldAt: number}[] = [];
  /** Called before an unload is performed. */
  onUnload: (name: string) => void = () => undefined;
  /** Requests in flight, as the load report says. */
  running = 0;
  readonly obeyed: EngineOrder[] = [];
  /** Orders that were refused, with the reason. */
  readonly refused: {order: EngineOrder; code: string}[] = [];
  private incarnation = 1;
  private entries = new Map<string, Entry>();
  private failedOrders: {orderId: string; reason: string}[] = [];
  private highestEpoch = 0;
  private seen = new Set<string>();
  private readonly cache: CheckpointCache;

  constructor(readonly options: MemoryEngineOptions) {
    this.cache = new CheckpointCache(
      options.hostMemoryMegabytes ?? 0,
      options.hostDiskMegabytes ?? 0,
    );
  }

  get name(): string {
    return this.options.name;
  }

  /** Memory of everything on the engine. */
  get usedMegabytes(): number {
    let sum = 0;
    for (const entry of this.entries.values()) sum += entry.memoryMegabytes;
    return sum;
  }

  get capacityMegabytes(): number {
    return this.options.memoryMegabytes ?? 80_000;
  }

  /** State of a model or adapter; undefined when it is not there. */
  stateOf(name: string): Entry['state'] | undefined {
    return this.entries.get(name)?.state;
  }

  /** Names of everything on the engine, in any state. */
  get names(): readonly string[] {
    return [...this.entries.keys()];
  }

  /** Puts a checkpoint into the host's memory. */
  cacheCheckpoint(name: string, megabytes: number): void {
    this.cache.use(name, megabytes);
  }

  /** Tier of a model's checkpoint. */
  tierOf(name: string): CheckpointTier {
    return this.cache.tiers().get(name) ?? 'remote';
  }

  /** Ends the process; nothing listens until {@link restart}. */
  kill(): void {
    this.down = true;
    this.incarnation++;
    this.entries = new Map();
    this.failedOrders = [];
    this.seen = new Set();
    this.highestEpoch = 0;
    this.running = 0;
    this.heldOrders.length = 0;
  }

  /** Starts a process with nothing loaded. */
  restart(): void {
    this.kill();
    this.down = false;
  }

  /**
   * Delivers orders that waited in a socket's buffer.
   *
   * @param milliseconds Least time for which they waited. @default 0
   */
  deliverHeld(milliseconds = 0): void {
    const now = this.options.clock.monotonicMilliseconds();
    for (const held of this.heldOrders.splice(0)) {
      if (now - held.heldAt >= milliseconds) this.obey(held.order);
      else this.heldOrders.push(held);
    }
  }

  /** Client for one process; `resume` runs a continuation of that process. */
  client(resume: (action: () => void) => void): EngineClient {
    const exchange = <Answer>(
      action: () => Result<Answer, EndpointError>,
      lossy: boolean,
    ) => this.exchange(action, lossy, resume);
    return {
      run: noEvents,
      cancel: async () => success(undefined),
      order: order => exchange(() => this.receive(order), true),
      state: () => exchange(() => success(this.state()), false),
      cacheEvents: async () => success([]),
      exportCache: async () => success(undefined),
      importCache: async () => success(undefined),
      close: () => undefined,
    };
  }

  private async exchange<Answer>(
    action: () => Result<Answer, EndpointError>,
    lossy: boolean,
    resume: (action: () => void) => void,
  ): Promise<Result<Answer, EndpointError>> {
    const {clock, delayMilliseconds = 1} = this.options;
    const pause = (milliseconds: number) =>
      new Promise<void>(resolve => {
        clock.startTimer(milliseconds, () => resume(resolve));
      });
    await pause(delayMilliseconds);
    if (this.down) return this.fail('unreachable');
    if (this.silent) {
      await pause(SILENCE_MILLISECONDS);
      return this.fail('silent');
    }
    const {incarnation} = this;
    const answer = action();
    if (lossy && this.loseAnswers > 0) {
      this.loseAnswers--;
      await pause(delayMilliseconds);
      return this.fail('broken');
    }
    if (lossy && this.holdsOrders) {
      await pause(SILENCE_MILLISECONDS);
      return this.fail('silent');
    }
    await pause(delayMilliseconds);
    if (this.incarnation !== incarnation) return this.fail('broken');
    return answer;
  }

  private receive(order: EngineOrder): Result<undefined, EndpointError> {
    if (this.holdsOrders) {
      this.heldOrders.push({
        order,
        heldAt: this.options.clock.monotonicMilliseconds(),
      });
      return success(undefined);
    }
    return this.obey(order);
  }

  private obey(order: EngineOrder): Result<undefined, EndpointError> {
    if (this.seen.has(order.orderId)) return success(undefined);
    const code = this.refusalOf(order);
    if (code !== undefined) {
      this.refused.push({order, code});
      const peer = this.name;
      return failure({
        kind: 'rejected',
        step: 'order',
        peer,
        code,
        reason: code,
      });
    }
    this.seen.add(order.orderId);
    if (this.options.checksFencing) this.highestEpoch = order.epoch;
    this.obeyed.push(order);
    this.perform(order);
    return success(undefined);
  }

  private refusalOf(order: EngineOrder): string | undefined {
    const {action, epoch, notAfter} = order;
    if (this.options.checksFencing) {
      if (epoch < this.highestEpoch) return 'stale_epoch';
      if (Date.parse(notAfter) < this.options.clock.now().getTime()) {
        return 'expired';
      }
    }
    if (action.kind !== 'load_model' && action.kind !== 'load_adapter') {
      return undefined;
    }
    if (this.leaving) return 'leaving';
    if (this.entries.has(action.name)) return 'already_present';
    const needed = this.usedMegabytes + action.memoryMegabytes;
    const {refusesOvercommit = true} = this.options;
    if (refusesOvercommit && needed > this.capacityMegabytes) {
      return 'no_memory';
    }
    if (action.kind === 'load_model') return undefined;
    const base = this.entries.get(action.baseModel);
    return base?.state === 'loaded' ? undefined : 'no_base_model';
  }

  private perform(order: EngineOrder): void {
    const {action} = order;
    switch (action.kind) {
      case 'load_model':
      case 'load_adapter':
        this.load(order.orderId, action);
        break;
      case 'unload_model':
      case 'unload_adapter':
        this.unload(action.name);
        break;
      case 'change_role':
        break;
    }
  }

  private load(orderId: string, action: LoadAction): void {
    const {clock, loadMilliseconds, store} = this.options;
    const {adapterMilliseconds = () => 8} = this.options;
    const isModel = action.kind === 'load_model';
    const startedAt = clock.monotonicMilliseconds();
    const entry: Entry = {
      kind: isModel ? 'model' : 'adapter',
      name: action.name,
      version: action.version,
      baseModel: isModel ? null : action.baseModel,
      memoryMegabytes: action.memoryMegabytes,
      orderId,
      startedAt,
      state: 'loading',
      progress: () => 0,
    };
    this.entries.set(action.name, entry);
    const finish = () => this.finishLoad(entry);
    const tier = this.tierOf(action.name);
    const milliseconds = isModel
      ? loadMilliseconds(action.name)[tier]
      : adapterMilliseconds(action.name);
    if (isModel && tier === 'remote') {
      entry.progress = store.fetch(milliseconds, finish);
      return;
    }
    clock.startTimer(milliseconds, finish);
    entry.progress = () => {
      return (clock.monotonicMilliseconds() - startedAt) / milliseconds;
    };
  }

  private finishLoad(entry: Entry): void {
    const {name, orderId} = entry;
    if (this.entries.get(name) !== entry || entry.state !== 'loading') return;
    if (this.failing.has(name)) {
      this.entries.delete(name);
      this.failedOrders.push({orderId, reason: 'checkpoint is damaged'});
      return;
    }
    entry.state = 'loaded';
    if (entry.kind === 'model') this.cache.use(name, entry.memoryMegabytes);
  }

  private unload(name: string): void {
    this.onUnload(name);
    for (const entry of this.entries.values()) {
      if (entry.baseModel === name) this.entries.delete(entry.name);
    }
    this.entries.delete(name);
  }

  private state(): EngineState {
    return {
      incarnation: `${this.name}-${this.incarnation}`,
      memoryMegabytes: this.capacityMegabytes,
      highestEpoch: this.highestEpoch,
      leaving: this.leaving,
      role: 'serve',
      entries: [...this.entries.values()].map(entry => ({
        kind: entry.kind,
        name: entry.name,
        version: entry.version,
        state: entry.state,
        memoryMegabytes: entry.memoryMegabytes,
        orderId: entry.orderId,
        progress:
          entry.state === 'loaded'
            ? 1
            : Math.min(0.99, Math.max(0, entry.progress())),
      })),
      failedOrders: [...this.failedOrders],
      checkpoints: [...this.cache.tiers()].map(([name, tier]) => {
        return {name, version: '1', tier};
      }),
      load: {running: this.running, queued: 0, ageMilliseconds: 0},
    };
  }

  private fail(kind: 'unreachable' | 'broken' | 'silent'): {
    ok: false;
    error: EndpointError;
  } {
    const facts = {step: 'order', peer: this.name, reason: kind} as const;
    return failure(
      kind === 'unreachable'
        ? {...facts, kind, refused: true}
        : {...facts, kind},
    );
  }
}

const SILENCE_MILLISECONDS = 1000;

async function* noEvents(): AsyncGenerator<EngineEvent, void, undefined> {
  // Runs are no part of placement.
}
