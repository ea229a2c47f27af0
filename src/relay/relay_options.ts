import type {ByteBudget} from '../bytes/mod.ts';
import type {RouteIndex, TeamConfiguration} from '../deployment/mod.ts';
import type {EventLogger, Metrics} from '../observability/mod.ts';
import type {StreamOrigins} from '../streams/mod.ts';
import type {Clock} from '../time/mod.ts';
import type {DispatchWindow} from './dispatch_window.ts';
import type {RunDurations} from './run_durations.ts';
import type {WireFormat} from './wire_format.ts';
import type {PromptPartGuard} from './prompt_part_guard.ts';
import type {EndpointSource} from './endpoint_source.ts';

/** Admits requests within the rate limits of teams. */
export interface RateLimiter {
  /**
   * Takes the cost of a request from the budget of a team.
   *
   * @returns 0 if the request is admitted, else the milliseconds to wait.
   */
  take(team: TeamConfiguration, cost: number): number;
  /**
   * Returns the cost of a request that no endpoint has run.
   *
   * @param takenAt Monotonic time at which it was taken.
   */
  refund?(team: TeamConfiguration, cost: number, takenAt: number): void;
}

/** Limits retries. */
export interface RetryBudget {
  /** Counts a first attempt, which adds to the budget. */
  recordRequest(service: string): void;
  /** Consumes one retry; false if the budget is used up. */
  tryConsume(service: string): boolean;
}

/** Blocks requests that have crashed endpoints. */
export interface CrashGuard {
  /** Whether the request may run. */
  allows(fingerprint: string): boolean;
  /** Records that an endpoint crashed or broke the connection during a request. */
  recordCrash(fingerprint: string, incarnation: string): void;
}

/** Options of {@link RequestRelay}. */
export interface RequestRelayOptions {
  clock: Clock;
  logger: EventLogger;
  metrics: Metrics;
  /** Limits the bytes of bodies that are held. */
  byteBudget: ByteBudget;
  wireFormat: WireFormat;
  /** Index of the current configuration; undefined until one is known. */
  routes: () => RouteIndex | undefined;
  endpoints: EndpointSource;
  rateLimiter: RateLimiter;
  retryBudget: RetryBudget;
  crashGuard: CrashGuard;
  promptParts: PromptPartGuard;
  /** Whether connections are closed after their response. */
  isDraining: () => boolean;
  /** Software versions at which streams have begun. */
  streamOrigins: Pick<StreamOrigins, 'begin' | 'beginLimit' | 'find'>;
  /** Until when requests are sent to endpoints. */
  dispatchWindow: DispatchWindow;
  runDurations: RunDurations;
  /** Durations from the dispatch of a stream to its first event. */
  firstEventDurations: Pick<RunDurations, 'record'>;
  /** Recent delay of the event loop of this host, in milliseconds. */
  eventLoopDelay: () => number;
  /** Returns a number in [0, 1). */
  random: () => number;
}
