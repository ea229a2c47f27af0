import type {ServiceConfiguration} from '../deployment/mod.ts';
import type {EndpointRegistry, FleetLoad} from '../fleet/mod.ts';
import type {EventLogger, Metrics} from '../observability/mod.ts';
import type {EndpointLimits} from '../permits/mod.ts';
import type {Clock} from '../time/mod.ts';
import type {EngineControl} from './engine_control.ts';
import type {PoolLease} from './pool_lease.ts';
import type {AnnouncedOrders, ReplicaAnnouncement} from './replica_map.ts';

/** Options of {@link PoolManager}. */
export interface PoolManagerOptions {
  service: () => ServiceConfiguration | undefined;
  hostId: string;
  /** Identity of this process. */
  incarnation: string;
  lease: PoolLease;
  registry: EndpointRegistry;
  load: FleetLoad;
  limits: EndpointLimits;
  control: EngineControl;
  clock: Clock;
  logger: EventLogger;
  metrics: Metrics;
  /**
   * Whether all replicas that a model lacks are loaded at the same time.
   * @default false
   */
  loadsReplicasTogether?: boolean;
  /** Returns the orders of an engine process that managers have announced. */
  announcedOrders?: (
    endpoint: string,
    startedAt: number,
  ) => AnnouncedOrders | undefined;
  /** Sends an announcement to all hosts, including this one. */
  announce: (announcement: ReplicaAnnouncement) => void;
}
