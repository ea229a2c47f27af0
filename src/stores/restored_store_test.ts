import {afterEach, describe, expect, test} from 'vitest';
import {SILENT_LOGGER} from '../observability/mod.ts';
import {ManualClock} from '../testing/manual_clock.ts';
import {RestorableStore} from '../testing/restorable_store.ts';
import {
  type Row,
  type RowStore,
  StoreClock,
  StoreEra,
  TableFollower,
  type TableUpdate,
} from './mod.ts';

const TABLE = 'endpoints';
const STORE_MILLISECONDS = 4;
const PEER_MILLISECONDS = 2;
const WRITE_INTERVAL_MILLISECONDS = 50;

/** Time within which a change must be known on each host. */
const BOUND_MILLISECONDS = 2000;

/** What the store loses, and how long it is away. */
const LOST_MILLISECONDS = 4000;
const AWAY_MILLISECONDS = 2000;

/** Hosts whose followers share reads, as the entry hosts do. */
class FollowingFleet {
  readonly clock = new ManualClock();
  readonly store = new RestorableStore();
  readonly followers: TableFollower[];
  /** Rows as each host knows them. */
  readonly known: Map<string, string>[];
  /** Time on the way of an update from a host. */
  updateMilliseconds: (from: number) => number = () => PEER_MILLISECONDS;
  private isWriting = true;

  constructor(hosts: number) {
    this.known = Array.from({length: hosts}, () => new Map<string, string>());
    this.followers = this.known.map((known, host) => this.follow(host, known));
    this.store.put(TABLE, 'endpoint-1', 'ready');
    void this.write();
    for (const follower of this.followers) void follower.run();
  }

  /** Sends the whole table as one host knows it to another. */
  supply(from: number, to: number): void {
    const content = this.followers[from]!.content();
    if (content !== undefined)
      this.later(PEER_MILLISECONDS, () => this.followers[to]!.receive(content));
  }

  stop(): void {
    this.isWriting = false;
    for (const follower of this.followers) follower.stop();
  }

  private follow(host: number, known: Map<string, string>): TableFollower {
    const {clock} = this;
    const apply = (rows: readonly Row[]) => {
      for (const {key, value} of rows)
        if (value !== undefined) known.set(key, value.toString());
    };
    return new TableFollower({
      store: this.storeOf(),
      table: TABLE,
      clock,
      storeClock: new StoreClock({clock}),
      storeEra: new StoreEra(),
      logger: SILENT_LOGGER,
      waitMilliseconds: 0,
      pauseMilliseconds: () => 100,
      maximumAgeMilliseconds: () =>
        host === 0 ? 0 : 600 + Math.min(host, 5) * 60,
      boundMilliseconds: BOUND_MILLISECONDS,
      isSignificant: (row, previous) =>
        row.value?.toString() !== previous?.value?.toString(),
      publish: update => this.publish(host, update),
      onSnapshot: rows => {
        known.clear();
        apply(rows);
      },
      onChanges: apply,
    });
  }

  private storeOf(): RowStore {
    const respond = async <Answer>(read: () => Answer) => {
      await this.pass(STORE_MILLISECONDS / 2);
      const answer = read();
      await this.pass(STORE_MILLISECONDS / 2);
      return answer;
    };
    const now = () => this.clock.monotonicMilliseconds();
    return {
      readTable: table => respond(() => this.store.read(table, 0, now())),
      followTable: (table, after) =>
        respond(() => this.store.read(table, after, now())),
      commit: changes => respond(() => this.store.commit(changes, now())),
    };
  }

  private publish(from: number, update: TableUpdate): void {
    this.followers.forEach((follower, to) => {
      if (to === from) return;
      this.later(this.updateMilliseconds(from), () => {
        if (!follower.receive(update, `host-${from}`)) this.supply(from, to);
      });
    });
  }

  private async write(): Promise<void> {
    for (let heartbeat = 0; this.isWriting; heartbeat++) {
      if (!this.store.isDown)
        this.store.put(TABLE, `endpoint-${2 + (heartbeat % 4)}`, 'ready');
      await this.pass(WRITE_INTERVAL_MILLISECONDS);
    }
  }

  private later(milliseconds: number, action: () => void): void {
    this.clock.startTimer(milliseconds, action);
  }

  private pass(milliseconds: number): Promise<void> {
    return new Promise(resolve => {
      this.clock.startTimer(milliseconds, resolve);
    });
  }
}

interface Crossing {
  name: string;
  /** Called when the store is lost. */
  whenLost?: (fleet: FollowingFleet) => void;
  /** Called when the store is back. */
  whenBack?: (fleet: FollowingFleet) => void;
  /** Times that the store comes back. */
  returns?: number;
  /** Time from the return until the endpoint leaves. @default 0 */
  leavesAfterMilliseconds?: number;
}

const CROSSINGS: Crossing[] = [
  {name: 'all hosts notice'},
  {
    name: 'a peer sends its older copy to the reader',
    whenBack: fleet => {
      for (let after = 0; after < 1500; after += 50)
        fleet.clock.startTimer(after, () => fleet.supply(1, 0));
    },
    leavesAfterMilliseconds: 1600,
  },
  {
    name: 'updates from before arrive afterwards',
    whenLost: fleet => {
      fleet.updateMilliseconds = () => AWAY_MILLISECONDS + 500;
    },
    whenBack: fleet => {
      fleet.updateMilliseconds = () => PEER_MILLISECONDS;
    },
  },
  {
    name: 'the version passes the old one before a host asks',
    whenBack: ({store}) => {
      for (let written = 0; written < 200; written++)
        store.put(TABLE, 'endpoint-2', 'ready');
    },
  },
  {name: 'the store comes back twice', returns: 2},
];

const CASES = [8, 84, 300].flatMap(hosts =>
  CROSSINGS.map(crossing => ({hosts, ...crossing})),
);

let fleet: FollowingFleet;

afterEach(() => fleet.stop());

describe('a store that comes back from an older copy', () => {
  // Guards against hosts that take rows of before for newer than those of now: they
  // dropped all changes until the versions had passed the old ones, for example that an
  // endpoint leaves.
  test.each(CASES)(
    'hides no change from $hosts hosts when $name',
    async ({hosts, whenLost, whenBack, ...crossing}) => {
      const {returns = 1, leavesAfterMilliseconds = 0} = crossing;
      fleet = new FollowingFleet(hosts);
      const {store, clock} = fleet;
      await clock.advanceAsync(6000);
      for (let time = 0; time < returns; time++) {
        const copy = store.copy();
        await clock.advanceAsync(LOST_MILLISECONDS);
        whenLost?.(fleet);
        await clock.advanceAsync(300);
        store.isDown = true;
        await clock.advanceAsync(AWAY_MILLISECONDS);
        store.isDown = false;
        store.restore(copy);
        clock.startTimer(leavesAfterMilliseconds, () =>
          store.put(TABLE, 'endpoint-1', `leaving-${time}`),
        );
        await clock.advanceAsync(0);
        whenBack?.(fleet);
        await clock.advanceAsync(leavesAfterMilliseconds);
        await clock.advanceAsync(BOUND_MILLISECONDS);
        const states = fleet.known.map(known => known.get('endpoint-1'));
        expect(new Set(states)).toEqual(new Set([`leaving-${time}`]));
      }
    },
  );
});
