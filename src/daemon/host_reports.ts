import type {Container} from 'inversify';
import {ChangeLog} from '../contracts/mod.ts';
import {LeaseManager} from '../leases/mod.ts';
import {Membership} from '../membership/mod.ts';
import {PeerNetwork} from '../peers/mod.ts';
import {PoolControllers} from '../placement/mod.ts';
import {RequestPath, showClaim} from '../requests/mod.ts';
import {ReplicaRouter} from '../routing/mod.ts';
import {PLATFORM} from './bind_platform.ts';
import type {HostContext} from './host_context.ts';
import type {AdvertisedAddresses} from './listeners.ts';

/** Produces the gauges, status and explanations that operators request. */
export class HostReports {
  constructor(
    private readonly context: HostContext,
    private readonly container: Container,
    private readonly addresses: AdvertisedAddresses,
  ) {}

  /** Sets the gauges to their current values. */
  updateGauges(): void {
    const {metrics} = this.context;
    const {effect, view} = this.container.get(Membership);
    const {authority} = this.container.get(ChangeLog);
    const open = this.container.get(RequestPath).activeRequests();
    metrics.setGauge('limpetdale_open_requests', open);
    metrics.setGauge('limpetdale_view_confirmed', view.isConfirmed() ? 1 : 0);
    metrics.setGauge('limpetdale_version', authority.version);
    metrics.setGauge('limpetdale_version_in_effect', effect.inEffectVersion());
    const peers = this.container.get(PeerNetwork).connectedPeers().length;
    metrics.setGauge('limpetdale_connected_peers', peers);
  }

  /** Returns the state of this host, the members and the leases. */
  status(): unknown {
    const {self, isDraining} = this.context;
    const {authority} = this.container.get(ChangeLog);
    const {effect, heartbeats, view} = this.container.get(Membership);
    const leases = this.container.get(LeaseManager);
    return {
      host: self.hostId,
      incarnation: self.incarnation,
      dataCentre: self.dataCentre,
      addresses: this.addresses,
      draining: isDraining,
      viewConfirmed: view.isConfirmed(),
      version: authority.version,
      inEffectVersion: effect.inEffectVersion(),
      openRequests: this.container.get(RequestPath).activeRequests(),
      members: [...authority.members.values()].map(member => {
        const reply = heartbeats.latestReply(member.hostId);
        return {
          host: member.hostId,
          dataCentre: member.dataCentre,
          callerAddress: member.callerAddress,
          version:
            member.hostId === self.hostId
              ? authority.version
              : (reply?.version ?? null),
        };
      }),
      leases: [...authority.leases.values()].map(lease => ({
        scope: lease.scope,
        holder: lease.holder?.hostId ?? null,
        epoch: lease.epoch,
        actingHere: leases.actingEpoch(lease.scope) !== undefined,
      })),
    };
  }

  /** Looks up an idempotency claim. */
  async showRequest(team: string, key: string): Promise<unknown> {
    const table = this.container.get(PLATFORM.requestTable);
    const claim = await showClaim(table, team, key);
    return claim.ok ? claim.value : {unavailable: claim.error};
  }

  /**
   * Explains the routing and placement of a model or adapter. Returns undefined
   * when it is unknown.
   */
  explainModel(name: string): unknown {
    const {authority} = this.container.get(ChangeLog);
    const known = authority.models.get(name) ?? authority.adapters.get(name);
    if (known === undefined) return undefined;
    return {
      settings: known,
      routing: this.container.get(ReplicaRouter).explain(name),
      placement: this.container.get(PoolControllers).explain(name) ?? null,
    };
  }

  /**
   * Explains the routing and placement on an endpoint. Returns undefined when
   * it is unknown.
   */
  explainEndpoint(name: string): unknown {
    const {authority} = this.container.get(ChangeLog);
    const known = authority.endpoints.get(name);
    if (known === undefined) return undefined;
    return {
      settings: known,
      routing: this.container.get(ReplicaRouter).explainEndpoint(name),
      placement:
        this.container.get(PoolControllers).explainEndpoint(name) ?? null,
    };
  }
}
