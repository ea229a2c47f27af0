import type {CheckpointTier} from '../contracts/mod.ts';
import type {Result} from '../errors/mod.ts';
import type {JsonValue} from '../stores/mod.ts';
import type {EndpointError} from './endpoint_error.ts';

/** The model of a run, and the adapter applied to it, if any. */
export interface RunTarget {
  readonly model: string;
  readonly adapter: string | null;
}

/** Run priorities that engines support. */
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
  /** Whether to resume reading a run that was sent before, without starting one. */
  readonly resume: boolean;
  /** Index of the first token to send; 0 unless a run is resumed. */
  readonly resumeFrom: number;
  /**
   * Whether the run must be the only one on the engine. A busy engine rejects
   * such a run with code `busy` and never queues it.
   */
  readonly alone: boolean;
}

/** An event of a run, in order. A run ends with `end` or `failed`. */
export type EngineEvent =
  /** The engine has queued the run. */
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

/** Action that an order requests of an engine. */
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

/** An order from the holder of a pool's lease. */
export interface EngineOrder {
  /** Unique id; an engine executes each order at most once. */
  readonly orderId: string;
  /** Lease epoch, used as fencing token. */
  readonly epoch: number;
  /** Wall-clock time after which the engine must not start the action. */
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
  /** Order that led to the current state. */
  readonly orderId: string;
  /** Completed share of a load, 0 to 1. */
  readonly progress: number;
}

/** State that an engine reports about itself. */
export interface EngineState {
  /** Identifies one incarnation of the engine's process. */
  readonly incarnation: string;
  readonly memoryMegabytes: number;
  /** Highest accepted epoch; 0 for engines that do not check epochs. */
  readonly highestEpoch: number;
  readonly leaving: boolean;
  readonly role: string;
  readonly entries: readonly EngineEntry[];
  /** Failed orders, with the reason. */
  readonly failedOrders: readonly {
    readonly orderId: string;
    readonly reason: string;
  }[];
  /** Checkpoints cached in a tier faster than the weight store. */
  readonly checkpoints: readonly {
    readonly name: string;
    readonly version: string;
    readonly tier: CheckpointTier;
  }[];
  /** Load report; may be out of date by `ageMilliseconds`. */
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
  /** Maximum time without an event. @default the client's */
  progressMilliseconds?: number;
  /** Whether to open a new connection for this run alone. @default false */
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
  /** Reads the engine's state, including its load report. */
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
  /** Closes all connections. */
  close(): void;
}
