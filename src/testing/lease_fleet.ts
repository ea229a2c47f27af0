import {PoolLease, type PoolLeaseOptions} from '../engines/mod.ts';
import {failure} from '../errors/mod.ts';
import {SILENT_LOGGER} from '../observability/mod.ts';
import {type RowChange, type RowStore, StoreEra} from '../stores/mod.ts';
import {ManualClock} from './manual_clock.ts';
import {RestorableStore} from './restorable_store.ts';

/** Milliseconds between the last order of a holder and the first one of the next. */
export const HANDOVER_MILLISECONDS = 3000;

const STEP_MILLISECONDS = 10;
const HEARD_MILLISECONDS = 1200;
const STORE_DELAY_MILLISECONDS = 4;

/** An order as an engine sees it. */
export interface IssuedOrder {
  readonly hostId: string;
  readonly epoch: number;
  /** Monotonic time of the fleet's clock, in milliseconds. */
  readonly at: number;
}

interface HostProcess {
  readonly lease: PoolLease;
  isAlive: boolean;
  heardAt: number;
}

/**
 * Hosts that compete for a lease, whose store can come back from an older copy. Each
 * host that may send orders sends one at each step of the clock.
 */
export class LeaseFleet {
  readonly clock = new ManualClock();
  readonly store = new RestorableStore();
  /** Hosts that reach neither the store nor other hosts. */
  readonly cut = new Set<string>();
  /** Hosts that do not compete. */
  readonly idle = new Set<string>();
  /** Hosts that exchange no messages with other hosts. */
  readonly separated = new Set<string>();
  /** Hosts whose transactions get no answer and are carried out late. */
  readonly delayed = new Set<string>();
  /** First and last order of each term of a host, oldest first. */
  readonly orders: IssuedOrder[] = [];
  private readonly processes = new Map<string, HostProcess>();
  private readonly lateChanges: (readonly RowChange[])[] = [];
  private starts = 0;

  constructor(
    readonly hosts: readonly string[],
    private readonly options: Pick<
      PoolLeaseOptions,
      'ordersBySettledEngine'
    > = {},
  ) {}

  /** Starts a process, which knows nothing of earlier ones. */
  start(hostId: string): void {
    const {clock} = this;
    const process: HostProcess = {
      lease: new PoolLease({
        ...this.options,
        store: this.storeOf(hostId, () => process.isAlive),
        storeEra: new StoreEra(),
        clock,
        logger: SILENT_LOGGER,
        hostId,
        incarnation: `${hostId}-run-${++this.starts}`,
        scope: 'pool/engines',
        handoverDelayMilliseconds: HANDOVER_MILLISECONDS,
        hasHeardFromHolder: () =>
          this.idle.has(hostId) ||
          clock.monotonicMilliseconds() - process.heardAt < HEARD_MILLISECONDS,
        onResigned: (epoch, sinceOrder) => {
          for (const {lease} of this.othersOf(hostId))
            lease.receiveResignation(epoch, sinceOrder);
        },
        random: () => 0.5,
      }),
      isAlive: true,
      heardAt: Number.NEGATIVE_INFINITY,
    };
    this.processes.set(hostId, process);
    void process.lease.run();
  }

  /** Stops a process, which releases its lease. */
  async stop(hostId: string): Promise<void> {
    const process = this.processes.get(hostId);
    void process?.lease.release();
    await this.run(100);
    this.kill(hostId);
  }

  /** Ends a process at once. */
  kill(hostId: string): void {
    const process = this.processes.get(hostId);
    if (process === undefined) return;
    process.isAlive = false;
    void process.lease.release();
    this.processes.delete(hostId);
  }

  /** Stops all processes. */
  close(): void {
    for (const hostId of this.hosts) this.kill(hostId);
  }

  /** Host that may send orders; undefined if there is none. */
  get holder(): string | undefined {
    return [...this.processes].find(([, {lease}]) =>
      lease.mayIssueOrders(),
    )?.[0];
  }

