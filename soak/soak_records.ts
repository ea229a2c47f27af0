/** Kinds of requests that the callers of a soak send. */
export const REQUEST_KINDS = ['look', 'order', 'chat', 'draft'] as const;

/** One of {@link REQUEST_KINDS}. */
export type RequestKind = (typeof REQUEST_KINDS)[number];

/** Kinds whose requests may run more than once. */
export const REPEATABLE_KINDS: ReadonlySet<RequestKind> = new Set([
  'look',
  'draft',
]);

/** A request as its caller has seen it. Times are monotonic milliseconds. */
export interface SentRequest {
  readonly id: string;
  readonly kind: RequestKind;
  /** Model that a stream asked for. */
  readonly model?: string;
  readonly host: string;
  readonly key: string;
  readonly sentAt: number;
  readonly endedAt: number;
  /** Status of the answer; undefined if there was none. */
  readonly status: number | undefined;
  /** Id in the answer. */
  readonly answeredId: string | undefined;
  readonly body: string;
  /** Whether the connection ended before the answer did. */
  readonly isBroken: boolean;
  /** Whether the caller gave up or left. */
  readonly hasTimedOut: boolean;
  /** Last event of earlier tries, after which the stream goes on. @default 0 */
  readonly afterEvent?: number;
  /** Id of the try that brought the first event. */
  readonly resumes?: string;
}

/** An order as an engine has seen it. */
export interface ArrivedOrder {
  /** Process of the engine. */
  readonly engine: string;
  readonly holder: string;
  readonly token: number;
  readonly at: number;
}

/** A fault. Times are monotonic milliseconds. */
export interface Disruption {
  readonly kind: string;
  /** Host or endpoint; undefined for the store. */
  readonly target: string | undefined;
  readonly from: number;
  to: number;
}

/** What was seen in a soak. */
export interface SoakRecords {
  readonly requests: readonly SentRequest[];
  /** Number of runs by the id of the request. */
  readonly runs: ReadonlyMap<string, number>;
  readonly orders: readonly ArrivedOrder[];
  readonly disruptions: readonly Disruption[];
  /** Times at which keys were withdrawn for good. */
  readonly withdrawals: ReadonlyMap<string, number>;
}
