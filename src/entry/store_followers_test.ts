import {expect, test} from 'vitest';
import {success} from '../errors/mod.ts';
import {EndpointRegistry, HostRegistry} from '../fleet/mod.ts';
import {SILENT_LOGGER} from '../observability/mod.ts';
import {createPlatform} from '../platform/mod.ts';
import {
  type Row,
  type RowStore,
  StoreClock,
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

interface Case {
  name: string;
  value: Buffer | undefined;
  isPublished: boolean;
}

const CASES: Case[] = [
  {name: 'draining', value: endpoint('draining'), isPublished: true},
  // On a played day the host that read the removal of an endpoint kept it to itself,
  // and the others used the endpoint for more than 2 s.
  {name: 'removed', value: undefined, isPublished: true},
  {name: 'restarted', value: endpoint('ready', {born: 2}), isPublished: true},
  {
    name: 'alive as before',
    value: endpoint('ready', {sequence: 9, available: {on_disk: ['m']}}),
    isPublished: false,
  },
];

test.each(CASES)(
  'an endpoint that is $name is published: $isPublished',
  async ({value, isPublished}) => {
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
          storeMilliseconds: clock.monotonicMilliseconds(),
        });
      },
      followTable: async (table, after) => {
        await pause();
        const changed = rows.filter(row => row.version > after);
        return success({
          rows: table === platform.endpointTable ? changed : [],
          version,
          storeMilliseconds: clock.monotonicMilliseconds(),
        });
      },
      commit: () => {
        throw new Error('not used');
      },
    };
    const published: TableUpdate[] = [];
    const followers = new StoreFollowers({
      platform: {...platform, store},
      clock,
      storeClock: new StoreClock({clock}),
      logger: SILENT_LOGGER,
      configuration: new ConfigurationSource({
        platform,
        logger: SILENT_LOGGER,
        onApplied: () => undefined,
      }),
      endpoints: new EndpointRegistry({
        clock,
        logger: SILENT_LOGGER,
        maximumConnections: () => 1,
        storeRegainedAt: () => Number.NEGATIVE_INFINITY,
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
    published.length = 0;
    rows = [{key: 'e1', value, version: ++version}];
    await clock.advanceAsync(1000);
    followers.stop();
    const keys = published
      .filter(({table}) => table === platform.endpointTable)
      .flatMap(update => update.rows.map(({key}) => key));
    expect(keys).toEqual(isPublished ? ['e1'] : []);
  },
);
