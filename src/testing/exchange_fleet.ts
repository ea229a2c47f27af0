import type {EndpointRecord} from '../deployment/mod.ts';
import {type ReplicaAnnouncement, ReplicaMap} from '../engines/mod.ts';
import {FleetStateExchange} from '../entry/fleet_state_exchange.ts';
import {
  type ArrivalCount,
  Endpoint,
  FleetLoad,
  type WaitingCount,
} from '../fleet/mod.ts';
import {SILENT_LOGGER} from '../observability/mod.ts';
import {
  encodePeerFrame,
  type PeerIdentity,
  type PeerConnectionEvent,
  type PeerMessage,
  type PeerMessageHandler,
} from '../peers/mod.ts';
import {ManualClock} from './manual_clock.ts';

/** Options of {@link ExchangeFleet}. */
export interface ExchangeFleetOptions {
  activeHosts: number;
  /** Hosts with one connection each, to an active host. */
  standbyHosts: number;
  endpoints: readonly EndpointRecord[];
}

/** Time on the way between two hosts. */
const LATENCY_MILLISECONDS = 1;

/** A target that requests of a host wait for. */
export interface SimulatedDemand {
  readonly get: () => WaitingCount;
}

/** A host of an {@link ExchangeFleet}; tests change its demand and requests. */
export class ExchangeHost {
  readonly endpoints: ReadonlyMap<string, Endpoint>;
  readonly replicas: ReplicaMap;
  readonly load: FleetLoad;
  readonly exchange: FleetStateExchange;
  /** Targets that requests of this host wait for. */
  readonly demands = new Set<SimulatedDemand>();
  readonly arrivals = new Map<string, ArrivalCount>();
  /** Bytes that this host has sent, by kind of message. */
  readonly sentBytes = new Map<string, number>();
  /** Hosts that this host is connected to. */
  readonly peers = new Map<string, ExchangeHost>();
  private readonly handlers: PeerMessageHandler[] = [];
  private readonly listeners: ((event: PeerConnectionEvent) => void)[] = [];

  constructor(
    readonly identity: PeerIdentity,
    /** Host that supplies this standby host; undefined for an active host. */
    readonly upstream: string | undefined,
    private readonly fleet: ExchangeFleet,
  ) {
    const {clock, options} = fleet;
    this.endpoints = new Map(
      options.endpoints.map(record => [record.id, new Endpoint(record, 8)]),
    );
    const all = () => this.endpoints.values();
    const registry = {
      all,
      usable: (service: string) =>
        [...all()].filter(({record}) => record.service === service),
      recordLeaving: () => false,
    };
    const {incarnation} = identity;
    this.replicas = new ReplicaMap({registry, incarnation, clock});
    this.load = new FleetLoad({
      clock,
      localLoad: () => this.exchange.ownLoad(),
    });
    this.exchange = new FleetStateExchange({
      peers: {
        self: identity,
        broadcast: message => this.sendToAll(this.peers.keys(), message),
        connectedPeers: () =>
          [...this.peers.values()].map(host => host.identity),
        onConnectionEvent: listener => {
          this.listeners.push(listener);
          return () => undefined;
        },
        onMessage: handler => {
          this.handlers.push(handler);
          return () => undefined;
        },
        send: (hostId, message) => {
          this.sendToAll([hostId], message);
          return this.peers.has(hostId);
        },
        sendState: (hostIds, message) => this.sendToAll(hostIds, message),
        sendToAll: (hostIds, message) => this.sendToAll(hostIds, message),
      },
      clock,
      logger: SILENT_LOGGER,
      topology: {
        isActive: upstream === undefined,
        upstream,
        downHosts: [],
        adoptDownHosts: () => undefined,
      },
      registry,
      load: this.load,
      rateLimiter: {
        spending: () => [],
        fleetSpending: () => [],
        receive: () => undefined,
        receiveDigest: () => undefined,
        receiveFromStandby: () => undefined,
      },
      replicas: this.replicas,
      router: {
        arrivalCounts: () => [...this.arrivals.values()],
        waiting: () => [...this.demands].map(({get}) => get()),
      },
      crashTracker: {receive: () => undefined},
      promptParts: {receive: () => undefined},
      limits: {receiveAnnouncement: () => undefined},
      permits: {
        answer: () => Promise.resolve(),
        receive: () => undefined,
      },
      streamOrigins: {answer: () => undefined, receive: () => undefined},
      onDemandChanged: () => undefined,
      onManagerAnnounced: () => undefined,
      onManagerResigned: () => undefined,
      onTableUpdate: () => false,
      missingTables: () => [],
      tableContent: () => undefined,
      onPeerConnected: () => undefined,
    });
  }

