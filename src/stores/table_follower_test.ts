import {afterEach, describe, expect, test} from 'vitest';
import {failure, success} from '../errors/mod.ts';
import {type EventName, SILENT_LOGGER} from '../observability/mod.ts';
import {ManualClock} from '../testing/manual_clock.ts';
import {
  type Row,
  type RowPage,
  type RowStore,
  StoreClock,
  StoreEra,
  TableFollower,
  type TableUpdate,
} from './mod.ts';

const STORE_MILLISECONDS = 4;
const PEER_MILLISECONDS = 2;
const WRITE_INTERVAL_MILLISECONDS = 100;

/** Store with one table, whose calls take {@link STORE_MILLISECONDS}. */
class SlowStore implements RowStore {
  readonly rows: Row[] = [];
  calls = 0;

  constructor(
    private readonly clock: ManualClock,
    private readonly isReachable: (host: number) => boolean,
    private readonly host: number,
    private readonly shared: {rows: Row[]; version: number; calls: number},
  ) {}

  readTable() {
    return this.respond(() => ({
      rows: [...this.shared.rows],
      version: this.shared.version,
      era: 0,
      storeMilliseconds: this.clock.monotonicMilliseconds(),
    }));
  }

  followTable(_table: string, after: number) {
    return this.respond(() => ({
      rows: this.shared.rows.filter(row => row.version > after),
      version: this.shared.version,
      era: 0,
      storeMilliseconds: this.clock.monotonicMilliseconds(),
    }));
  }

  commit(): never {
    throw new Error('not used');
  }

  private async respond(read: () => RowPage) {
    this.shared.calls++;
    await new Promise<void>(resolve =>
      this.clock.startTimer(STORE_MILLISECONDS, resolve),
    );
    return this.isReachable(this.host)
      ? success(read())
      : failure({
          kind: 'unavailable' as const,
          step: 'follow' as const,
          peer: 'store',
          reason: 'cut',
          mayHaveHappened: false,
        });
  }
}

interface Faults {
  /** Hosts whose updates reach nobody. */
  silent: Set<number>;
  /** Hosts that cannot reach the store. */
  cut: Set<number>;
}

let followers: TableFollower[] = [];

afterEach(() => {
  for (const follower of followers) follower.stop();
  followers = [];
});

function simulate(hosts: number) {
  const clock = new ManualClock();
  const shared = {rows: [] as Row[], version: 0, calls: 0};
  const faults: Faults = {silent: new Set(), cut: new Set()};
  const knownAt = new Map<number, number>();
  const versions = Array.from({length: hosts}, () => 0);
  const deliver = (from: number, update: TableUpdate) => {
    if (faults.silent.has(from)) return;
    clock.startTimer(PEER_MILLISECONDS, () => {
      followers.forEach((follower, host) => {
        if (host !== from && !faults.silent.has(host)) follower.receive(update);
      });
    });
  };
  const maximumLag = {value: 0};
  followers = versions.map((_unused, host) => {
    const apply = (rows: readonly Row[]) => {
      for (const {version} of rows) {
        versions[host] = Math.max(versions[host] ?? 0, version);
        const writtenAt = knownAt.get(version) ?? 0;
        maximumLag.value = Math.max(
          maximumLag.value,
          clock.monotonicMilliseconds() - writtenAt,
        );
      }
    };
    return new TableFollower({
      store: new SlowStore(clock, id => !faults.cut.has(id), host, shared),
      table: 'servers',
      clock,
      storeClock: new StoreClock({clock}),
      storeEra: new StoreEra(),
      logger: SILENT_LOGGER,
      waitMilliseconds: 0,
      pauseMilliseconds: () => 100,
      maximumAgeMilliseconds: () =>
        host === 0 ? 0 : Math.min(500 + 100 * host, 2000),
      boundMilliseconds: 2200,
      publish: update => deliver(host, update),
      onSnapshot: apply,
      onChanges: apply,
    });
  });
  for (const follower of followers) void follower.run();
  const write = () => {
    const version = ++shared.version;
    shared.rows.push({key: 'a', value: Buffer.of(1), version});
    knownAt.set(version, clock.monotonicMilliseconds());
    clock.startTimer(WRITE_INTERVAL_MILLISECONDS, write);
  };
  write();
  return {clock, shared, faults, versions, maximumLag};
}

/** One reader that starts when the table has a row already. */
function simulateRestart() {
  const clock = new ManualClock();
  const row: Row = {key: 'a', value: Buffer.of(1), version: 7};
  const shared = {rows: [row], version: 7, calls: 0};
  const updates: TableUpdate[] = [];
  const follower = new TableFollower({
    store: new SlowStore(clock, () => true, 0, shared),
    table: 'servers',
    clock,
    storeClock: new StoreClock({clock}),
    storeEra: new StoreEra(),
    logger: SILENT_LOGGER,
    waitMilliseconds: 0,
    pauseMilliseconds: () => 100,
    maximumAgeMilliseconds: () => 0,
    boundMilliseconds: 2200,
    publish: update => updates.push(update),
    onSnapshot: () => undefined,
    onChanges: () => undefined,
  });
  followers = [follower];
  void follower.run();
  return {clock, shared, deliver: () => updates};
}

