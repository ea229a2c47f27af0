import {randomUUID} from 'node:crypto';
import type {Response} from 'express';
import express from 'express';
import {got} from 'got';
import {z} from 'zod';
import type {CheckpointTier} from '../contracts/mod.ts';
import {StandInServer, type StandInServerOptions} from './stand_in_server.ts';

const actionSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('load_model'),
    name: z.string(),
    version: z.string(),
    memoryMegabytes: z.number(),
  }),
  z.object({kind: z.literal('unload_model'), name: z.string()}),
  z.object({
    kind: z.literal('load_adapter'),
    name: z.string(),
    version: z.string(),
    baseModel: z.string(),
    memoryMegabytes: z.number(),
  }),
  z.object({kind: z.literal('unload_adapter'), name: z.string()}),
  z.object({kind: z.literal('change_role'), role: z.string()}),
]);

const orderSchema = z.object({
  orderId: z.string(),
  epoch: z.number().int(),
  notAfter: z.iso.datetime(),
  action: actionSchema,
});

const runSchema = z.object({
  runId: z.string(),
  target: z.object({model: z.string(), adapter: z.string().nullable()}),
  input: z.unknown(),
  maximumTokens: z.number().int().positive(),
  resume: z.boolean().default(false),
  resumeFrom: z.number().int().nonnegative(),
  alone: z.boolean().default(false),
});

interface Entry {
  readonly kind: 'model' | 'adapter';
  readonly name: string;
  readonly version: string;
  readonly baseModel: string | null;
  readonly memoryMegabytes: number;
  readonly orderId: string;
  readonly startedAt: number;
  readonly expectedMilliseconds: number;
  state: 'loading' | 'loaded' | 'unloading';
}

interface Run {
  readonly runId: string;
  /** The request's input, as JSON. */
  readonly input: string;
  readonly tokens: readonly string[];
  readonly promptTokens: number;
  readonly alone: boolean;
  readonly crashes: boolean;
  /** Undefined while it waits for others. */
  startedAt: number | undefined;
  cancelled: boolean;
}

/** Time for a run that is to be alone to come back. */
const DRAINING_MILLISECONDS = 1000;

/** Options of {@link EngineStandIn}. */
export interface EngineStandInOptions extends StandInServerOptions {
  /** Accelerator memory. @default 80000 */
  memoryMegabytes?: number;
  /** Whether orders with an old epoch are refused. @default false */
  checksFencing?: boolean;
  /** Address of the weight store stand-in; loads take no time without it. */
  weightStoreAddress?: string;
  /** Transfer time of a remote load at full speed, in ms. @default 1000 */
  remoteLoadMilliseconds?: number;
  /** Time of a load from the local disk, in ms. @default 300 */
  diskLoadMilliseconds?: number;
  /** Time of a load from the host's memory, in ms. @default 60 */
  memoryLoadMilliseconds?: number;
  /** Time of an adapter load, in ms. @default 8 */
  adapterLoadMilliseconds?: number;
  /** Checkpoints that the engine's host holds, by model name. */
  tiers?: ReadonlyMap<string, CheckpointTier>;
  /** Milliseconds between tokens. @default 5 */
  tokenMilliseconds?: number;
  /** Tokens of an answer, unless the request allows fewer. @default 16 */
  answerTokens?: number;
  /** Whether it refuses loads that do not fit; a judge of overcommitment lets them. @default true */
  refusesOvercommit?: boolean;
  /** A run whose input contains this text crashes the engine. */
  crashOn?: string;
  /** What a crash does. @default restarts it with nothing loaded */
  onCrash?: () => void;
}

/** Stand-in of a model engine that speaks `limpet-engine-1`. */
export class EngineStandIn {
  readonly server: StandInServer;
  /** Runs started, by run id; resuming does not count. */
  readonly runsStarted: string[] = [];
  /** Inputs of {@link runsStarted}, as JSON. */
  readonly inputsStarted: string[] = [];
  /** Orders obeyed, in order. */
  readonly ordersObeyed: {orderId: string; epoch: number; kind: string}[] = [];
  /** Runs that were cancelled before their end. */
  cancelledRuns = 0;
  /** Crashes so far. */
  crashes = 0;
  leaving = false;
  incarnation = randomUUID();
  private readonly entries = new Map<string, Entry>();
  private readonly runs = new Map<string, Run>();
  private readonly activeRuns = new Set<Run>();
  private waitingRuns: Run[] = [];
  /** Run that is to be alone; until it comes back, no other one starts. */
  private drainingFor: {runId: string; until: number} | undefined;
  private readonly failedOrders: {orderId: string; reason: string}[] = [];
  private readonly seenOrders = new Set<string>();
  private readonly cache = new Map<string, Buffer>();
  private isCrashing = false;
  private highestEpoch = 0;
  private role = 'serve';

