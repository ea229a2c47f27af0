import {afterEach, describe, expect, test} from 'vitest';
import {failure, type Result, success} from '../errors/mod.ts';
import {
  EndpointRegistry,
  EvacuatedDataCentres,
  HostRegistry,
} from '../fleet/mod.ts';
import {Metrics, SILENT_LOGGER} from '../observability/mod.ts';
import {createPlatform} from '../platform/mod.ts';
import {
  type Row,
  type RowPage,
  type RowStore,
  type RowStoreError,
  StoreClock,
  StoreEra,
  type TableUpdate,
} from '../stores/mod.ts';
import {ManualClock} from '../testing/manual_clock.ts';
import {ConfigurationSource} from './configuration_source.ts';
import {StoreFollowers} from './store_followers.ts';

const BOUND_MILLISECONDS = 3000;
const CALL_MILLISECONDS = 4;
const LINK_MILLISECONDS = 2;
/** Time of the store's clock when the clocks of the hosts start. */
const STORE_START = 70_000;
const HEARTBEAT_MILLISECONDS = 100;
/** Hosts that forward updates to the others, each to its share of them. */
const ACTIVE_HOSTS = 16;

/** Faults of one simulated fleet; a test changes them while it runs. */
interface Faults {
  /** Time that updates wait in the queue of a host's link, by sender. */
  readonly linkDelays: Map<number, number>;
  /** Hosts that send and handle nothing. */
  readonly frozen: Set<number>;
  /** Hosts whose updates are lost. */
  readonly silent: Set<number>;
  /** Whether the store refuses each call at once. */
  isRefusing: boolean;
  /** Number of further calls of each host that get no answer. */
  readonly hangingCalls: Map<number, number>;
  /** Hosts that others supply, while they take themselves for active ones. */
  readonly roles: Map<number, number | undefined>;
}

/** Store with a configuration and one endpoint, which feeds long polls. */
class SharedStore {
  version = 1;
  readonly rows = new Map<string, Row[]>();
  calls = 0;
  private readonly waiting = new Set<() => void>();

  constructor(private readonly clock: ManualClock) {}

  write(table: string, key: string, content: unknown): void {
    const value = Buffer.from(JSON.stringify(content));
    const rows = (this.rows.get(table) ?? []).filter(row => row.key !== key);
    this.rows.set(table, [...rows, {key, value, version: ++this.version}]);
    for (const wake of [...this.waiting]) wake();
  }

  /** Returns the store as one host reaches it. */
  client(host: number, faults: Faults): RowStore {
    const pause = (milliseconds: number) =>
      new Promise<void>(resolve =>
        this.clock.startTimer(milliseconds, resolve),
      );
    const page = (table: string, after: number): RowPage => ({
      rows: (this.rows.get(table) ?? []).filter(row => row.version > after),
      version: this.version,
      era: 0,
      storeMilliseconds: STORE_START + this.clock.monotonicMilliseconds(),
    });
    type Reply = Result<RowPage, RowStoreError>;
    const unavailable = (reason: string) =>
      failure({
        kind: 'unavailable' as const,
        step: 'follow' as const,
        peer: 'store',
        reason,
        mayHaveHappened: false,
      });
    return {
      readTable: async (table): Promise<Reply> => {
        this.calls++;
        await pause(CALL_MILLISECONDS);
        return success(page(table, 0));
      },
      followTable: async (table, after, options): Promise<Reply> => {
        const {waitMilliseconds, timeoutMilliseconds = 900} = options;
        this.calls++;
        const hanging = faults.hangingCalls.get(host) ?? 0;
        if (hanging > 0) {
          faults.hangingCalls.set(host, hanging - 1);
          await pause(waitMilliseconds + timeoutMilliseconds);
          return unavailable('timed out');
        }
        await pause(CALL_MILLISECONDS);
        if (faults.isRefusing) return unavailable('refused');
        if (page(table, after).rows.length === 0)
          await this.change(waitMilliseconds);
        return success(page(table, after));
      },
      commit: () => {
        throw new Error('not used');
      },
    };
  }

