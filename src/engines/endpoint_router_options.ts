import type {OrderedAdmissionOptions} from '../admission/mod.ts';
import type {ServiceConfiguration} from '../deployment/mod.ts';
import type {EndpointRegistry} from '../fleet/mod.ts';
import type {EndpointLimits, PermitBroker} from '../permits/mod.ts';
import type {DispatchWindow} from '../relay/mod.ts';
import type {Clock} from '../time/mod.ts';
import type {ColdEngines} from './cold_engines.ts';
import type {EndpointBalancer} from './endpoint_balancer.ts';
import type {ReplicaMap} from './replica_map.ts';

/** Options of `EndpointRouter`. */
export interface EndpointRouterOptions {
  registry: EndpointRegistry;
  replicas: ReplicaMap;
  limits: EndpointLimits;
  permits: PermitBroker;
  coldEngines: Pick<ColdEngines, 'presume' | 'rateOf'>;
  /** Until when requests are sent to endpoints. */
  dispatchWindow: DispatchWindow;
  /** Tells all hosts that a process has said in a response that it leaves. */
  announceLeaving: (incarnation: string) => void;
  clock: Clock;
  dataCentre: string;
  /** Distributes requests evenly; without it, the least loaded endpoint is used. */
  balancer?: EndpointBalancer;
  /** Returns a service of the current configuration. */
  service: (name: string) => ServiceConfiguration | undefined;
  /** Called when requests begin to wait for a target. */
  onDemandChanged: () => void;
  /**
   * Holds requests back while the engines that have their model are full. @default
   * all are sent at once
   */
  admission?: RouterAdmissionOptions;
}

/** Options of the order of waiting requests. */
export type RouterAdmissionOptions = Pick<
  OrderedAdmissionOptions,
  'evenShare' | 'hostId' | 'logger' | 'metrics' | 'slotShare'
>;
