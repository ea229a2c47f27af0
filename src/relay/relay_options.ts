import type {RouteIndex, TeamConfiguration} from '../deployment/mod.ts';
import type {EventLogger, Metrics} from '../observability/mod.ts';
import type {Clock} from '../time/mod.ts';
import type {WireFormat} from './wire_format.ts';
import type {EndpointSource} from './endpoint_source.ts';

/** Admits requests within the rates of teams. */
export interface RateLimiter {
  /**
   * Takes the cost of a request.
   *
   * @returns 0 when it was taken, else milliseconds until it may be there.
   */
  take(team: TeamConfiguration, cost: number): number;
}

/** Bounds the requests that are sent again. */
export interface RetryBudget {
  /** Counts a request that is sent for the first time. */
  recordRequest(service: string): void;
  /** Takes one repeated sending; false when none is left. */
  tryConsume(service: string): boolean;
}

/** Keeps requests away from endpoints that they have crashed before. */
export interface CrashGuard {
  /** Whether the request may run. */
  allows(fingerprint: string): boolean;
  /** Notes that the endpoint broke off while it ran the request. */
  recordCrash(fingerprint: string, incarnation: string): void;
}

/** Options of {@link RequestRelay}. */
export interface RequestRelayOptions {
  clock: Clock;
  logger: EventLogger;
  metrics: Metrics;
  wireFormat: WireFormat;
  /** Configuration in force; undefined until one is known. */
  routes: () => RouteIndex | undefined;
  endpoints: EndpointSource;
  rateLimiter: RateLimiter;
  retryBudget: RetryBudget;
  crashGuard: CrashGuard;
  /** Whether connections are closed after their answer. */
  isDraining: () => boolean;
  /** Whether new requests are refused because the host stops soon. */
  refusesNewRequests: () => boolean;
  /** Returns a number in [0, 1). */
  random: () => number;
}
