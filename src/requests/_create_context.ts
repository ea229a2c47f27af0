import {CircuitBreakers} from './circuit_breakers.ts';
import {ClaimStore} from './claim_store.ts';
import type {RequestContext} from './request_context.ts';
import {PoolAdmission} from './pool_admission.ts';
import {
  DEFAULT_MAXIMUM_OUTCOME_BYTES,
  type RequestPathOptions,
} from './request_path_options.ts';
import {RetryBudget} from './retry_budget.ts';
import {RowBatch} from './row_batch.ts';
import {ServiceBalancer} from './service_balancer.ts';
import {SuspectRegistry} from './suspect_registry.ts';
import {FingerprintLock} from './fingerprint_lock.ts';

const DEFAULT_CLAIM_RETENTION_MILLISECONDS = 86_400_000;
const DEFAULT_QUARANTINE_MILLISECONDS = 3_600_000;
const DEFAULT_MAXIMUM_CONCURRENT_RUNS = 512;

/** Creates the state shared by all requests of a host. */
export function createContext(options: RequestPathOptions): RequestContext {
  const {authority, changes, clock, logger, peers, hostId} = options;
  const random = options.random ?? Math.random;
  return {
    options,
    budget: new RetryBudget({share: options.retryShare ?? 0.2}),
    balancer: new ServiceBalancer({
      authority,
      isUsable: endpoint => options.isUsable?.(endpoint) ?? true,
      random,
    }),
    breakers: new CircuitBreakers({clock, logger}),
    fingerprintLock: new FingerprintLock(),
    incarnations: new Map(),
    suspects: new SuspectRegistry({
      hostId,
      clock,
      logger,
      authority,
      changes,
      peers,
      random,
      retentionMilliseconds:
        options.quarantineMilliseconds ?? DEFAULT_QUARANTINE_MILLISECONDS,
    }),
    claims: createClaimStore(options),
    admission: new PoolAdmission({
      clock,
      authority,
      maximumConcurrent:
        options.maximumConcurrentRuns ?? DEFAULT_MAXIMUM_CONCURRENT_RUNS,
    }),
  };
}

function createClaimStore(options: RequestPathOptions): ClaimStore {
  const {clock, logger, hostId, incarnation, table, writer} = options;
  return new ClaimStore({
    table,
    batch: new RowBatch({
      writer,
      clock,
      collectMilliseconds: options.claimBatchMilliseconds ?? 3,
    }),
    clock,
    logger,
    hostId,
    incarnation,
    hasHostProcessEnded: (host, run) =>
      options.hasHostProcessEnded?.(host, run) ?? false,
    retentionMilliseconds:
      options.claimRetentionMilliseconds ??
      DEFAULT_CLAIM_RETENTION_MILLISECONDS,
    maximumResponseBytes:
      options.maximumOutcomeBytes ?? DEFAULT_MAXIMUM_OUTCOME_BYTES,
  });
}