  /** Counts a request and reports its target as demand. */
  recordArrival(service: string, model: string): void {
    const key = `${service} ${model}`;
    const requests = (this.arrivals.get(key)?.requests ?? 0) + 1;
    this.arrivals.set(key, {service, model, requests});
  }

  /** Announces replicas as the manager of their pool. */
  announce(announcement: ReplicaAnnouncement): void {
    this.replicas.receive(announcement);
    this.exchange.announce({kind: 'replica_state', ...announcement});
  }

  /** Bytes that this host has sent. */
  get sent(): number {
    return [...this.sentBytes.values()].reduce((sum, bytes) => sum + bytes, 0);
  }

  /** Opens a connection in both directions. */
  connect(other: ExchangeHost): void {
    this.peers.set(other.identity.hostId, other);
    other.peers.set(this.identity.hostId, this);
    this.notify({kind: 'connected', peer: other.identity});
    other.notify({kind: 'connected', peer: this.identity});
  }

  /** Closes a connection in both directions. */
  disconnect(other: ExchangeHost): void {
    this.peers.delete(other.identity.hostId);
    other.peers.delete(this.identity.hostId);
    this.notify({kind: 'disconnected', peer: other.identity});
    other.notify({kind: 'disconnected', peer: this.identity});
  }

  private notify(event: PeerConnectionEvent): void {
    for (const listener of this.listeners) listener(event);
  }

  private sendToAll(hostIds: Iterable<string>, message: PeerMessage): void {
    const {length} = encodePeerFrame(message);
    for (const hostId of hostIds) {
      const peer = this.peers.get(hostId);
      if (peer === undefined) continue;
      const {kind} = message;
      this.sentBytes.set(kind, (this.sentBytes.get(kind) ?? 0) + length);
      if (this.fleet.losesMessage(this.identity.hostId, hostId)) continue;
      this.fleet.clock.startTimer(LATENCY_MILLISECONDS, () => {
        if (!this.peers.has(hostId)) return;
        for (const handler of peer.handlers) handler(this.identity, message);
      });
    }
  }
}

/**
 * The exchange of state between the hosts of a fleet, on a manual clock, with the
 * size of each message. Active hosts are connected to each other, and each standby
 * host to one of them.
 */
export class ExchangeFleet {
  readonly clock = new ManualClock();
  readonly active: readonly ExchangeHost[];
  readonly standby: readonly ExchangeHost[];
  /** Decides whether a message between two hosts is lost. */
  losesMessage: (from: string, to: string) => boolean = () => false;

  constructor(readonly options: ExchangeFleetOptions) {
    const {activeHosts, standbyHosts} = options;
    this.active = Array.from(
      {length: activeHosts},
      (_unused, index) => new ExchangeHost(identityOf(index), undefined, this),
    );
    this.standby = Array.from({length: standbyHosts}, (_unused, index) => {
      const upstream = this.active[index % activeHosts]!;
      const {hostId} = upstream.identity;
      const host = new ExchangeHost(
        identityOf(activeHosts + index),
        hostId,
        this,
      );
      host.connect(upstream);
      return host;
    });
    this.active.forEach((host, index) => {
      for (const other of this.active.slice(index + 1)) host.connect(other);
    });
    for (const host of this.hosts) void host.exchange.run();
  }

  /** All hosts. */
  get hosts(): readonly ExchangeHost[] {
    return [...this.active, ...this.standby];
  }

  /** Stops the exchange. */
  stop(): void {
    for (const host of this.hosts) host.exchange.stop();
  }
}

function identityOf(index: number): PeerIdentity {
  const hostId = `frontend-ist-a-${index}`;
  return {
    hostId,
    incarnation: `2f1c5a1e-0000-4000-8000-${String(index).padStart(12, '0')}`,
    dataCentre: 'ist-a',
    peerAddress: `ws://10.1.0.${index}:7600`,
    callerAddress: `10.1.0.${index}:8221`,
  };
}
