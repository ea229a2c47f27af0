import type {EndpointRouter, LeaseRenewal, ReplicaMap} from '../engines/mod.ts';
import type {EndpointRegistry, FleetLoad, FleetTopology} from '../fleet/mod.ts';
import type {FleetRateLimiter} from '../limits/mod.ts';
import type {EventLogger} from '../observability/mod.ts';
import type {PeerNetwork} from '../peers/mod.ts';
import type {EndpointLimits, PermitBroker} from '../permits/mod.ts';
import type {CrashTracker, PromptPartQuarantine} from '../relay/mod.ts';
import type {TableUpdate} from '../stores/mod.ts';
import type {StreamOrigins} from '../streams/mod.ts';
import type {Clock} from '../time/mod.ts';

/** Options of `FleetStateExchange`. */
export interface FleetStateExchangeOptions {
  peers: Pick<
    PeerNetwork,
    | 'broadcast'
    | 'connectedPeers'
    | 'onConnectionEvent'
    | 'onMessage'
    | 'self'
    | 'send'
    | 'sendState'
    | 'sendToAll'
  >;
  clock: Clock;
  logger: EventLogger;
  topology: Pick<
    FleetTopology,
    'adoptDownHosts' | 'downHosts' | 'isActive' | 'upstream'
  >;
  registry: Pick<EndpointRegistry, 'all' | 'recordLeaving'>;
  load: FleetLoad;
  rateLimiter: Pick<
    FleetRateLimiter,
    | 'fleetSpending'
    | 'receive'
    | 'receiveDigest'
    | 'receiveFromStandby'
    | 'spending'
  >;
  replicas: ReplicaMap;
  router: Pick<EndpointRouter, 'arrivalCounts' | 'waiting'> &
    Partial<Pick<EndpointRouter, 'countsUpdated'>>;
  crashTracker: Pick<CrashTracker, 'receive'>;
  promptParts: Pick<PromptPartQuarantine, 'receive'>;
  limits: Pick<EndpointLimits, 'receiveAnnouncement'>;
  permits: Pick<PermitBroker, 'answer' | 'receive'>;
  streamOrigins: Pick<StreamOrigins, 'answer' | 'receive'>;
  /** Called when a peer reports waiting requests, which may be for a pool managed here. */
  onDemandChanged: () => void;
  /** Called when the manager of a pool announced replicas or renewed its lease. */
  onManagerAnnounced: (
    service: string,
    epoch: number,
    renewal: LeaseRenewal | undefined,
  ) => void;
  /** Called when the manager of a pool resigned its lease. */
  onManagerResigned: (
    service: string,
    epoch: number,
    sinceOrder: number,
  ) => void;
  /**
   * Called with the changes of a table that a peer has read.
   *
   * @returns Whether changes before them are missing here.
   */
  onTableUpdate: (update: TableUpdate, from: string) => boolean;
  /** Returns the tables that this host has not read yet. */
  missingTables: () => readonly string[];
  /** Returns the whole content of a table; undefined if it is unknown. */
  tableContent: (table: string) => TableUpdate | undefined;
  /** Called when a peer has connected, which may lack the state of pools managed here. */
  onPeerConnected: (hostId: string) => void;
}
