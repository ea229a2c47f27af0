import {afterEach, describe, expect, test} from 'vitest';
import {SILENT_LOGGER} from '../observability/mod.ts';
import {type RowStore, StoreEra} from '../stores/mod.ts';
import {ManualClock} from '../testing/manual_clock.ts';
import {RestorableStore} from '../testing/restorable_store.ts';
import {PoolLease} from './mod.ts';

const HANDOVER_MILLISECONDS = 3000;
const STEP_MILLISECONDS = 10;
const HEARD_MILLISECONDS = 1200;
const HOSTS = ['host-a', 'host-b', 'host-c'] as const;

type HostId = (typeof HOSTS)[number];

/** Hosts that compete for a lease, and what they could order when. */
class LeaseFleet {
  readonly clock = new ManualClock();
  readonly store = new RestorableStore();
  /** Hosts that reach neither the store nor other hosts. */
  readonly cut = new Set<HostId>();
  /** Hosts that do not compete. */
  readonly idle = new Set<HostId>();
  private readonly leases = new Map<HostId, PoolLease>();
  private readonly heardAt = new Map<HostId, number>();
  /** Host and epoch that could order last, and when. */
  private last: {hostId: HostId; epoch: number; at: number} | undefined;
  lastOrderAt = Number.NEGATIVE_INFINITY;

  start(hostId: HostId): void {
    const {clock} = this;
    const lease: PoolLease = new PoolLease({
      store: this.storeOf(hostId),
      storeEra: new StoreEra(),
      clock,
      logger: SILENT_LOGGER,
      hostId,
      incarnation: `${hostId}-run-1`,
      scope: 'pool/engines',
      handoverDelayMilliseconds: HANDOVER_MILLISECONDS,
      hasHeardFromHolder: () =>
        this.idle.has(hostId) ||
        clock.monotonicMilliseconds() -
          (this.heardAt.get(hostId) ?? Number.NEGATIVE_INFINITY) <
          HEARD_MILLISECONDS,
      onResigned: (epoch, sinceOrder) => {
        for (const other of this.othersOf(hostId))
          other.receiveResignation(epoch, sinceOrder);
      },
      random: () => 0.5,
    });
    this.leases.set(hostId, lease);
    void lease.run();
  }

  async run(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
      await this.clock.advanceAsync(STEP_MILLISECONDS);
      this.announce();
      this.order();
    }
  }

  stop(): void {
    for (const lease of this.leases.values()) void lease.release();
  }

  private announce(): void {
    const now = this.clock.monotonicMilliseconds();
    for (const [hostId, lease] of this.leases) {
      const {epoch, renewal} = lease;
      if (epoch === undefined || renewal === undefined) continue;
      for (const other of this.othersOf(hostId)) {
        other.recordEpoch(epoch);
        other.receiveRenewal(renewal);
      }
      if (this.cut.has(hostId)) continue;
      for (const other of HOSTS)
        if (other !== hostId && !this.cut.has(other))
          this.heardAt.set(other, now);
    }
  }

  /** Each host that may order does, and engines judge the order. */
  private order(): void {
    const now = this.clock.monotonicMilliseconds();
    for (const [hostId, lease] of this.leases) {
      const {epoch} = lease;
      if (!lease.mayIssueOrders() || epoch === undefined) continue;
      lease.beginOrder();
      lease.endOrder();
      const {last} = this;
      if (last !== undefined && last.hostId !== hostId) {
        expect(epoch).toBeGreaterThan(last.epoch);
        expect(now - last.at).toBeGreaterThanOrEqual(HANDOVER_MILLISECONDS);
      }
      expect(epoch).toBeGreaterThanOrEqual(last?.epoch ?? 0);
      this.last = {hostId, epoch, at: now};
      this.lastOrderAt = now;
    }
  }

  private othersOf(hostId: HostId): readonly PoolLease[] {
    if (this.cut.has(hostId)) return [];
    return [...this.leases]
      .filter(([other]) => other !== hostId && !this.cut.has(other))
      .map(([, lease]) => lease);
  }

  private storeOf(hostId: HostId): RowStore {
    const respond = async <Answer>(read: () => Answer) => {
      await new Promise<void>(resolve => this.clock.startTimer(4, resolve));
      return read();
    };
    const now = () => this.clock.monotonicMilliseconds();
    const reach = <Answer>(read: () => Answer) =>
      respond(() => {
        const wasDown = this.store.isDown;
        if (this.cut.has(hostId)) this.store.isDown = true;
        const answer = read();
        this.store.isDown = wasDown;
        return answer;
      });
    return {
      readTable: table => reach(() => this.store.read(table, 0, now())),
      followTable: (table, after) =>
        reach(() => this.store.read(table, after, now())),
      commit: changes => reach(() => this.store.commit(changes, now())),
    };
  }
}

interface Case {
  name: string;
  awayMilliseconds: number;
  /** What happens between the copy and the loss of the store. */
  inLostSeconds?: (fleet: LeaseFleet) => Promise<void>;
  /** What happens when the store is back. */
  whenBack?: (fleet: LeaseFleet) => void;
  returns?: number;
}

/** The lease goes from the first host to the second one. */
async function handOver(fleet: LeaseFleet): Promise<void> {
  fleet.cut.add('host-a');
  await fleet.run(7000);
  fleet.cut.delete('host-a');
}

const CASES: Case[] = [
  {name: 'the holder goes on', awayMilliseconds: 300},
  {name: 'the holder gives up meanwhile', awayMilliseconds: 2500},
  {
    name: 'the store has lost a hand-over',
    awayMilliseconds: 300,
    inLostSeconds: handOver,
  },
  {
    name: 'the store has lost a hand-over, and the holder gives up',
    awayMilliseconds: 2500,
    inLostSeconds: handOver,
  },
  {
    name: 'the store has lost a hand-over, and the holder is cut off',
    awayMilliseconds: 300,
    inLostSeconds: handOver,
    whenBack: fleet => fleet.cut.add('host-b'),
  },
  {name: 'it comes back twice', awayMilliseconds: 300, returns: 2},
];

let fleet: LeaseFleet;

afterEach(() => fleet.stop());

describe('a lease in a store that comes back from an older copy', () => {
  // Guards against two holders with one fencing token, and against holders that take
  // turns too soon, since the store has lost the row of the later one.
  test.each(CASES)('has one holder at a time when $name', async entry => {
    const {awayMilliseconds, inLostSeconds, whenBack, returns = 1} = entry;
    fleet = new LeaseFleet();
    const {store} = fleet;
    fleet.idle.add('host-b').add('host-c');
    for (const hostId of HOSTS) fleet.start(hostId);
    await fleet.run(3000);
    fleet.idle.clear();
    await fleet.run(1000);
    for (let time = 0; time < returns; time++) {
      const copy = store.copy();
      await fleet.run(1000);
      await inLostSeconds?.(fleet);
      store.isDown = true;
      await fleet.run(awayMilliseconds);
      store.isDown = false;
      store.restore(copy);
      whenBack?.(fleet);
      await fleet.run(15_000);
      const now = fleet.clock.monotonicMilliseconds();
      expect(now - fleet.lastOrderAt).toBeLessThan(1000);
    }
  });
});
