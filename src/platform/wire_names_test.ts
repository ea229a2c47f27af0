import {readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import {expect, test} from 'vitest';

const SOURCE = new URL('..', import.meta.url).pathname;

/** Names of the platform's wire protocol that have no other use in this project. */
const WIRE_NAMES = [
  '/limpetdale/',
  'Server-Signature',
  'Not-Executed',
  'Expect-Instance',
  'Request-Priority',
  'Prompt-Prefix',
  'Token-Usage',
  'X-Api-Key',
  'Cold-Ms',
  'api_keys',
  'cold_per_s',
  'cold_remaining_ms',
  'cold_start_s',
  'evacuate/',
  'fencing_token',
  'if_revision',
  'kv_cache',
  'max_attempts',
  'plain_tokens',
  'rate_per_s',
  'schema_version',
  'set_keys',
  'target_latency_ms',
  'traffic_split',
  'ttl_s',
  'weights_mb',
] as const;

/** The platform's stand-ins and the tests may use its names as well. */
const ALLOWED = /^(platform\/|testing\/platform_|.*_test\.ts$)/;

// Guards against names of the platform's wire protocol outside its adapter.
test.each(WIRE_NAMES)('only src/platform uses "%s"', name => {
  const files = readdirSync(SOURCE, {recursive: true, encoding: 'utf8'})
    .filter(file => file.endsWith('.ts') && !ALLOWED.test(file))
    .filter(file => readFileSync(join(SOURCE, file), 'utf8').includes(name));
  expect(files).toEqual([]);
});
