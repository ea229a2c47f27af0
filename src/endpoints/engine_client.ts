import type {CheckpointTier} from '../contracts/mod.ts';
import type {Result} from '../errors/mod.ts';
import type {JsonValue} from '../stores/mod.ts';
import type {EndpointError} from './endpoint_error.ts';

/** What a run uses: a model, and an adapter on top of it or none. */
export interface RunTarget {
  readonly model: string;
  readonly adapter: string | null;
}

/** Priorities that engines honour. */
export const RUN_PRIORITIES = {
  interactive: 'interactive',
  batch: 'batch',
} as const;

/** One of {@link RUN_PRIORITIES}. */
export type RunPriority = (typeof RUN_PRIORITIES)[keyof typeof RUN_PRIORITIES];

/** A request to generate tokens. */
export interface EngineRunRequest {
  /** Unique id of the run; events of other runs are discarded. */
  readonly runId: string;
  readonly target: RunTarget;
  readonly operation: 'chat' | 'completion';
  /** Messages of a chat, or the prompt of a completion. */
  readonly input: JsonValue;
  readonly maximumTokens: number;
  /** Sampling parameters, passed through. */
  readonly parameters: JsonValue;
  readonly priority: RunPriority;
  /** Whether to read on from a run that was sent before, and not to start one. */
  readonly resume: boolean;
  /** Index of the first token wanted; 0 unless a run is resumed. */
  readonly resumeFrom: number;
  /**
   * Whether nothing else may run beside it on the engine. A busy engine answers
   * with the rejection `busy` and never queues such a run.
   */
  readonly alone: boolean;
}

/** An event of a run, in order. A run ends with `end` or `failed`. */
export type EngineEvent =
  /** The engine has the run, and makes it wait for others. */
  | {readonly kind: 'queued'; readonly incarnation?: string | undefined}
  /** The run is being executed, possibly in one batch with others. */
  | {readonly kind: 'started'; readonly incarnation?: string | undefined}
  | {readonly kind: 'token'; readonly index: number; readonly text: string}
  | {
      readonly kind: 'end';
      readonly promptTokens: number;
      readonly completionTokens: number;
      readonly finishReason: 'stop' | 'length';
    }
  | {readonly kind: 'failed'; readonly error: EndpointError};

/** Something an engine is told to do. */
export type EngineAction =
  | {
      readonly kind: 'load_model';
      readonly name: string;
      readonly version: string;
      readonly memoryMegabytes: number;
    }
  | {readonly kind: 'unload_model'; readonly name: string}
  | {
      readonly kind: 'load_adapter';
      readonly name: string;
      readonly version: string;
      readonly baseModel: string;
      readonly memoryMegabytes: number;
    }
  | {readonly kind: 'unload_adapter'; readonly name: string}
  | {readonly kind: 'change_role'; readonly role: string};

/** An order of a pool's lease holder. */
export interface EngineOrder {
  /** Unique id; an engine obeys one order once. */
  readonly orderId: string;
  /** Lease epoch, the fencing number. */
  readonly epoch: number;
  /** Wall-clock time after which the engine must not start it. */
  readonly notAfter: string;
  readonly action: EngineAction;
}

/** A model or adapter on an engine. */
export interface EngineEntry {
  readonly kind: 'model' | 'adapter';
  readonly name: string;
  readonly version: string;
  readonly state: 'loading' | 'loaded' | 'unloading';
  readonly memoryMegabytes: number;
  /** Order that caused the state. */
  readonly orderId: string;
  /** Share of a load that is done, 0 to 1. */
  readonly progress: number;
}

/** What an engine says about itself. */
export interface EngineState {
  /** Identifies one run of the engine's process. */
  readonly incarnation: string;
  readonly memoryMegabytes: number;
  /** Highest epoch obeyed; 0 for engines that do not check. */
  readonly highestEpoch: number;
  readonly leaving: boolean;
  readonly role: string;
  readonly entries: readonly EngineEntry[];
  /** Orders that failed, with the reason. */
  readonly failedOrders: readonly {
    readonly orderId: string;
    readonly reason: string;
  }[];
  /** Checkpoints held closer than the weight store. */
  readonly checkpoints: readonly {
    readonly name: string;
    readonly version: string;
    readonly tier: CheckpointTier;
  }[];
  /** Load report; it lags behind. */
  readonly load: {
    readonly running: number;
    readonly queued: number;
    readonly ageMilliseconds: number;
  };
}

/** A cached prompt prefix that appeared or was evicted. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: 'stored' | 'evicted';
  readonly model: string;
  readonly prefix: string;
}

/** Options of `EngineClient.run`. */
export interface RunOptions {
  /** Longest time without an event. @default that of the client */
  progressMilliseconds?: number;
  /** Sends on a connection that was opened for this run alone. @default false */
  freshConnection?: boolean;
}

/** Exchanges with one engine. Each wire protocol has one implementation. */
export interface EngineClient {
  /** Runs a request; the last event is `end` or `failed`. */
  run(
    request: EngineRunRequest,
    signal: AbortSignal,
    options?: RunOptions,
  ): AsyncGenerator<EngineEvent, void, undefined>;
  /** Cancels a run. */
  cancel(runId: string): Promise<Result<undefined, EndpointError>>;
  /** Sends an order; success means that the engine has accepted it. */
  order(order: EngineOrder): Promise<Result<undefined, EndpointError>>;
  /** Reads the engine's listing and load report. */
  state(
    options?: Pick<RunOptions, 'progressMilliseconds'>,
  ): Promise<Result<EngineState, EndpointError>>;
  /** Reads cache events after a sequence number; there may be gaps. */
  cacheEvents(
    afterSequence: number,
  ): Promise<Result<readonly CacheEvent[], EndpointError>>;
  /** Exports the KV cache of a prompt prefix; undefined when it is not held. */
  exportCache(
    model: string,
    prefix: string,
  ): Promise<Result<Uint8Array | undefined, EndpointError>>;
  /** Imports the KV cache of a prompt prefix. */
  importCache(
    model: string,
    prefix: string,
    content: Uint8Array,
  ): Promise<Result<undefined, EndpointError>>;
  /** Ends idle connections. */
  close(): void;
}
