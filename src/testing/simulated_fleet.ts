import {ChangeLog, poolSchema, type SubmitResult} from '../contracts/mod.ts';
import {failure, success} from '../errors/mod.ts';
import {LeaseManager} from '../leases/mod.ts';
import {Membership, type MembershipOptions} from '../membership/mod.ts';
import {type EventLogger, SILENT_LOGGER} from '../observability/mod.ts';
import {
  type CommitResult,
  type HostList,
  type HostState,
  type ObjectStore,
  type PlatformError,
  type TableService,
  TransactionWriter,
} from '../stores/mod.ts';
import {ManualClock} from './manual_clock.ts';
import {
  type MemoryPeerChannel,
  MemoryPeerNetwork,
} from './memory_peer_network.ts';
import {MemoryTable} from './memory_table.ts';
import {PausableClock} from './pausable_clock.ts';

/** Parts of a simulated process. */
export interface SimulatedHost {
  readonly hostId: string;
  readonly incarnation: string;
  readonly clock: PausableClock;
  readonly channel: MemoryPeerChannel;
  readonly changeLog: ChangeLog;
  readonly membership: Membership;
  readonly leases: LeaseManager;
  leaving: boolean;
}

/** Options of {@link SimulatedFleet}. */
export interface SimulatedFleetOptions {
  /** Scopes that every host wants. @default [] */
  scopes?: readonly string[];
  /** Replaces options of membership, for deliberate faults. */
  membership?: Partial<MembershipOptions>;
  /** Replaces the parts of one host after they were built. */
  adjust?: (host: SimulatedHost) => void;
  /** Receives the log events of a host. @default none */
  loggerOf?: (hostId: string) => EventLogger;
}

/**
 * Hosts with membership and leases in one process, on one manual clock, with
 * one table and an in-memory network.
 */
export class SimulatedFleet {
  readonly clock = new ManualClock();
  readonly table = new MemoryTable();
  readonly network = new MemoryPeerNetwork(this.clock);
  readonly hosts = new Map<string, SimulatedHost>();
  /** Hosts that cannot reach the table. */
  readonly cutFromTable = new Set<string>();
  /** Milliseconds of each half of an exchange with the table. */
  tableDelayMilliseconds = 1;
  readonly hostList = new Map<string, HostState>();
  private changeCount = 0;
  private readonly startCounts = new Map<string, number>();

  constructor(private readonly options: SimulatedFleetOptions = {}) {}

  /** Starts a process on a host. */
  start(hostId: string): SimulatedHost {
    const run = (this.startCounts.get(hostId) ?? 0) + 1;
    this.startCounts.set(hostId, run);
    const clock = new PausableClock(this.clock);
    const incarnation = `${hostId}-run-${run}`;
    const logger = this.options.loggerOf?.(hostId) ?? SILENT_LOGGER;
    const table = this.tableOf(hostId, clock);
    const changeLog = new ChangeLog({
      table,
      objectStore: NO_OBJECT_STORE,
      writer: new TransactionWriter({table, clock, logger, random: () => 0.5}),
      clock,
      logger,
    });
    const channel = this.network.open(
      {
        hostId,
        incarnation,
        dataCentre: 'centre-1',
        peerAddress: `ws://${hostId}:7200`,
        callerAddress: `http://${hostId}:8080`,
      },
      clock,
    );
    const shared = {channel, changeLog, clock, logger};
    const membership = new Membership({
      ...shared,
      hostList: this.hostListOf(clock),
      isLeaving: () => host.leaving,
      ...this.options.membership,
    });
    const leases = new LeaseManager({...shared, ...membership});
    const host: SimulatedHost = {
      ...{hostId, incarnation, clock, channel, changeLog, membership, leases},
      leaving: false,
    };
    this.options.adjust?.(host);
    this.hosts.set(hostId, host);
    membership.start();
    for (const scope of this.options.scopes ?? []) leases.addScope(scope);
    leases.start();
    return host;
  }

  /** Hosts that were ever started. */
  get startedHostIds(): readonly string[] {
    return [...this.startCounts.keys()];
  }

  /** Ends a process without any notice. */
  kill(hostId: string): void {
    const host = this.hosts.get(hostId);
    if (host === undefined) return;
    host.clock.kill();
    host.membership.stop();
    host.leases.stop();
    this.hosts.delete(hostId);
    this.network.close(hostId);
  }

