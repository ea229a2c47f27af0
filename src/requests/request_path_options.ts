import type {Authority, ChangeLog, Endpoint} from '../contracts/mod.ts';
import type {EndpointClients} from '../endpoints/mod.ts';
import type {TokenReserver} from '../limits/mod.ts';
import type {ViewStatus} from '../membership/mod.ts';
import type {EventLogger, Metrics} from '../observability/mod.ts';
import type {PeerChannel} from '../peers/mod.ts';
import type {TableService, TransactionWriter} from '../stores/mod.ts';
import type {EndpointObserver, ReplicaSource} from '../routing/mod.ts';
import type {Clock} from '../time/mod.ts';

/** Default of {@link RequestPathOptions.maximumOutcomeBytes}. */
export const DEFAULT_MAXIMUM_OUTCOME_BYTES = 65_536;

/** Options of `RequestPath`. */
export interface RequestPathOptions {
  hostId: string;
  /** Identifies this incarnation of the host's process. */
  incarnation: string;
  clock: Clock;
  logger: EventLogger;
  metrics: Metrics;
  /** This host's copy of the authority. */
  authority: () => Authority;
  view: ViewStatus;
  tokens: TokenReserver;
  replicas: ReplicaSource;
  observer: EndpointObserver;
  clients: Pick<EndpointClients, 'engine' | 'service'>;
  /** Table service, for idempotency claims. */
  table: TableService;
  writer: Pick<TransactionWriter, 'write'>;
  /** Records quarantine entries. */
  changes: Pick<ChangeLog, 'submit'>;
  /** Shares suspects with the other hosts. */
  peers: Pick<PeerChannel, 'broadcast' | 'onMessage'>;
  /** Whether a service endpoint may receive new calls. @default all may */
  isUsable?: (endpoint: Endpoint) => boolean;
  /** Whether this incarnation of a host's process has ended. @default unknown */
  hasHostProcessEnded?: (hostId: string, incarnation: string) => boolean;
  /** Returns a number in [0, 1). @default Math.random */
  random?: () => number;
  /** Milliseconds without data after which an engine connection is replaced. @default 600 */
  engineProgressMilliseconds?: number;
  /** Milliseconds to wait for the response headers of a repeatable service call. @default 1500 */
  repeatableHeadMilliseconds?: number;
  /** Maximum number of this host's concurrent model requests to a pool. @default 512 */
  maximumConcurrentRuns?: number;
  /** Maximum attempts per request. @default 4 */
  maximumAttempts?: number;
  /** Retries as a share of requests. @default 0.2 */
  retryShare?: number;
  /** Milliseconds for which a claim and its outcome are kept. @default 86400000 */
  claimRetentionMilliseconds?: number;
  /** Largest stored outcome, in bytes. @default 65536 */
  maximumOutcomeBytes?: number;
  /** Milliseconds for which claims are collected into one transaction. @default 3 */
  claimBatchMilliseconds?: number;
  /** Milliseconds until a suspect or quarantined request is forgotten. @default 3600000 */
  quarantineMilliseconds?: number;
  /** Milliseconds without a confirmed view after which open requests end. @default 10000 */
  unconfirmedGraceMilliseconds?: number;
}
