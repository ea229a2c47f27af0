import type {RunPriority} from '../endpoints/mod.ts';
import type {RequestError} from '../errors/mod.ts';
import type {JsonValue} from '../stores/mod.ts';

/** A caller's request to a model or adapter. */
export interface ModelRequest {
  readonly requestId: string;
  /** Value of the `Authorization` header. */
  readonly authorization: string | undefined;
  /** Model or adapter, as the caller named it. */
  readonly model: string;
  readonly operation: 'chat' | 'completion';
  /** Messages of a chat, or the prompt of a completion. */
  readonly input: JsonValue;
  readonly maximumTokens: number;
  /** Sampling parameters, passed through. */
  readonly parameters: JsonValue;
  readonly priority: RunPriority;
  /** Time-out for the complete response. */
  readonly timeoutMilliseconds: number;
  readonly idempotencyKey: string | undefined;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** An event of a response. Exactly one `end` or `failed` comes last. */
export type ModelEvent =
  | {
      readonly kind: 'accepted';
      readonly requestId: string;
      readonly team: string;
    }
  | {readonly kind: 'token'; readonly index: number; readonly text: string}
  | {
      readonly kind: 'end';
      readonly promptTokens: number;
      readonly completionTokens: number;
      readonly finishReason: 'stop' | 'length';
    }
  | {readonly kind: 'failed'; readonly error: RequestError};
