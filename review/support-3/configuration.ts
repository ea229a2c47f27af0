import type {ModelSizes} from './server.ts';

/** Key of the only tenant. */
export const KEY = 'key-of-the-only-tenant';

/** Service of the plain servers. */
export const PLAIN_SERVICE = 'ledger';

/** Service of the engines. */
export const ENGINE_SERVICE = 'models';

/** Options of {@link configuration}. */
export interface ConfigurationOptions {
  readonly sizes?: ReadonlyMap<string, ModelSizes>;
  readonly adapters?: number;
  readonly weightsMegabytes?: number;
  readonly adapterCapacity?: number;
}

/** A configuration as the operator writes it. */
export function configuration(options: ConfigurationOptions = {}): object {
  const {sizes, adapters = 0} = options;
  const common = {
    host: 'api.example',
    priority: 1,
    public: false,
    session_affinity: false,
    resumable: false,
  };
  return {
    version: 3,
    routes: [
      {
        ...common,
        name: 'assign',
        prefix: '/assign/',
        kind: 'non_idempotent',
        service: PLAIN_SERVICE,
        timeout_ms: 1500,
        target_latency_ms: 386,
        max_attempts: 1,
      },
      {
        ...common,
        name: 'chat',
        prefix: '/chat/',
        kind: 'streaming',
        service: ENGINE_SERVICE,
        timeout_ms: 12_000,
        target_latency_ms: 300,
        gap_target_ms: 300,
        max_attempts: 1,
        session_affinity: true,
      },
      {
        ...common,
        name: 'draft',
        prefix: '/draft/',
        kind: 'streaming',
        service: ENGINE_SERVICE,
        timeout_ms: 20_000,
        target_latency_ms: 2000,
        gap_target_ms: 300,
        max_attempts: 2,
        resumable: true,
        session_affinity: true,
      },
    ],
    services: [
      {
        name: PLAIN_SERVICE,
        health_path: '/health',
        connection_limit: 110,
      },
      ...(sizes === undefined
        ? []
        : [
            {
              name: ENGINE_SERVICE,
              health_path: '/health',
              connection_limit: 370,
              engine: {
                slots: 64,
                kv_cache_tokens: 76_743,
                weights_mb: options.weightsMegabytes,
                adapter_capacity: options.adapterCapacity,
                loads_per_s: 5.5,
                host_mb: 140_000,
                disk_mb: 710_000,
                models: [...sizes].map(([name, size]) => ({
                  name,
                  weights_mb: size.megabytes,
                  load_time_s: 7.8,
                  adapters,
                  adapter_mb: size.adapterMegabytes,
                  warm_s: 0.2,
                  disk_s: 0.4,
                })),
              },
            },
          ]),
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
    },
    tenants: [
      {
        name: 'workshop',
        api_keys: [KEY],
        priority: 1,
        unit: 'tokens',
        plain_tokens: 200,
        rate_per_s: 0,
        burst: 0,
      },
    ],
  };
}