  /** Resolves at the next write, or after the wait. */
  private change(milliseconds: number): Promise<void> {
    return new Promise(resolve => {
      const finish = () => {
        cancel();
        this.waiting.delete(finish);
        resolve();
      };
      const cancel = this.clock.startTimer(milliseconds, finish);
      this.waiting.add(finish);
    });
  }
}

const running: StoreFollowers[] = [];

afterEach(() => {
  for (const followers of running.splice(0)) followers.stop();
});

/** A fleet in which host 0 reads, active hosts forward and the rest are supplied. */
function simulate(hosts: number) {
  const clock = new ManualClock();
  const store = new SharedStore(clock);
  const platform = createPlatform({address: '', timeoutMilliseconds: 900});
  const faults: Faults = {
    linkDelays: new Map(),
    frozen: new Set(),
    silent: new Set(),
    isRefusing: false,
    hangingCalls: new Map(),
    roles: new Map(),
  };
  const fleet: SimulatedHost[] = [];
  const writeConfiguration = (version: number) =>
    store.write(platform.configurationTable, platform.configurationKey, {
      version,
      routes: [],
      services: [],
    });
  const writeEndpoint = (
    state: string,
    sequence: number,
    {key, zone} = {key: 'e1', zone: 'zone-a'},
  ) =>
    store.write(platform.endpointTable, key, {
      service: 'plain',
      address: '10.0.0.1:80',
      zone,
      slots: 4,
      born: 1,
      state,
      sequence,
    });
  /** Delivers after the queue of the sender's link; each host forwards once. */
  const deliver = (from: number, to: number[], update: TableUpdate) => {
    if (faults.silent.has(from) || to.length === 0) return;
    const delay = LINK_MILLISECONDS + (faults.linkDelays.get(from) ?? 0);
    clock.startTimer(delay, () => {
      for (const index of to) {
        if (faults.frozen.has(index)) continue;
        fleet[index]?.followers.receive(update, `host-${from}`);
        if (from === 0) deliver(index, standbyHosts(index, hosts), update);
      }
    });
  };
  for (let index = 0; index < hosts; index++) {
    const configuration = new ConfigurationSource({
      platform,
      logger: SILENT_LOGGER,
      onApplied: () => undefined,
    });
    const endpoints = new EndpointRegistry({
      clock,
      logger: SILENT_LOGGER,
      maximumConnections: () => 1,
      storeRegainedAt: () => Number.NEGATIVE_INFINITY,
    });
    const ownRank = index < ACTIVE_HOSTS ? index : undefined;
    const followers = new StoreFollowers({
      platform: {...platform, store: store.client(index, faults)},
      clock,
      storeClock: new StoreClock({clock}),
      storeEra: new StoreEra(),
      isConnected: () => false,
      logger: SILENT_LOGGER,
      configuration,
      endpoints,
      evacuations: new EvacuatedDataCentres({
        logger: SILENT_LOGGER,
        metrics: new Metrics(),
        endpoints,
      }),
      hosts: new HostRegistry({
        hostId: `host-${index}`,
        self: () => {
          throw new Error('not used');
        },
      }),
      drainMilliseconds: BOUND_MILLISECONDS,
      configurationMilliseconds: BOUND_MILLISECONDS,
      isFirstStart: false,
      registrationMilliseconds: 0,
      managesPool: () => false,
      rank: () => (faults.roles.has(index) ? faults.roles.get(index) : ownRank),
      random: () => 0,
      publish: update => {
        const peers = index === 0 ? activePeers() : [];
        deliver(index, peers, update);
      },
      onEndpointsChanged: () => undefined,
    });
    fleet.push({configuration, endpoints, followers});
    running.push(followers);
  }
  writeConfiguration(1);
  writeEndpoint('ready', 0);
  writeEndpoint('ready', 0, {key: 'e2', zone: 'zone-b'});
  for (const {followers} of fleet) followers.start();
  let state = 'ready';
  const beat = (sequence: number) => {
    writeEndpoint(state, sequence);
    clock.startTimer(HEARTBEAT_MILLISECONDS, () => beat(sequence + 1));
  };
  beat(1);
  return {
    clock,
    faults,
    fleet,
    store,
    /**
     * Accepts a configuration, evacuates the data centre of the second endpoint and
     * lets the first one leave, at the same time.
     */
    change: () => {
      state = 'draining';
      writeConfiguration(2);
      store.write(platform.configurationTable, 'evacuate/zone-b', {});
      writeEndpoint(state, 0);
    },
  };
}

