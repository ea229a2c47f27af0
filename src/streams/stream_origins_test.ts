import {beforeEach, describe, expect, test} from 'vitest';
import {failure, success} from '../errors/mod.ts';
import {Metrics, SILENT_LOGGER} from '../observability/mod.ts';
import {
  type Row,
  type RowChange,
  type RowStore,
  StoreClock,
  StoreEra,
} from '../stores/mod.ts';
import {SystemClock} from '../time/mod.ts';
import {OriginStore, StreamOrigins} from './mod.ts';

const SERVICE = 'engines';
const clock = new SystemClock();

/** Rows in memory; a host can be refused, and the store can lose what is newest. */
class MemoryRows implements RowStore {
  rows = new Map<string, Row>();
  version = 0;
  era = 0;
  isAway = false;

  readTable() {
    if (this.isAway) return Promise.resolve(failure(AWAY));
    const rows = [...this.rows.values()];
    return Promise.resolve(success({...this.head, rows}));
  }

  followTable() {
    return this.readTable();
  }

  commit([change]: readonly RowChange[]) {
    if (this.isAway || change === undefined)
      return Promise.resolve(failure(AWAY));
    const {key, value, expectedVersion} = change;
    const row = this.rows.get(key);
    if (expectedVersion !== (row?.version ?? 0)) {
      const rows = row === undefined ? [] : [row];
      const conflict = {kind: 'conflict' as const, rows, era: this.era};
      return Promise.resolve(success(conflict));
    }
    this.version++;
    if (value === undefined) this.rows.delete(key);
    else this.rows.set(key, {key, value, version: this.version});
    return Promise.resolve(success({kind: 'committed' as const, ...this.head}));
  }

  private get head() {
    const storeMilliseconds = clock.monotonicMilliseconds();
    return {version: this.version, era: this.era, storeMilliseconds};
  }
}

const AWAY = {
  kind: 'unavailable',
  step: 'read',
  peer: 'store',
  reason: 'away',
  mayHaveHappened: false,
} as const;

let rows: MemoryRows;

beforeEach(() => {
  rows = new MemoryRows();
});

/** A process of a host. */
class HostProcess {
  versions = new Set(['v1']);
  private readonly storeEra = new StoreEra();
  readonly origins: StreamOrigins;

  constructor(hostId: string, incarnation: string) {
    const {storeEra} = this;
    const storeClock = new StoreClock({clock});
    this.origins = new StreamOrigins({
      store: new OriginStore({store: rows, clock, storeClock, storeEra}),
      ...{clock, storeClock, storeEra, hostId, incarnation},
      logger: SILENT_LOGGER,
      metrics: new Metrics(),
      versionsOf: () => this.versions,
      longestStreamMilliseconds: () => 60_000,
      listedHosts: () => undefined,
      connectedPeers: () => [],
      send: () => false,
      random: () => 0,
    });
  }

  see(...versions: string[]) {
    this.versions = new Set(versions);
    this.origins.endpointsChanged();
  }

  async begin(key: string, version: string) {
    return (await this.origins.begin(streamOf(key), version)) ?? true;
  }

  async find(key: string) {
    const origin = await this.origins.find(streamOf(key));
    return origin.kind === 'known' ? origin.version : origin.kind;
  }
}

function streamOf(key: string) {
  const livesUntil = clock.monotonicMilliseconds() + 20_000;
  return {key, service: SERVICE, livesUntil};
}

/** Longer than a group of streams is collected. */
function settle(milliseconds = 60) {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}

interface Scenario {
  name: string;
  play: (host: HostProcess, other: HostProcess) => Promise<unknown>;
  /** What the other host finds for the stream `r`. */
  found: string;
}