  constructor(private readonly options: EngineStandInOptions = {}) {
    this.server = new StandInServer(options);
    const {application} = this.server;
    application.get('/v1/state', (_request, response) => {
      response.json(this.state());
    });
    application.post('/v1/orders', (request, response) => {
      this.obey(orderSchema.parse(request.body), response);
    });
    application.post('/v1/runs', (request, response) => {
      this.run(runSchema.parse(request.body), response);
    });
    application.delete('/v1/runs/:runId', (request, response) => {
      const run = this.runs.get(request.params.runId);
      if (run !== undefined && !this.isFinished(run)) {
        run.cancelled = true;
        this.cancelledRuns++;
      }
      response.json({});
    });
    application.get('/v1/cache-events', (_request, response) => {
      response.json({events: []});
    });
    application.get('/v1/kv/:model/:prefix', (request, response) => {
      const {model, prefix} = request.params;
      const content = this.cache.get(`${model}/${prefix}`);
      if (content === undefined) {
        response.status(404).end();
        return;
      }
      response.send(content.toString('base64'));
    });
    application.put(
      '/v1/kv/:model/:prefix',
      express.text({type: () => true}),
      (request, response) => {
        const {model, prefix} = request.params;
        const content = Buffer.from(String(request.body), 'base64');
        this.cache.set(`${String(model)}/${String(prefix)}`, content);
        response.json({});
      },
    );
  }

  /** Memory of everything loaded, loading or unloading. */
  get usedMegabytes(): number {
    return [...this.entries.values()].reduce(
      (sum, entry) => sum + entry.memoryMegabytes,
      0,
    );
  }

  /** Replicas of a model or adapter that are loaded or loading; 0 or 1. */
  replicasOf(name: string): number {
    const entry = this.entries.get(name);
    return entry === undefined || entry.state === 'unloading' ? 0 : 1;
  }

  /** Names of loaded models and adapters. */
  get loadedNames(): string[] {
    return [...this.entries.values()]
      .filter(entry => entry.state === 'loaded')
      .map(entry => entry.name);
  }

  /** Forgets everything and starts again under a new incarnation. */
  async restart(): Promise<void> {
    await this.server.stop();
    this.entries.clear();
    this.runs.clear();
    this.activeRuns.clear();
    this.waitingRuns = [];
    this.drainingFor = undefined;
    this.seenOrders.clear();
    this.failedOrders.length = 0;
    this.highestEpoch = 0;
    this.incarnation = randomUUID();
    this.isCrashing = false;
    await this.server.start();
  }

