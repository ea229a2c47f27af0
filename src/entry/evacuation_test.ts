import {afterEach, describe, expect, test} from 'vitest';
import {
  EndpointRegistry,
  EvacuatedDataCentres,
  HostRegistry,
} from '../fleet/mod.ts';
import {Metrics, SILENT_LOGGER} from '../observability/mod.ts';
import {createPlatform} from '../platform/mod.ts';
import {
  type RowStore,
  StoreClock,
  StoreEra,
  type TableUpdate,
} from '../stores/mod.ts';
import {ManualClock} from '../testing/manual_clock.ts';
import {RestorableStore} from '../testing/restorable_store.ts';
import {ConfigurationSource} from './configuration_source.ts';
import {StoreFollowers} from './store_followers.ts';

const BOUND_MILLISECONDS = 3000;
const CALL_MILLISECONDS = 4;
const LINK_MILLISECONDS = 2;

interface Host {
  readonly endpoints: EndpointRegistry;
  readonly followers: StoreFollowers;
  isCutOffFromStore: boolean;
  /** Whether zone-a was evacuated when the host became ready; undefined before. */
  evacuatedWhenReady: boolean | undefined;
  /** How often the managers of pools were told to check the engines. */
  notifications: number;
}

/** Hosts that follow one store, in which two data centres have one endpoint each. */
class EvacuationFleet {
  readonly clock = new ManualClock();
  readonly store = new RestorableStore();
  readonly hosts: Host[] = [];
  private readonly platform = createPlatform({
    ...{address: '', timeoutMilliseconds: 900},
  });

  constructor() {
    this.store.put('op', 'config', '{"version":1,"routes":[],"services":[]}');
    for (const [id, zone] of Object.entries({a1: 'zone-a', b1: 'zone-b'})) {
      const row = {service: 'plain', address: '10.0.0.1:80', zone, born: 1};
      this.store.put('servers', id, JSON.stringify({...row, state: 'ready'}));
    }
  }

  startHost({isCutOffFromStore = false} = {}): Host {
    const {clock, platform, hosts} = this;
    const rank = hosts.length;
    const logger = SILENT_LOGGER;
    const endpoints = new EndpointRegistry({
      ...{clock, logger, maximumConnections: () => 1},
      storeRegainedAt: () => Number.NEGATIVE_INFINITY,
    });
    const followers = new StoreFollowers({
      platform: {...platform, store: this.storeOf(rank)},
      ...{clock, logger, endpoints},
      storeClock: new StoreClock({clock}),
      storeEra: new StoreEra(),
      configuration: new ConfigurationSource({
        ...{platform, logger},
        onApplied: () => {
          const dataCentre = 'zone-a';
          host.evacuatedWhenReady = endpoints.isEvacuated({dataCentre});
        },
      }),
      hosts: new HostRegistry({
        hostId: `host-${rank}`,
        self: () => {
          throw new Error('not used');
        },
      }),
      evacuations: new EvacuatedDataCentres({
        ...{logger, endpoints, metrics: new Metrics()},
      }),
      drainMilliseconds: 2000,
      configurationMilliseconds: BOUND_MILLISECONDS,
      ...{isFirstStart: false, registrationMilliseconds: 0},
      ...{managesPool: () => false, isConnected: () => false},
      ...{rank: () => rank, random: () => 0},
      publish: update => this.publish(rank, update),
      onEndpointsChanged: () => void host.notifications++,
    });
    const host: Host = {
      ...{endpoints, followers, isCutOffFromStore},
      ...{evacuatedWhenReady: undefined, notifications: 0},
    };
    hosts.push(host);
    followers.start();
    for (const table of followers.missingTables()) this.supply(0, rank, table);
    return host;
  }

  evacuate(dataCentre: string): void {
    this.store.put('op', `evacuate/${dataCentre}`, '{}');
  }

  cancel(dataCentre: string): void {
    this.store.remove('op', `evacuate/${dataCentre}`);
  }

  /** Lets the bound pass within which each host has to know of a change. */
  settle(): Promise<void> {
    return this.clock.advanceAsync(BOUND_MILLISECONDS);
  }

  /** Usable endpoints of each host. */
  usable(): string[] {
    return this.hosts.map(({endpoints}) =>
      endpoints
        .usable('plain')
        .map(({record}) => record.id)
        .join(' '),
    );
  }

  stop(): void {
    for (const {followers} of this.hosts) followers.stop();
  }

  private storeOf(rank: number): RowStore {
    const respond = async <Answer>(read: (now: number) => Answer) => {
      await this.pass(CALL_MILLISECONDS);
      const isDown = this.hosts[rank]?.isCutOffFromStore ?? false;
      const wasDown = this.store.isDown;
      this.store.isDown = wasDown || isDown;
      const answer = read(this.clock.monotonicMilliseconds());
      this.store.isDown = wasDown;
      return answer;
    };
    return {
      readTable: table => respond(now => this.store.read(table, 0, now)),
      followTable: (table, after) =>
        respond(now => this.store.read(table, after, now)),
      commit: () => {
        throw new Error('not used');
      },
    };
  }

