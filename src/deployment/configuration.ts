/** What may be repeated when a request fails. */
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
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  readonly timeoutMilliseconds: number;
  /** Time within which an answer is worth most. */
  readonly objectiveMilliseconds: number;
  /** Rank of the route; 0 is most urgent. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Most endpoints that may run one request. */
  readonly maximumAttempts: number;
  /** Requests need no key. */
  readonly open: boolean;
  /** Time without an answer or event after which callers leave. */
  readonly callerTimeoutMilliseconds: number;
  /** A broken stream may go on at another endpoint. */
  readonly resumable: boolean;
}

/** A model as the operator describes it. */
export interface ModelConfiguration {
  readonly name: string;
  readonly weightsMegabytes: number;
  readonly adapterMegabytes: number;
  /** Load from the weight store, when no copy is near. */
  readonly remoteLoadMilliseconds: number;
  /** Load from the engine's disk. */
  readonly diskLoadMilliseconds: number;
  /** Load from the engine's main memory. */
  readonly memoryLoadMilliseconds: number;
}

/** Limits of the engines of one service. */
export interface EnginePoolConfiguration {
  readonly slots: number;
  /** Accelerator memory for weights and adapters of one engine. */
  readonly weightsMegabytes: number;
  readonly adapterCapacity: number;
  /** Loads from the weight store that may start a second, over all engines. */
  readonly loadsPerSecond: number;
  readonly models: ReadonlyMap<string, ModelConfiguration>;
}

/** A service to which requests are routed. */
export interface ServiceConfiguration {
  readonly name: string;
  /** Connections that one endpoint accepts from all hosts together. */
  readonly connectionLimit: number;
  /** Present when the endpoints are model engines. */
  readonly engines: EnginePoolConfiguration | undefined;
}

/** A team with its keys and its rate. */
export interface TeamConfiguration {
  readonly name: string;
  readonly keys: readonly string[];
  /** Goes before the priority of a route; undefined when the team has none. */
  readonly priority: number | undefined;
  /** What the rate counts. */
  readonly unit: 'tokens' | 'requests';
  /** Tokens of a request that states none. */
  readonly defaultTokens: number;
  /** 0 means no limit. */
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** What callers may send, and how long they may take. */
export interface CallerLimits {
  readonly bodyBytes: number;
  readonly headerMilliseconds: number;
  readonly idleMilliseconds: number;
}

/** Everything that the operator has put in force, at one version. */
export interface DeploymentConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, ServiceConfiguration>;
  readonly limits: CallerLimits;
  /** Undefined when the deployment has no teams: keys are then not checked. */
  readonly teams: readonly TeamConfiguration[] | undefined;
}
