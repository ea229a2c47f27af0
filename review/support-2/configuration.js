/** The operator's configuration of a small deployment, in the form of the wire page. */

export const HOST_NAME = 'ficu95.example';
export const KEY = 'i9n73hh2b9wu3fexd9dn';

const LIMITS = {
  max_header_bytes: 16_384,
  max_body_bytes: 4_194_304,
  header_timeout_ms: 3000,
  idle_timeout_ms: 15_000,
};

const TENANT = {
  name: 'hule930',
  api_keys: [KEY],
  priority: 1,
  unit: 'tokens',
  plain_tokens: 200,
  rate_per_s: 0,
  burst: 0,
};

/** A pool of model engines, with all models on the disks of the engines. */
export function modelConfiguration({models, route}) {
  return {
    version: 1,
    limits: LIMITS,
    tenants: [TENANT],
    routes: [
      {
        name: 'r-chat',
        host: HOST_NAME,
        prefix: '/lohu930/',
        kind: 'streaming',
        timeout_ms: 12_000,
        target_latency_ms: 250,
        priority: 1,
        service: 'dil-model',
        max_attempts: 1,
        public: false,
        session_affinity: true,
        resumable: false,
        gap_target_ms: 250,
        ...route,
      },
    ],
    services: [
      {
        name: 'dil-model',
        health_path: '/health',
        connection_limit: 370,
        protocol: 'h1',
        tls: false,
        engine: {
          slots: 64,
          kv_cache_tokens: 167_977,
          weights_mb: 200_000,
          adapter_capacity: 8,
          loads_per_s: 3.3,
          models: models.map(name => ({
            name,
            weights_mb: 72_700,
            load_time_s: 6,
            adapters: 0,
            adapter_mb: 66,
            warm_s: 0.63,
            disk_s: 0.84,
          })),
        },
      },
    ],
  };
}

/** A plain service with one route whose requests may run at most once. */
export function orderConfiguration(connectionLimit) {
  return {
    version: 1,
    limits: LIMITS,
    tenants: [TENANT],
    routes: [
      {
        name: 'r-order',
        host: HOST_NAME,
        prefix: '/puxa403/',
        kind: 'non_idempotent',
        timeout_ms: 1000,
        target_latency_ms: 193,
        priority: 2,
        service: 'katalog-app',
        max_attempts: 1,
        public: false,
      },
    ],
    services: [
      {
        name: 'katalog-app',
        health_path: '/health',
        connection_limit: connectionLimit,
        protocol: 'h1',
        tls: false,
      },
    ],
  };
}