  /** Starts hosts one after the other until all are members. */
  async startAll(hostIds: readonly string[]): Promise<void> {
    for (const hostId of hostIds) {
      this.start(hostId);
      await this.until(() =>
        [...this.hosts.values()].every(
          host =>
            host.changeLog.authority.members.has(hostId) &&
            host.membership.view.isConfirmed(),
        ),
      );
    }
    await this.until(() =>
      [...this.hosts.values()].every(
        host =>
          host.membership.effect.inEffectVersion() >=
          host.changeLog.authority.memberVersion,
      ),
    );
  }

  /**
   * Advances time in steps until a condition holds.
   *
   * @throws {Error} When it does not hold within the limit.
   */
  async until(
    condition: () => boolean,
    limitMilliseconds = 60_000,
  ): Promise<void> {
    for (let spent = 0; spent <= limitMilliseconds; spent += STEP) {
      if (condition()) return;
      await this.clock.advanceAsync(STEP);
    }
    throw new Error(
      `Condition does not hold after ${limitMilliseconds} ms: ${condition.toString()}`,
    );
  }

  /**
   * Separates the hosts of side 1 from those of side 0; only the hosts of side
   * 0 reach the table.
   */
  split(hostIds: readonly string[], sides: readonly number[]): void {
    for (const [left, leftId] of hostIds.entries()) {
      if (sides[left] === 0) this.cutFromTable.delete(leftId);
      else this.cutFromTable.add(leftId);
      for (const [right, rightId] of hostIds.entries()) {
        const apart = sides[left] !== sides[right];
        if (left < right) this.network.setSilent(leftId, rightId, apart);
      }
    }
  }

  /** Submits an operator's change at a host that runs. */
  change(hostId: string): Promise<SubmitResult> {
    const name = `pool-${++this.changeCount}`;
    return this.hosts
      .get(hostId)!
      .changeLog.submit(`change-${name}`, 'operator', {
        kind: 'put_pool',
        pool: poolSchema.parse({name, kind: 'engine'}),
      });
  }

  /** Hosts that may act for a scope at this instant. */
  actingFor(scope: string): string[] {
    return [...this.hosts.values()]
      .filter(host => host.leases.actingEpoch(scope) !== undefined)
      .map(host => host.hostId);
  }

  private tableOf(hostId: string, clock: PausableClock): TableService {
    const exchange = async <Answer>(
      action: () => Promise<Answer>,
      refuse: () => Answer,
    ): Promise<Answer> => {
      await delay(this.clock, this.tableDelayMilliseconds);
      const reachable = !this.cutFromTable.has(hostId);
      const answer = reachable ? await action() : refuse();
      await delay(this.clock, this.tableDelayMilliseconds);
      return new Promise(resolve => clock.run(() => resolve(answer)));
    };
    const {table} = this;
    return {
      read: keys =>
        exchange(
          () => table.read(keys),
          () => failure(NO_ROUTE),
        ),
      scan: (prefix, scan) =>
        exchange(
          () => table.scan(prefix, scan),
          () => failure(NO_ROUTE),
        ),
      commit: transaction =>
        exchange<CommitResult>(
          () => table.commit(transaction),
          () => ({kind: 'unavailable', error: NO_ROUTE}),
        ),
    };
  }

  private hostListOf(clock: PausableClock): HostList {
    return {
      list: async () => {
        const hosts = [...this.hostList].map(([name, state]) => {
          return {name, state};
        });
        await delay(this.clock, 1);
        return new Promise(resolve => clock.run(() => resolve(success(hosts))));
      },
    };
  }
}

/** Milliseconds between two looks at a condition. */
const STEP = 50;

const NO_ROUTE: PlatformError = {
  kind: 'unavailable',
  step: 'read',
  peer: 'table',
  reason: 'No route to the table',
};

const NO_OBJECT_STORE: ObjectStore = {
  get: async () => success(undefined),
  put: async () => success(undefined),
  delete: async () => success(undefined),
};

function delay(clock: ManualClock, milliseconds: number): Promise<void> {
  return new Promise(resolve => {
    clock.startTimer(milliseconds, resolve);
  });
}
