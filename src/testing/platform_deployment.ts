import type {EntrySettings} from '../entry/mod.ts';

/** A key of the only team of {@link platformConfiguration}. */
export const PLATFORM_KEY = 'key-of-the-only-team';

/** Options of {@link platformConfiguration}. */
export interface PlatformConfigurationOptions {
  version?: number;
  keys?: readonly string[];
  /** Tokens a second of the team; 0 for no limit. @default 0 */
  rate?: number;
  burst?: number;
  models?: readonly string[];
  timeoutMilliseconds?: number;
  /** Connections of each endpoint, from all hosts. @default 100 */
  connectionLimit?: number;
}

/** A configuration as the operator writes it, with one service of each kind. */
export function platformConfiguration(
  options: PlatformConfigurationOptions = {},
) {
  const common = {
    host: 'api.example',
    timeout_ms: options.timeoutMilliseconds ?? 3000,
    target_latency_ms: 200,
    priority: 1,
    public: false,
    session_affinity: false,
    resumable: false,
  };
  return {
    version: options.version ?? 1,
    routes: [
      {
        ...common,
        name: 'look',
        prefix: '/look/',
        kind: 'idempotent',
        service: 'plain',
        max_attempts: 2,
      },
      {
        ...common,
        name: 'order',
        prefix: '/order/',
        kind: 'non_idempotent',
        service: 'plain',
        max_attempts: 1,
      },
      {
        ...common,
        name: 'open',
        prefix: '/open/',
        kind: 'idempotent',
        service: 'plain',
        max_attempts: 1,
        public: true,
      },
      {
        ...common,
        name: 'chat',
        prefix: '/chat/',
        kind: 'streaming',
        service: 'engines',
        max_attempts: 1,
        gap_target_ms: 200,
      },
      {
        ...common,
        name: 'draft',
        prefix: '/draft/',
        kind: 'streaming',
        service: 'engines',
        max_attempts: 2,
        gap_target_ms: 200,
        resumable: true,
      },
    ],
    services: [
      {
        name: 'plain',
        health_path: '/health',
        connection_limit: options.connectionLimit ?? 100,
      },
      {
        name: 'engines',
        health_path: '/health',
        connection_limit: options.connectionLimit ?? 100,
        engine: {
          slots: 4,
          kv_cache_tokens: 10_000,
          weights_mb: 200,
          adapter_capacity: 2,
          loads_per_s: 4,
          host_mb: 200,
          disk_mb: 1000,
          models: (options.models ?? ['model-a', 'model-b', 'model-c']).map(
            name => ({
              name,
              weights_mb: 90,
              load_time_s: 0.05,
              adapters: 3,
              adapter_mb: 1,
              warm_s: 0.01,
              disk_s: 0.02,
            }),
          ),
        },
      },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 100_000,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
    },
    tenants: [
      {
        name: 'workshop',
        api_keys: options.keys ?? [PLATFORM_KEY],
        priority: 1,
        unit: 'tokens',
        plain_tokens: 10,
        rate_per_s: options.rate ?? 0,
        burst: options.burst ?? 0,
      },
    ],
  };
}

/** Settings of an entry host on free loopback ports. */
export function entrySettings(
  hostId: string,
  store: string,
  ports: {callers: number; readiness: number; directory: number; peers: number},
): EntrySettings {
  return {
    hostId,
    dataCentre: 'zone-a',
    address: '127.0.0.1',
    callers: `127.0.0.1:${ports.callers}`,
    readiness: `127.0.0.1:${ports.readiness}`,
    directory: `127.0.0.1:${ports.directory}`,
    peerPort: ports.peers,
    metricsPort: 0,
    isFirstStart: true,
    registrationMilliseconds: 0,
    store,
    storeTimeoutMilliseconds: 500,
    graceSeconds: 3,
    addressLifetimeMilliseconds: 100,
    orderTurnMilliseconds: 200,
    agreements: [],
    drainMilliseconds: 2000,
    configurationMilliseconds: 2000,
    processor: {share: 1, speed: 1},
    memoryMegabytes: 350,
    linkMegabits: 1000,
    retries: {ratio: 0.2, slack: 56, windowSeconds: 10},
    coldEngines: {overrun: 1.5, slack: 5},
    log: {servedLinesPerSecond: 100, otherLinesPerSecond: 1000},
  };
}
