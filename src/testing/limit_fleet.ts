import {
  type Authority,
  type Change,
  applyChange,
  EMPTY_AUTHORITY,
} from '../contracts/mod.ts';
import type {LeaseAuthority} from '../leases/mod.ts';
import {TeamLimiter} from '../limits/mod.ts';
import type {ViewStatus} from '../membership/mod.ts';
import {Metrics, SILENT_LOGGER} from '../observability/mod.ts';
import type {ManualClock} from './manual_clock.ts';
import {MemoryNetwork, type MemoryPeer} from './memory_network.ts';

/** Options of {@link LimitFleet}. */
export interface LimitFleetOptions {
  clock: ManualClock;
  hostCount: number;
  viewTimeoutMilliseconds: number;
  /** Milliseconds that a message takes. */
  latencyMilliseconds: number;
  /** Whether one message is lost. @default () => false */
  isLost?: () => boolean;
}

/** One simulated host with its limiter. */
export interface LimitHost {
  readonly hostId: string;
  readonly peer: MemoryPeer;
  readonly limiter: TeamLimiter;
  authority: Authority;
  confirmedUntil: number;
  /** Whether the host reaches neither the log nor its peers. */
  cutOff: boolean;
}

const POLL_MILLISECONDS = 200;

/**
 * Hosts with limiters over a simulated log, view and leases. Timing is the
 * least that the design allows: a change is in effect when it is committed,
 * and a take-over acts exactly T later. Development only.
 */
export class LimitFleet {
  readonly network: MemoryNetwork;
  readonly hosts = new Map<string, LimitHost>();
  /** Authority at the end of the log. */
  head: Authority = EMPTY_AUTHORITY;
  /** Whether changes can be committed. */
  tableUp = true;
  private readonly committedAt = new Map<string, number>();

  constructor(private readonly options: LimitFleetOptions) {
    const {clock, latencyMilliseconds} = options;
    this.network = new MemoryNetwork({
      clock,
      latencyMilliseconds,
      isLost: options.isLost ?? (() => false),
    });
    for (let index = 1; index <= options.hostCount; index++) {
      const hostId = `host-${index}`;
      this.commit({
        kind: 'add_member',
        afterMemberVersion: this.head.memberVersion,
        member: {
          hostId,
          peerAddress: `ws://${hostId}:1`,
          callerAddress: `http://${hostId}:1`,
          dataCentre: `centre-${index % 3}`,
        },
      });
    }
    for (const hostId of this.head.members.keys()) this.startHost(hostId);
    this.poll();
  }

  /** Appends a change to the log; false while the table is down. */
  commit(change: Change): boolean {
    if (!this.tableUp) return false;
    const outcome = applyChange(this.head, change);
    if (!outcome.ok) throw new Error(JSON.stringify(outcome.error));
    this.head = outcome.value;
    if (change.kind === 'grant_lease') {
      this.committedAt.set(change.scope, this.now());
    }
    return true;
  }

  /** Gives a team's lease to a running host. */
  grant(team: string, hostId: string): boolean {
    const host = this.hosts.get(hostId);
    if (host === undefined) return false;
    const scope = `team:${team}`;
    return this.commit({
      kind: 'grant_lease',
      scope,
      holder: {hostId, incarnation: host.peer.self.incarnation},
      expectedEpoch: this.head.leases.get(scope)?.epoch ?? 0,
    });
  }

  /** Releases a team's lease as its holder. */
  release(team: string): boolean {
    const scope = `team:${team}`;
    const lease = this.head.leases.get(scope);
    if (lease === undefined || lease.holder === null || !this.tableUp) {
      return false;
    }
    const host = this.hosts.get(lease.holder.hostId);
    if (host?.peer.self.incarnation !== lease.holder.incarnation) return false;
    const committed = this.commit({
      kind: 'release_lease',
      scope,
      expectedEpoch: lease.epoch,
    });
    // The holder stops to act before it commits the release.
    host.authority = this.head;
    return committed;
  }

  /** Ends a host's process without notice. */
  kill(hostId: string): void {
    const host = this.hosts.get(hostId);
    if (host === undefined) return;
    this.hosts.delete(hostId);
    host.peer.kill();
  }

  /** Starts a new process on a host that has none. */
  startHost(hostId: string): LimitHost {
    const peer = this.network.join(hostId);
    const host: LimitHost = {
      hostId,
      peer,
      authority: EMPTY_AUTHORITY,
      confirmedUntil: -Infinity,
      cutOff: false,
      limiter: new TeamLimiter({
        clock: peer.clock,
        logger: SILENT_LOGGER,
        metrics: new Metrics(),
        channel: peer,
        leases: this.leasesOf(() => host),
        view: this.viewOf(() => host),
        authority: () => host.authority,
        viewTimeoutMilliseconds: this.options.viewTimeoutMilliseconds,
        isMemberListInEffect: () => true,
      }),
    };
    this.hosts.set(hostId, host);
    this.renew(host);
    host.limiter.start();
    return host;
  }

  private now(): number {
    return this.options.clock.monotonicMilliseconds();
  }

  private poll(): void {
    for (const host of this.hosts.values()) this.renew(host);
    this.network.reportRefused();
    this.options.clock.startTimer(POLL_MILLISECONDS, () => this.poll());
  }

  /** Brings a host up to date, which confirms its view for T. */
  private renew(host: LimitHost): void {
    if (host.cutOff || host.peer.paused) return;
    host.authority = this.head;
    host.confirmedUntil = this.now() + this.options.viewTimeoutMilliseconds;
  }

  private leasesOf(host: () => LimitHost): LeaseAuthority {
    return {
      actingEpoch: scope => {
        const {authority, confirmedUntil, peer} = host();
        const lease = authority.leases.get(scope);
        if (
          lease === undefined ||
          lease.holder?.hostId !== peer.self.hostId ||
          lease.holder.incarnation !== peer.self.incarnation ||
          this.now() >= confirmedUntil
        ) {
          return undefined;
        }
        const wait = lease.afterRelease
          ? 0
          : this.options.viewTimeoutMilliseconds;
        const actsAt = (this.committedAt.get(scope) ?? 0) + wait;
        return this.now() >= actsAt ? lease.epoch : undefined;
      },
      holderOf: scope => host().authority.leases.get(scope)?.holder?.hostId,
      onChange: () => () => undefined,
    };
  }

  private viewOf(host: () => LimitHost): ViewStatus {
    return {
      confirmedUntil: () => host().confirmedUntil,
      isConfirmed: () => this.now() < host().confirmedUntil,
      waitUntilConfirmed: () => Promise.reject(new Error('Not simulated')),
    };
  }
}
