/** Kind of a route; decides which failed requests may be retried. */
export type RouteKind = 'idempotent' | 'non_idempotent' | 'streaming';

/** One destination of a route and its share of the requests. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** A route from a host name and path prefix to a service. */
export interface Route {
  readonly name: string;
  readonly hostName: string;
  /** Path prefix; begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  readonly timeoutMilliseconds: number;
  /** Latency objective: a response within this time has its full value. */
  readonly objectiveMilliseconds: number;
  /** Priority of the route; 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Maximum number of endpoints that may be tried for one request. */
  readonly maximumAttempts: number;
  /** Whether requests need no API key. */
  readonly open: boolean;
  /** Time without a response or event after which callers disconnect. */
  readonly callerTimeoutMilliseconds: number;
  /** Whether an interrupted stream may be resumed at another endpoint. */
  readonly resumable: boolean;
}

/** Configuration of a model; load times are expected values. */
export interface ModelConfiguration {
  readonly name: string;
  readonly weightsMegabytes: number;
  readonly adapterMegabytes: number;
  /** Load time from the weight store, if the engine has no local copy. */
  readonly remoteLoadMilliseconds: number;
  /** Load time from the engine's disk. */
  readonly diskLoadMilliseconds: number;
  /** Load time from the engine's main memory. */
  readonly memoryLoadMilliseconds: number;
}

/** Configuration of the engines of one service and their models. */
export interface EnginePoolConfiguration {
  readonly slots: number;
  /** Accelerator memory per engine for weights and adapters. */
  readonly weightsMegabytes: number;
  readonly adapterCapacity: number;
  /**
   * Loads from the weight store that may start per second, over all engines.
   */
  readonly loadsPerSecond: number;
  readonly models: ReadonlyMap<string, ModelConfiguration>;
}

/** How many requests a process of a service takes soon after its start. */
export interface ColdStartConfiguration {
  /** Time for which a process is cold after its start. */
  readonly durationMilliseconds: number;
  /** Requests a second from all hosts that a cold process takes; more than 0. */
  readonly requestsPerSecond: number;
}

/** Configuration of a service to which requests are routed. */
export interface ServiceConfiguration {
  readonly name: string;
  /** Maximum connections that one endpoint accepts, summed over all hosts. */
  readonly connectionLimit: number;
  /** Defined if the endpoints are model engines. */
  readonly engines: EnginePoolConfiguration | undefined;
  /** Undefined if its endpoints take any number of requests from their start. */
  readonly coldStart: ColdStartConfiguration | undefined;
}

/** Configuration of a team: its API keys and rate limit. */
export interface TeamConfiguration {
  readonly name: string;
  readonly keys: readonly string[];
  /** Overrides the priority of the route; undefined if the team has none. */
  readonly priority: number | undefined;
  /** Unit of the rate limit. */
  readonly unit: 'tokens' | 'requests';
  /** Tokens assumed for a request that states no number. */
  readonly defaultTokens: number;
  /** Rate limit in units per second; 0 means no limit. */
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** Limits for callers' requests and connections. */
export interface CallerLimits {
  readonly bodyBytes: number;
  readonly headerMilliseconds: number;
  readonly idleMilliseconds: number;
}

/** One version of the operator's configuration. */
export interface DeploymentConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, ServiceConfiguration>;
  readonly limits: CallerLimits;
  /**
   * Undefined if the deployment has no teams; API keys are then not checked.
   */
  readonly teams: readonly TeamConfiguration[] | undefined;
}