  /** Orders that have a token of another host, a lower one, or come too soon. */
  get violations(): readonly string[] {
    return this.orders.flatMap((order, index) => {
      const {hostId, epoch, at} = order;
      const former = this.orders[index - 1];
      if (former === undefined) return [];
      const after = `${hostId} with ${epoch} after ${former.hostId} with ${former.epoch}`;
      if (epoch < former.epoch) return [`lower token: ${after}`];
      if (hostId === former.hostId) return [];
      if (epoch === former.epoch) return [`same token: ${after}`];
      const gap = at - former.at;
      return gap < HANDOVER_MILLISECONDS ? [`after ${gap} ms: ${after}`] : [];
    });
  }

  /** Carries out the transactions of {@link delayed} hosts, if their conditions hold. */
  carryOutLateChanges(): void {
    for (const changes of this.lateChanges.splice(0))
      this.store.commit(changes, this.clock.monotonicMilliseconds());
  }

  /** Versions that the delayed transactions expect, oldest first. */
  get lateVersions(): readonly number[] {
    return this.lateChanges.flatMap(changes =>
      changes.flatMap(({expectedVersion}) => expectedVersion ?? []),
    );
  }

  /** Lets time pass while the hosts exchange messages and send orders. */
  async run(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
      await this.clock.advanceAsync(STEP_MILLISECONDS);
      this.announce();
      this.order();
    }
  }

  /** Lets time pass until a condition holds. */
  async runUntil(condition: () => boolean, boundMilliseconds: number) {
    for (let passed = 0; !condition(); passed += STEP_MILLISECONDS) {
      if (passed >= boundMilliseconds)
        throw new Error(
          `Condition does not hold within ${boundMilliseconds} ms`,
        );
      await this.run(STEP_MILLISECONDS);
    }
  }

  private announce(): void {
    const now = this.clock.monotonicMilliseconds();
    for (const [hostId, {lease}] of this.processes) {
      const {epoch, renewal} = lease;
      if (epoch === undefined || renewal === undefined) continue;
      for (const other of this.othersOf(hostId)) {
        other.lease.recordEpoch(epoch);
        other.lease.receiveRenewal(renewal);
        other.heardAt = now;
      }
    }
  }

  private order(): void {
    const at = this.clock.monotonicMilliseconds();
    for (const [hostId, {lease}] of this.processes) {
      const {epoch} = lease;
      if (!lease.mayIssueOrders() || epoch === undefined) continue;
      lease.beginOrder();
      lease.endOrder();
      const [previous, last] = this.orders.slice(-2);
      const continues = [previous, last].every(
        order => order?.hostId === hostId && order.epoch === epoch,
      );
      if (continues) this.orders.pop();
      this.orders.push({hostId, epoch, at});
    }
  }

  private othersOf(hostId: string): readonly HostProcess[] {
    const isReached = (id: string) =>
      !this.cut.has(id) && !this.separated.has(id);
    if (!isReached(hostId)) return [];
    return [...this.processes]
      .filter(([other]) => other !== hostId && isReached(other))
      .map(([, process]) => process);
  }

  private storeOf(hostId: string, isAlive: () => boolean): RowStore {
    const now = () => this.clock.monotonicMilliseconds();
    const unavailable = failure({
      kind: 'unavailable' as const,
      step: 'commit' as const,
      peer: 'store',
      reason: 'no answer',
      mayHaveHappened: true,
    });
    const call = async <Answer>(answer: () => Answer) => {
      await new Promise<void>(resolve =>
        this.clock.startTimer(STORE_DELAY_MILLISECONDS, resolve),
      );
      if (!isAlive() || this.cut.has(hostId)) return unavailable;
      return answer();
    };
    return {
      readTable: table => call(() => this.store.read(table, 0, now())),
      followTable: (table, after) =>
        call(() => this.store.read(table, after, now())),
      commit: changes =>
        call(() => {
          if (!this.delayed.has(hostId))
            return this.store.commit(changes, now());
          this.lateChanges.push(changes);
          return unavailable;
        }),
    };
  }
}
