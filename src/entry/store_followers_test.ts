import {expect, test} from 'vitest';
import {success} from '../errors/mod.ts';
import {
  EndpointRegistry,
  EvacuatedDataCentres,
  HostRegistry,
} from '../fleet/mod.ts';
import {Metrics, SILENT_LOGGER} from '../observability/mod.ts';
import {createPlatform} from '../platform/mod.ts';
import {
  type Row,
  type RowStore,
  StoreClock,
  StoreEra,
  type TableUpdate,
} from '../stores/mod.ts';
import {ManualClock} from '../testing/manual_clock.ts';
import {ConfigurationSource} from './configuration_source.ts';
import {StoreFollowers} from './store_followers.ts';

function endpoint(state: string, more: Record<string, unknown> = {}): Buffer {
  return Buffer.from(
    JSON.stringify({
      service: 'plain',
      address: '10.0.0.1:80',
      zone: 'zone-a',
      slots: 4,
      born: 1,
      state,
      ...more,
    }),
  );
}

const cold = (milliseconds: number) =>
  endpoint('ready', {cold_remaining_ms: milliseconds});

interface Case {
  name: string;
  value: Buffer | undefined;
  isPublished: boolean;
  /** Row before the change. @default that of a warm endpoint */
  before?: Buffer;
  /** Services of the configuration; it is unknown if undefined. */
  services?: object[];
}

const CASES: Case[] = [
  {name: 'draining', value: endpoint('draining'), isPublished: true},
  // On a played day the host that read the removal of an endpoint kept it to itself,
  // and the others used the endpoint for more than 2 s.
  {name: 'removed', value: undefined, isPublished: true},
  {name: 'restarted', value: endpoint('ready', {born: 2}), isPublished: true},
  // Hosts that are not told send to a cold engine as to a warm one.
  {name: 'cold', value: cold(3000), isPublished: true},
  {
    name: 'cold without a cold phase',
    value: cold(3000),
    services: [{name: 'plain'}],
    isPublished: false,
  },
  {name: 'still cold', before: cold(3), value: cold(2), isPublished: false},
  {name: 'cold again', before: cold(3), value: cold(4), isPublished: true},
  {name: 'warm again', before: cold(3), value: cold(0), isPublished: true},
  {
    name: 'alive as before',
    value: endpoint('ready', {sequence: 9, available: {on_disk: ['m']}}),
    isPublished: false,
  },
];

/** A host that reads all the time, and a store that a test writes to. */
async function startReader() {
  const clock = new ManualClock();
  const platform = createPlatform({address: '', timeoutMilliseconds: 100});
  let version = 1;
  let rows: Row[] = [{key: 'e1', value: endpoint('ready'), version}];
  const pause = () =>
    new Promise<void>(resolve => clock.startTimer(20, resolve));
  const store: RowStore = {
    readTable: async table => {
      await pause();
      return success({
        rows: table === platform.endpointTable ? rows : [],
        version,
        era: 0,
        storeMilliseconds: clock.monotonicMilliseconds(),
      });
    },
    followTable: async (table, after) => {
      await pause();
      const changed = rows.filter(row => row.version > after);
      return success({
        rows: table === platform.endpointTable ? changed : [],
        version,
        era: 0,
        storeMilliseconds: clock.monotonicMilliseconds(),
      });
    },
    commit: () => {
      throw new Error('not used');
    },
  };
  const published: TableUpdate[] = [];
  const endpoints = new EndpointRegistry({
    clock,
    logger: SILENT_LOGGER,
    maximumConnections: () => 1,
    storeRegainedAt: () => Number.NEGATIVE_INFINITY,
  });
  const configuration = new ConfigurationSource({
    platform,
    logger: SILENT_LOGGER,
    onApplied: () => undefined,
  });
  const followers = new StoreFollowers({
    platform: {...platform, store},
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
      hostId: 'host-1',
      self: () => {
        throw new Error('not used');
      },
    }),
    drainMilliseconds: 2000,
    configurationMilliseconds: 2000,
    isFirstStart: false,
    registrationMilliseconds: 0,
    managesPool: () => false,
    rank: () => 0,
    random: () => 0,
    publish: update => published.push(update),
    onEndpointsChanged: () => undefined,
  });
  followers.start();
  await clock.advanceAsync(1000);
  return {
    clock,
    configuration,
    followers,
    /** Changes the row of the endpoint; the next call of the host returns it. */
    write: (value: Buffer | undefined) => {
      rows = [{key: 'e1', value, version: ++version}];
    },
    /** Lets another reader supply the row, before this host has read it. */
    supply: (value: Buffer | undefined) => {
      const afterVersion = version;
      rows = [{key: 'e1', value, version: ++version}];
      followers.receive(
        {
          table: platform.endpointTable,
          era: 0,
          afterVersion,
          isComplete: false,
          version,
          rows,
          knownAt: clock.monotonicMilliseconds(),
          regainedAt: undefined,
        },
        'host-2',
      );
    },
    /** Versions of the endpoint's row that were published since the last call. */
    takePublished: () =>
      published
        .splice(0)
        .filter(({table}) => table === platform.endpointTable)
        .flatMap(update => update.rows.map(row => row.version)),
  };
}

test.each(CASES)(
  'an endpoint that is $name is published: $isPublished',
  async ({value, isPublished, before, services}) => {
    const {clock, configuration, followers, write, takePublished} =
      await startReader();
    if (services !== undefined) {
      configuration.applyIfNewer(
        Buffer.from(JSON.stringify({version: 1, services})),
        {origin: 'store', ageMilliseconds: 0, era: 0},
      );
    }
    if (before !== undefined) {
      write(before);
      await clock.advanceAsync(1000);
    }
    takePublished();
    write(value);
    await clock.advanceAsync(1000);
    followers.stop();
    expect(takePublished()).toEqual(
      isPublished ? [before === undefined ? 2 : 3] : [],
    );
  },
);

type Reader = Awaited<ReturnType<typeof startReader>>;

interface SuppliedCase {
  name: string;
  steps: (reader: Reader) => Promise<void>;
  /** Version of the row that must reach the other hosts. */
  version: number;
}

// With two readers, each saw only part of the changes. A host that compared a row
// with the last one that it had read itself took it for known to all, and its update
// led the others past it: they used an endpoint that was gone.
const SUPPLIED_CASES: SuppliedCase[] = [
  {
    name: 'is removed again after another reader has found it back',
    steps: async ({clock, write, supply}) => {
      write(undefined);
      await clock.advanceAsync(1000);
      supply(endpoint('ready'));
      await clock.advanceAsync(1000);
      write(undefined);
      await clock.advanceAsync(1000);
    },
    version: 4,
  },
  {
    name: 'is returned again after another reader has found it gone',
    steps: async ({clock, write, supply}) => {
      supply(undefined);
      await clock.advanceAsync(1000);
      write(endpoint('ready'));
      await clock.advanceAsync(1000);
    },
    version: 3,
  },
  {
    name: 'leaves by the update of another reader while this host reads',
    steps: async ({clock, supply}) => {
      // 10 ms into a call, which returns the same row 10 ms later.
      await clock.advanceAsync(10 + (220 - (1000 % 220)));
      supply(endpoint('draining'));
      await clock.advanceAsync(1000);
    },
    version: 2,
  },
];

test.each(SUPPLIED_CASES)(
  'an endpoint that $name is published',
  async ({steps, version}) => {
    const reader = await startReader();
    await steps(reader);
    reader.followers.stop();
    expect(reader.takePublished()).toContain(version);
  },
);