interface SimulatedHost {
  readonly configuration: ConfigurationSource;
  readonly endpoints: EndpointRegistry;
  readonly followers: StoreFollowers;
}

function activePeers(): number[] {
  return Array.from({length: ACTIVE_HOSTS - 1}, (_unused, index) => index + 1);
}

/** Standby hosts that an active host supplies; host 0 has none. */
function standbyHosts(active: number, hosts: number): number[] {
  const standby = Array.from(
    {length: hosts - ACTIVE_HOSTS},
    (_unused, index) => ACTIVE_HOSTS + index,
  );
  return standby.filter(index => 1 + (index % (ACTIVE_HOSTS - 1)) === active);
}

/** Hosts that still act on the rows from before the change. */
function lateHosts(fleet: readonly SimulatedHost[]): string[] {
  return fleet.flatMap(({configuration, endpoints}, index) => [
    ...(configuration.version < 2 ? [`host-${index}: configuration`] : []),
    ...endpoints
      .usable('plain')
      .map(({record}) => `host-${index}: ${record.id}`),
  ]);
}

interface Case {
  name: string;
  hosts: number;
  /** Sets in faults before the change. */
  before: (faults: Faults) => void;
  /** Sets in faults at the change. */
  at?: (faults: Faults) => void;
}

const CASES: Case[] = [
  ...[84, 300, 1100].map(hosts => ({
    name: `updates wait 3.5 s in the queue of one forwarding host (${hosts} hosts)`,
    hosts,
    before: ({linkDelays}: Faults) => void linkDelays.set(3, 3500),
  })),
  {
    name: 'updates wait 1.6 s on each of two hops',
    hosts: 84,
    before: ({linkDelays}) => {
      linkDelays.set(0, 1600);
      linkDelays.set(3, 1600);
    },
  },
  {
    name: 'updates wait 4 s on the link of the reader',
    hosts: 84,
    before: ({linkDelays}) => void linkDelays.set(0, 4000),
  },
  {
    name: 'updates of a forwarding host are lost',
    hosts: 84,
    before: ({silent}) => void silent.add(3),
  },
  {
    name: 'the reader loses its updates',
    hosts: 300,
    before: ({silent}) => void silent.add(0),
  },
  // Connections can go silent for good while new ones work.
  {
    name: 'updates stop and each next call on a kept connection hangs',
    hosts: 84,
    before: () => undefined,
    at: ({silent, hangingCalls}) => {
      silent.add(3);
      for (let host = 1; host < 84; host++) hangingCalls.set(host, 1);
    },
  },
  {
    name: 'a host takes itself for a standby host, and nobody supplies it',
    hosts: 84,
    before: ({roles, silent}) => {
      roles.set(5, undefined);
      silent.add(0);
    },
  },
];

describe('A fleet knows each change in time', () => {
  // Callers were served by an older configuration, and endpoints got requests after
  // they had said that they leave, or would after their evacuation: hosts took updates that had been held up for
  // fresh ones and did not read the store.
  test.each(CASES)('although $name', async ({hosts, before, at}) => {
    const {clock, faults, fleet, change} = simulate(hosts);
    await clock.advanceAsync(2500);
    before(faults);
    // Long enough for updates that wait to arrive one after the other again.
    await clock.advanceAsync(6000);
    at?.(faults);
    change();
    await clock.advanceAsync(BOUND_MILLISECONDS);
    expect(lateHosts(fleet)).toEqual([]);
  });

  // When the store refuses calls at once, all hosts read in place of the reader.
  test('and asks a store that refuses it a few times a second', async () => {
    const hosts = 300;
    const {clock, faults, store} = simulate(hosts);
    await clock.advanceAsync(2500);
    faults.isRefusing = true;
    let most = 0;
    for (let second = 0; second < 8; second++) {
      const before = store.calls;
      await clock.advanceAsync(1000);
      most = Math.max(most, store.calls - before);
    }
    // The store allows 2,000 reads a second; two tables are followed.
    expect(most).toBeLessThanOrEqual(2000);
  });
});