const SCENARIOS: Scenario[] = [
  {
    name: 'that began before its host saw another version',
    play: async host => {
      await host.begin('r', 'v1');
      host.see('v1', 'v2');
      await settle();
    },
    found: 'v1',
  },
  {
    name: 'that was refused because its host could not record it',
    play: async (host, other) => {
      await other.begin('other', 'v1');
      host.see('v1', 'v2');
      await host.begin('earlier', 'v1');
      rows.isAway = true;
      expect(await host.begin('r', 'v2')).toBe(false);
      rows.isAway = false;
    },
    found: 'unknown',
  },
  {
    name: 'that nobody knows, while another host saw two versions',
    play: async host => {
      host.see('v1', 'v2');
      await host.begin('another', 'v2');
    },
    found: 'unknown',
  },
  {
    name: 'of a process that was replaced',
    play: async host => {
      await host.begin('r', 'v1');
      await new HostProcess('host-1', 'process-2').begin('next', 'v1');
    },
    found: 'v1',
  },
  {
    name: 'of a process that was replaced after a release',
    play: async host => {
      await host.begin('r', 'v1');
      const next = new HostProcess('host-1', 'process-2');
      next.see('v2');
      await next.begin('next', 'v2');
    },
    found: 'v1',
  },
  {
    name: 'recorded by a process that was replaced twice',
    play: async host => {
      host.see('v1', 'v2');
      await host.begin('r', 'v2');
      for (const process of ['process-2', 'process-3']) {
        const next = new HostProcess('host-1', process);
        next.see('v1', 'v2');
        await next.begin(`next-${process}`, 'v1');
      }
    },
    found: 'v2',
  },
  {
    name: 'tried at one version and begun at another',
    play: async host => {
      host.see('v1', 'v2');
      await host.begin('r', 'v1');
      await host.begin('r', 'v2');
    },
    found: 'v2',
  },
  {
    name: 'of a host that is gone, after the store came back from an older copy',
    play: async host => {
      await host.begin('r', 'v1');
      rows.era++;
    },
    found: 'unknown',
  },
  {
    name: 'beside a page that cannot be read',
    play: async host => {
      await host.begin('r', 'v1');
      const value = Buffer.from('{');
      rows.rows.set('host-3', {key: 'host-3', value, version: 1});
    },
    found: 'unknown',
  },
  {
    name: 'while the store is away',
    play: async host => {
      await host.begin('r', 'v1');
      rows.isAway = true;
    },
    found: 'unavailable',
  },
];

describe('another host, asked for a stream', () => {
  // Guards against streams that go on at a version by guess.
  test.each(SCENARIOS)('$name, finds $found', async ({play, found}) => {
    const host = new HostProcess('host-1', 'process-1');
    const other = new HostProcess('host-2', 'process-1');
    await play(host, other);
    expect(await other.find('r')).toBe(found);
  });
});

describe('the page of a host', () => {
  test('is written again when the store has lost it', async () => {
    const host = new HostProcess('host-1', 'process-1');
    await host.begin('r', 'v1');
    rows.rows.clear();
    rows.era++;
    // Any answer of the store shows the new era.
    await host.find('unknown');
    await settle();
    expect(await new HostProcess('host-2', 'process-1').find('r')).toBe('v1');
  });

  test('is written once while a service has one version', async () => {
    const host = new HostProcess('host-1', 'process-1');
    for (let index = 0; index < 50; index++)
      await host.begin(`r${index}`, 'v1');
    expect(rows.version).toBe(1);
  });

  test('records streams that begin together in one call', async () => {
    const host = new HostProcess('host-1', 'process-1');
    host.see('v1', 'v2');
    const begun = Array.from({length: 50}, (_unused, index) =>
      host.begin(`r${index}`, 'v1'),
    );
    await Promise.all(begun);
    expect(rows.version).toBe(1);
    expect(rows.rows.get('host-1')?.value?.length).toBeLessThan(5000);
  });

  test('takes over what another process of the host has recorded', async () => {
    const host = new HostProcess('host-1', 'process-1');
    host.see('v1', 'v2');
    await host.begin('r', 'v1');
    const next = new HostProcess('host-1', 'process-2');
    next.see('v1', 'v2');
    await next.begin('next', 'v1');
    await host.begin('late', 'v2');
    const other = new HostProcess('host-2', 'process-1');
    const found = [];
    for (const key of ['r', 'next', 'late']) found.push(await other.find(key));
    expect(found).toEqual(['v1', 'v1', 'v2']);
  });
});

test('a stream that may be recorded at another version waits', async () => {
  const host = new HostProcess('host-1', 'process-1');
  host.see('v1', 'v2');
  await host.begin('r', 'v1');
  rows.isAway = true;
  let isForwarded = false;
  void host.begin('r', 'v2').then(mayForward => {
    isForwarded = mayForward;
  });
  await settle(400);
  expect(isForwarded).toBe(false);
  rows.isAway = false;
  await expect.poll(() => isForwarded).toBe(true);
});