describe('TableFollower', () => {
  // Guards against store calls that grow with the number of hosts.
  test.each([{hosts: 30}, {hosts: 300}])(
    '$hosts hosts read the store no more often than one',
    async ({hosts}) => {
      const {clock, shared} = simulate(hosts);
      await clock.advanceAsync(1000);
      const before = shared.calls;
      await clock.advanceAsync(3000);
      expect(shared.calls - before).toBeLessThanOrEqual(31);
    },
  );

  // Guards against a host that uses an endpoint after the time that the platform
  // allows, because the host that reads for it has stopped, frozen or lost the
  // store.
  test.each([
    {name: 'the reader falls silent', silent: [0], cut: [], bound: 900},
    {name: 'the reader loses the store', silent: [], cut: [0], bound: 900},
    {
      name: 'three readers in a row stop',
      silent: [0, 1, 2],
      cut: [],
      bound: 1100,
    },
    {
      name: 'a host is cut off from its peers',
      silent: [20],
      cut: [],
      bound: 2200,
    },
  ])('$name: every change is known in time', async entry => {
    const {clock, shared, faults, versions, maximumLag} = simulate(30);
    await clock.advanceAsync(2000);
    maximumLag.value = 0;
    for (const host of entry.silent) faults.silent.add(host);
    for (const host of entry.cut) faults.cut.add(host);
    await clock.advanceAsync(5000);
    expect(maximumLag.value).toBeLessThanOrEqual(entry.bound);
    const behind = versions.filter(
      version => shared.version - version > entry.bound / 100,
    );
    expect(behind).toEqual([]);
  });

  // On a played day the reader was killed right after a change. Restarted, it had the
  // change from its first read, and its first update led the others past it.
  test('the first update of a restarted reader does not skip its first read', async () => {
    const {clock, shared, deliver} = simulateRestart();
    await clock.advanceAsync(500);
    const [first] = deliver();
    expect(first?.afterVersion).toBe(shared.version);
  });

  // A host that the store turns away must not stay behind for ever because it has
  // missed one update.
  test('a host without the store catches up by the content of a peer', async () => {
    const {clock, faults, versions, shared} = simulate(2);
    await clock.advanceAsync(500);
    faults.cut.add(1);
    faults.silent.add(0);
    await clock.advanceAsync(2000);
    const behind = versions[1] ?? 0;
    const content = followers[0]?.content();
    expect(content && followers[1]?.receive(content)).toBe(true);
    expect(versions[1]).toBeGreaterThan(behind + 10);
    expect(shared.version - (versions[1] ?? 0)).toBeLessThanOrEqual(3);
  });

  // One odd row must not keep a host from following the others. A receiver that
  // failed ended the follower for good, without a line in the log.
  test.each([{method: 'onSnapshot'}, {method: 'onChanges'}] as const)(
    'a table is followed on after $method has failed',
    async ({method}) => {
      const clock = new ManualClock();
      const shared = {rows: [] as Row[], version: 0, calls: 0};
      const events: EventName[] = [];
      const changes: number[] = [];
      let hasFailed = false;
      const receive = (name: string, rows: readonly Row[]) => {
        if (name === method && !hasFailed) {
          hasFailed = true;
          throw new RangeError('Maximum call stack size exceeded');
        }
        changes.push(...rows.map(({version}) => version));
      };
      const follower = new TableFollower({
        store: new SlowStore(clock, () => true, 0, shared),
        table: 'servers',
        clock,
        storeClock: new StoreClock({clock}),
        storeEra: new StoreEra(),
        logger: {event: name => events.push(name)},
        waitMilliseconds: 0,
        pauseMilliseconds: () => 100,
        maximumAgeMilliseconds: () => 0,
        boundMilliseconds: 2200,
        onSnapshot: rows => receive('onSnapshot', rows),
        onChanges: rows => receive('onChanges', rows),
      });
      followers = [follower];
      void follower.run().catch(() => undefined);
      for (let version = 1; version <= 3; version++) {
        shared.version = version;
        shared.rows.push({key: `key-${version}`, value: Buffer.of(1), version});
        await clock.advanceAsync(300);
      }
      expect(hasFailed).toBe(true);
      expect(changes).toContain(3);
      expect(events).toEqual(['unexpectedFailure']);
    },
  );

  // Guards against rows that are lost because an update was lost before them.
  test('an update after a missed one is not applied', async () => {
    const {clock, shared, versions} = simulate(2);
    await clock.advanceAsync(500);
    const known = versions[1] ?? 0;
    const rows = [{key: 'a', value: undefined, version: known + 40}];
    followers[1]?.receive({
      table: 'servers',
      era: 0,
      afterVersion: known + 30,
      isComplete: false,
      version: known + 40,
      rows,
      knownAt: clock.monotonicMilliseconds(),
      regainedAt: undefined,
    });
    expect(versions[1]).toBe(known);
    await clock.advanceAsync(3000);
    expect(shared.version - (versions[1] ?? 0)).toBeLessThanOrEqual(3);
  });
});