  private publish(from: number, update: TableUpdate): void {
    this.hosts.forEach(({followers}, to) => {
      if (to === from) return;
      this.clock.startTimer(LINK_MILLISECONDS, () => {
        const isApplied = followers.receive(update, `host-${from}`);
        if (!isApplied) this.supply(from, to, update.table);
      });
    });
  }

  private supply(from: number, to: number, table: string): void {
    const content = this.hosts[from]!.followers.content(table);
    if (content === undefined) return;
    this.clock.startTimer(LINK_MILLISECONDS, () =>
      this.hosts[to]!.followers.receive(content, `host-${from}`),
    );
  }

  private pass(milliseconds: number): Promise<void> {
    return new Promise(resolve => this.clock.startTimer(milliseconds, resolve));
  }
}

interface Case {
  name: string;
  steps: (fleet: EvacuationFleet) => Promise<void>;
  /** Usable endpoints of all hosts at the end. */
  usable: string;
}

const CASES: Case[] = [
  {
    name: 'one data centre is evacuated',
    steps: async fleet => fleet.evacuate('zone-a'),
    usable: 'b1',
  },
  {
    name: 'the evacuation is cancelled',
    steps: async fleet => {
      fleet.evacuate('zone-a');
      await fleet.settle();
      fleet.cancel('zone-a');
    },
    usable: 'a1 b1',
  },
  {
    name: 'two data centres are evacuated by turns',
    steps: async fleet => {
      for (const [from, to] of ['ab', 'ba', 'ab']) {
        fleet.cancel(`zone-${from}`);
        fleet.evacuate(`zone-${to}`);
        await fleet.settle();
      }
    },
    usable: 'a1',
  },
  {
    name: 'all data centres are evacuated',
    steps: async fleet => {
      fleet.evacuate('zone-a');
      fleet.evacuate('zone-b');
    },
    usable: '',
  },
  {
    name: 'the store is lost during an evacuation',
    steps: async fleet => {
      fleet.evacuate('zone-a');
      await fleet.settle();
      fleet.store.isDown = true;
      await fleet.clock.advanceAsync(20_000);
    },
    usable: 'b1',
  },
  {
    name: 'a host that is cut off from the store hears of it from its peers',
    steps: async fleet => {
      fleet.hosts[2]!.isCutOffFromStore = true;
      await fleet.settle();
      fleet.evacuate('zone-a');
    },
    usable: 'b1',
  },
  {
    name: 'a host that is cut off from the store hears of its end from its peers',
    steps: async fleet => {
      fleet.evacuate('zone-a');
      await fleet.settle();
      fleet.hosts[2]!.isCutOffFromStore = true;
      await fleet.settle();
      fleet.cancel('zone-a');
    },
    usable: 'a1 b1',
  },
  ...[false, true].map(isCutOffFromStore => ({
    name: `a host starts, cut off from the store: ${isCutOffFromStore}`,
    steps: async (fleet: EvacuationFleet) => {
      fleet.evacuate('zone-a');
      await fleet.settle();
      const host = fleet.startHost({isCutOffFromStore});
      await fleet.settle();
      expect(host.evacuatedWhenReady).toBe(true);
    },
    usable: 'b1',
  })),
  {
    name: 'the store comes back from a copy without it',
    steps: async fleet => {
      const copy = fleet.store.copy();
      fleet.evacuate('zone-a');
      await fleet.settle();
      fleet.store.restore(copy);
    },
    usable: 'a1 b1',
  },
  {
    name: 'the store comes back from a copy without it, and it is repeated',
    steps: async fleet => {
      const copy = fleet.store.copy();
      for (let version = 0; version < 9; version++) fleet.evacuate('zone-a');
      await fleet.settle();
      fleet.store.restore(copy);
      await fleet.settle();
      fleet.evacuate('zone-a');
    },
    usable: 'b1',
  },
  {
    name: 'the store comes back from a copy with it after it was cancelled',
    steps: async fleet => {
      fleet.evacuate('zone-a');
      await fleet.settle();
      const copy = fleet.store.copy();
      fleet.cancel('zone-a');
      await fleet.settle();
      fleet.store.restore(copy);
    },
    usable: 'b1',
  },
];

let fleet: EvacuationFleet;

afterEach(() => fleet.stop());

describe('All hosts use the same data centres in time when', () => {
  // Guards against hosts that send to an evacuated data centre, or never again to one
  // whose evacuation was cancelled.
  test.each(CASES)('$name', async ({steps, usable}) => {
    fleet = new EvacuationFleet();
    for (let started = 0; started < 3; started++) fleet.startHost();
    await fleet.settle();
    await steps(fleet);
    await fleet.settle();
    expect(fleet.usable()).toEqual(fleet.hosts.map(() => usable));
  });

  // Guards against models that are loaded elsewhere only in a later round, and against
  // rounds for each repetition.
  test('an evacuation starts, which the managers of pools are told once', async () => {
    fleet = new EvacuationFleet();
    for (let started = 0; started < 3; started++) fleet.startHost();
    await fleet.settle();
    const before = fleet.hosts.map(({notifications}) => notifications);
    for (const zone of ['zone-a', 'zone-a']) {
      fleet.evacuate(zone);
      await fleet.settle();
    }
    expect(fleet.hosts.map(({notifications}) => notifications)).toEqual(
      before.map(count => count + 1),
    );
  });
});
