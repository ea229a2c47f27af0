import type {CircuitBreakers} from './circuit_breakers.ts';
import type {ClaimStore} from './claim_store.ts';
import type {PoolAdmission} from './pool_admission.ts';
import type {RequestPathOptions} from './request_path_options.ts';
import type {RetryBudget} from './retry_budget.ts';
import type {ServiceBalancer} from './service_balancer.ts';
import type {SuspectRegistry} from './suspect_registry.ts';
import type {FingerprintLock} from './fingerprint_lock.ts';

/** State shared by all requests of a host. */
export interface RequestContext {
  readonly options: RequestPathOptions;
  readonly budget: RetryBudget;
  readonly balancer: ServiceBalancer;
  readonly breakers: CircuitBreakers;
  readonly suspects: SuspectRegistry;
  readonly fingerprintLock: FingerprintLock;
  readonly claims: ClaimStore;
  readonly admission: PoolAdmission;
  /** Incarnation last reported by each engine, by endpoint name. */
  readonly incarnations: Map<string, string>;
}