  private state(): unknown {
    const now = performance.now();
    return {
      incarnation: this.incarnation,
      memoryMegabytes: this.options.memoryMegabytes ?? 80_000,
      highestEpoch: this.highestEpoch,
      leaving: this.leaving,
      role: this.role,
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
            : Math.min(
                0.99,
                (now - entry.startedAt) / entry.expectedMilliseconds,
              ),
      })),
      failedOrders: this.failedOrders,
      checkpoints: [...(this.options.tiers ?? [])].map(([name, tier]) => {
        return {name, version: '1', tier};
      }),
      load: {
        running: this.countActiveRuns(),
        queued: this.waitingRuns.length,
        ageMilliseconds: 0,
      },
    };
  }

  private countActiveRuns(): number {
    for (const run of this.activeRuns) {
      if (this.isFinished(run)) this.activeRuns.delete(run);
    }
    return this.activeRuns.size;
  }

  private obey(order: z.infer<typeof orderSchema>, response: Response): void {
    if (this.seenOrders.has(order.orderId)) {
      response.status(202).json({});
      return;
    }
    const refusal = this.refusalOf(order);
    if (refusal !== undefined) {
      const message = `Order ${order.orderId} is refused: ${refusal}`;
      response.status(409).json({code: refusal, message});
      return;
    }
    this.seenOrders.add(order.orderId);
    if (this.options.checksFencing) this.highestEpoch = order.epoch;
    this.ordersObeyed.push({
      orderId: order.orderId,
      epoch: order.epoch,
      kind: order.action.kind,
    });
    this.perform(order);
    response.status(202).json({});
  }

  private refusalOf(order: z.infer<typeof orderSchema>): string | undefined {
    if (this.options.checksFencing) {
      if (order.epoch < this.highestEpoch) return 'stale_epoch';
      if (Date.parse(order.notAfter) < Date.now()) return 'expired';
    }
    const {action} = order;
    if (action.kind === 'load_model' || action.kind === 'load_adapter') {
      if (this.leaving) return 'leaving';
      if (this.entries.has(action.name)) return 'already_present';
      const capacity = this.options.memoryMegabytes ?? 80_000;
      const {refusesOvercommit = true} = this.options;
      const needed = this.usedMegabytes + action.memoryMegabytes;
      if (refusesOvercommit && needed > capacity) {
        return 'no_memory';
      }
    }
    if (action.kind === 'load_adapter') {
      const base = this.entries.get(action.baseModel);
      if (base?.state !== 'loaded') return 'no_base_model';
    }
    return undefined;
  }

  private perform(order: z.infer<typeof orderSchema>): void {
    const {action} = order;
    switch (action.kind) {
      case 'load_model':
      case 'load_adapter':
        void this.load(order.orderId, action);
        break;
      case 'unload_model':
      case 'unload_adapter':
        this.unload(action.name);
        break;
      case 'change_role':
        this.role = action.role;
        break;
    }
  }

  private async load(
    orderId: string,
    action: Extract<
      z.infer<typeof actionSchema>,
      {kind: 'load_model' | 'load_adapter'}
    >,
  ): Promise<void> {
    const isModel = action.kind === 'load_model';
    const tier = this.options.tiers?.get(action.name) ?? 'remote';
    const milliseconds = isModel
      ? this.loadMilliseconds(tier)
      : (this.options.adapterLoadMilliseconds ?? 8);
    const entry: Entry = {
      kind: isModel ? 'model' : 'adapter',
      name: action.name,
      version: action.version,
      baseModel: isModel ? null : action.baseModel,
      memoryMegabytes: action.memoryMegabytes,
      orderId,
      startedAt: performance.now(),
      expectedMilliseconds: milliseconds,
      state: 'loading',
    };
    this.entries.set(action.name, entry);
    const {incarnation} = this;
    try {
      if (isModel && tier === 'remote') {
        await this.fetchWeights(action.name, milliseconds);
      } else {
        await new Promise(resolve => setTimeout(resolve, milliseconds));
      }
    } catch (error) {
      if (this.incarnation !== incarnation) return;
      this.entries.delete(action.name);
      this.failedOrders.push({orderId, reason: String(error)});
      return;
    }
    if (this.incarnation === incarnation && entry.state === 'loading') {
      entry.state = 'loaded';
    }
  }

  private loadMilliseconds(tier: CheckpointTier): number {
    switch (tier) {
      case 'memory':
        return this.options.memoryLoadMilliseconds ?? 60;
      case 'disk':
        return this.options.diskLoadMilliseconds ?? 300;
      case 'remote':
        return this.options.remoteLoadMilliseconds ?? 1000;
    }
  }

  private async fetchWeights(
    name: string,
    milliseconds: number,
  ): Promise<void> {
    const address = this.options.weightStoreAddress;
    if (address === undefined) return;
    await got.post(`${address}/fetch`, {
      json: {name, milliseconds},
      retry: {limit: 0},
    });
  }

  private unload(name: string): void {
    for (const entry of this.entries.values()) {
      if (entry.baseModel === name) this.entries.delete(entry.name);
    }
    this.entries.delete(name);
  }

  private run(request: z.infer<typeof runSchema>, response: Response): void {
    const {incarnation} = this;
    if (!request.resume && request.resumeFrom === 0) {
      const refusal = this.refuseRun(request);
      if (refusal !== undefined) {
        response.status(409).json({code: refusal, message: refusal});
        return;
      }
      this.add(request);
      this.startWaitingRuns();
      if (this.incarnation !== incarnation || this.isCrashing) return;
    }
    const run = this.runs.get(request.runId);
    if (run === undefined) {
      const code = 'unknown_run';
      response.status(409).json({code, message: code});
      return;
    }
    response.type('application/x-ndjson');
    const kind = run.startedAt === undefined ? 'queued' : 'started';
    writeLine(response, {kind, runId: run.runId, incarnation});
    this.stream(run, request.resumeFrom, response);
  }

  private refuseRun(request: z.infer<typeof runSchema>): string | undefined {
    const {model, adapter} = request.target;
    if (this.runs.has(request.runId)) return 'duplicate_run';
    if (this.entries.get(model)?.state !== 'loaded') return 'not_loaded';
    if (adapter !== null && this.entries.get(adapter)?.state !== 'loaded') {
      return 'not_loaded';
    }
    return request.alone ? this.refuseAlone(request.runId) : undefined;
  }

  /** A run that is to be alone is never queued: it starts, or it did not run. */
  private refuseAlone(runId: string): string | undefined {
    const now = performance.now();
    const isReserved =
      this.drainingFor !== undefined &&
      this.drainingFor.runId !== runId &&
      this.drainingFor.until > now;
    if (isReserved) return 'busy';
    if (this.countActiveRuns() === 0) {
      this.drainingFor = undefined;
      return undefined;
    }
    const until = now + DRAINING_MILLISECONDS;
    this.drainingFor = {runId, until};
    return 'busy';
  }

  private add(request: z.infer<typeof runSchema>): void {
    const input = JSON.stringify(request.input);
    const words = input.match(/[\p{L}\p{N}]+/gu) ?? [];
    const length = Math.min(
      request.maximumTokens,
      this.options.answerTokens ?? 16,
    );
    const tokens = Array.from({length}, (_unused, index) => {
      return `${words[index % Math.max(1, words.length)] ?? 'token'}-${index} `;
    });
    const run: Run = {
      runId: request.runId,
      input,
      tokens,
      promptTokens: words.length,
      alone: request.alone,
      crashes: this.crashesOn(request.input),
      startedAt: undefined,
      cancelled: false,
    };
    this.runs.set(run.runId, run);
    this.waitingRuns.push(run);
  }

  /** Starts runs in order of arrival, but none beside a run that is alone. */
  private startWaitingRuns(): void {
    while (this.waitingRuns.length > 0) {
      const run = this.waitingRuns[0]!;
      const isDraining =
        this.drainingFor !== undefined &&
        this.drainingFor.until > performance.now();
      this.countActiveRuns();
      const isOneAlone = [...this.activeRuns].some(other => other.alone);
      if (!run.cancelled && (isDraining || isOneAlone)) return;
      this.waitingRuns.shift();
      if (run.cancelled) continue;
      run.startedAt = performance.now();
      this.activeRuns.add(run);
      this.runsStarted.push(run.runId);
      this.inputsStarted.push(run.input);
      if (run.crashes) {
        this.crash();
        return;
      }
    }
  }

  private crashesOn(input: unknown): boolean {
    const {crashOn} = this.options;
    return crashOn !== undefined && JSON.stringify(input).includes(crashOn);
  }

  private crash(): void {
    this.crashes++;
    this.isCrashing = true;
    if (this.options.onCrash === undefined) {
      void this.restart();
    } else {
      this.options.onCrash();
    }
  }

  private stream(run: Run, from: number, response: Response): void {
    let index = from;
    let announced = run.startedAt !== undefined;
    const {incarnation} = this;
    const timer = setInterval(() => {
      if (
        response.destroyed ||
        run.cancelled ||
        this.isCrashing ||
        this.incarnation !== incarnation
      ) {
        clearInterval(timer);
        response.destroy();
        return;
      }
      if (this.server.faults.silent) return;
      if (run.startedAt === undefined) this.startWaitingRuns();
      if (run.startedAt === undefined) return;
      if (!announced) {
        announced = true;
        writeLine(response, {kind: 'started', runId: run.runId, incarnation});
      }
      while (index < this.generatedTokens(run)) {
        const text = run.tokens[index]!;
        writeLine(response, {kind: 'token', runId: run.runId, index, text});
        index++;
      }
      if (index < run.tokens.length) return;
      clearInterval(timer);
      writeLine(response, {
        kind: 'end',
        runId: run.runId,
        promptTokens: run.promptTokens,
        completionTokens: run.tokens.length,
        finishReason: 'stop',
      });
      response.end();
    }, this.options.tokenMilliseconds ?? 5);
  }

  private generatedTokens(run: Run): number {
    if (run.startedAt === undefined) return 0;
    const elapsed = performance.now() - run.startedAt;
    const generated = elapsed / (this.options.tokenMilliseconds ?? 5);
    return Math.min(run.tokens.length, Math.floor(generated));
  }

  private isFinished(run: Run): boolean {
    return run.cancelled || this.generatedTokens(run) >= run.tokens.length;
  }
}

function writeLine(response: Response, value: unknown): void {
  response.write(JSON.stringify(value) + '\n');
}
