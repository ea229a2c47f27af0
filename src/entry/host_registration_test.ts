import {describe, expect, test} from 'vitest';
import {encodeHostRow, type HostRow} from '../fleet/mod.ts';
import {SILENT_LOGGER} from '../observability/mod.ts';
import {type RowStore, StoreClock, StoreEra} from '../stores/mod.ts';
import {ManualClock} from '../testing/manual_clock.ts';
import {RestorableStore} from '../testing/restorable_store.ts';
import {HOST_TABLE, HostRegistration} from './host_registration.ts';

function rowOf(incarnation: string): HostRow {
  return {
    hostId: 'host-1',
    incarnation,
    dataCentre: 'zone-a',
    callerAddress: '10.0.0.1:1',
    peerAddress: 'ws://10.0.0.1:2',
    state: 'ready',
    cores: 1,
    linkMegabits: 1000,
    storeEra: 0,
  };
}

interface Case {
  name: string;
  /** What happens between the registration and the removal. */
  before?: (store: RestorableStore) => void;
  /** What happens before the store carries the removal out. */
  onTheWay?: (store: RestorableStore) => void;
  /** Process whose row is left. */
  left: string | undefined;
}

/** The next process of the host registers. */
function restart(store: RestorableStore): void {
  const row = encodeHostRow(rowOf('second')).toString();
  store.put(HOST_TABLE, 'host-1', row);
}

const CASES: Case[] = [
  {name: 'at once', left: undefined},
  {name: 'late', onTheWay: restart, left: 'second'},
  {name: 'after the next process has started', before: restart, left: 'second'},
  {
    name: 'after its version has changed',
    before: store => {
      const row = encodeHostRow(rowOf('first')).toString();
      store.put(HOST_TABLE, 'host-1', row);
    },
    left: undefined,
  },
];

describe('a host that stops', () => {
  // Guards against a running host that is in no list: the removal of its former row was
  // carried out after it had registered.
  test.each(CASES)(
    'removes its own row only ($name)',
    async ({before, onTheWay, left}) => {
      const clock = new ManualClock();
      const store = new RestorableStore();
      let isStopping = false;
      const rows: Pick<RowStore, 'commit'> = {
        commit: async changes => {
          if (isStopping) onTheWay?.(store);
          return store.commit(changes, clock.monotonicMilliseconds());
        },
      };
      const registration = new HostRegistration({
        store: rows as RowStore,
        clock,
        storeClock: new StoreClock({clock}),
        storeEra: new StoreEra(),
        logger: SILENT_LOGGER,
        row: () => rowOf('first'),
      });
      await registration.register();
      before?.(store);
      isStopping = true;
      await registration.deregister();
      const page = store.read(HOST_TABLE, 0, clock.monotonicMilliseconds());
      const found = page.ok
        ? page.value.rows.map(({value}) => JSON.parse(String(value)) as HostRow)
        : [];
      expect(found.map(({incarnation}) => incarnation)).toEqual(
        left === undefined ? [] : [left],
      );
    },
  );
});
