/** Key of the only tenant. */
export const KEY = 'i9n73hh2b9wu3fexd9dn';

/** Model that chats ask for. */
export const BUSY_MODEL = 'daka510000';

/** Model that only quote drafts ask for. */
export const RARE_MODEL = 'rada7437b5';

/** Host name of all routes. */
export const HOST_NAME = 'ficu95.example';

/** Time-out of the routes of the plain service in milliseconds, as for `sample-order`. */
export const ORDER_TIMEOUT_MILLISECONDS = 1000;

const COMMON = {host: HOST_NAME, public: false, session_affinity: false};

/** A configuration with the routes, time-outs and limits of the site kaplama-ist. */
export function kaplamaConfiguration() {
  return {
    version: 7,
    routes: [
      {
        ...COMMON,
        name: 'grain-chat',
        prefix: '/chat/',
        kind: 'streaming',
        timeout_ms: 12_000,
        target_latency_ms: 250,
        priority: 1,
        service: 'dil-model',
        max_attempts: 1,
        session_affinity: true,
        resumable: false,
        gap_target_ms: 250,
      },
      {
        ...COMMON,
        name: 'quote-draft',
        prefix: '/draft/',
        kind: 'streaming',
        timeout_ms: 25_000,
        target_latency_ms: 2500,
        priority: 0,
        service: 'dil-model',
        max_attempts: 2,
        session_affinity: true,
        resumable: true,
        gap_target_ms: 250,
      },
      {
        ...COMMON,
        name: 'species-tag',
        prefix: '/tag/',
        kind: 'streaming',
        timeout_ms: 3000,
        target_latency_ms: 400,
        priority: 2,
        service: 'dil-model',
        max_attempts: 1,
        session_affinity: true,
        resumable: false,
        gap_target_ms: 250,
      },
      {
        ...COMMON,
        name: 'sample-order',
        prefix: '/order/',
        kind: 'non_idempotent',
        timeout_ms: ORDER_TIMEOUT_MILLISECONDS,
        target_latency_ms: 193,
        priority: 2,
        service: 'katalog-app',
        max_attempts: 1,
        resumable: false,
      },
      {
        ...COMMON,
        name: 'stock-look',
        prefix: '/look/',
        kind: 'idempotent',
        timeout_ms: ORDER_TIMEOUT_MILLISECONDS,
        target_latency_ms: 193,
        priority: 2,
        service: 'katalog-app',
        max_attempts: 2,
        resumable: false,
      },
    ],
    services: [
      {
        name: 'dil-model',
        health_path: '/health',
        connection_limit: 370,
        engine: {
          slots: 64,
          kv_cache_tokens: 167_977,
          weights_mb: 200_000,
          adapter_capacity: 8,
          loads_per_s: 3.3,
          host_mb: 140_000,
          disk_mb: 1_200_000,
          models: [BUSY_MODEL, RARE_MODEL].map(name => ({
            name,
            weights_mb: 72_700,
            load_time_s: 6,
            adapters: 32,
            adapter_mb: 66,
            warm_s: 0.63,
            disk_s: 0.84,
          })),
        },
      },
      {name: 'katalog-app', health_path: '/health', connection_limit: 110},
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
    },
    tenants: [
      {
        name: 'hule930',
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
