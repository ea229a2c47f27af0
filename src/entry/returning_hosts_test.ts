import {describe, expect, test} from 'vitest';
import {HostRegistry, type HostRow} from '../fleet/mod.ts';
import {StoreEra} from '../stores/mod.ts';
import {ManualClock} from '../testing/manual_clock.ts';
import {ReturningHosts} from './returning_hosts.ts';

function row(hostId: string, storeEra: number): HostRow {
  return {
    hostId,
    incarnation: `${hostId}-run-1`,
    dataCentre: 'zone-a',
    callerAddress: '10.0.0.1:1',
    peerAddress: 'ws://10.0.0.1:2',
    state: 'ready',
    cores: 1,
    linkMegabits: 1000,
    storeEra,
  };
}

interface Case {
  name: string;
  /** Whether the other host writes its row again after the return. */
  writesAgain: boolean;
  isConnected: boolean;
  /** Whether this host was started after the return. */
  startsLater: boolean;
  isKept: boolean;
}

const CASES: Case[] = [
  {
    name: 'has left',
    writesAgain: false,
    isConnected: false,
    startsLater: false,
    isKept: false,
  },
  {
    name: 'has left before this one starts',
    writesAgain: false,
    isConnected: false,
    startsLater: true,
    isKept: false,
  },
  {
    name: 'runs',
    writesAgain: true,
    isConnected: true,
    startsLater: false,
    isKept: true,
  },
  {
    name: 'runs without a connection',
    writesAgain: true,
    isConnected: false,
    startsLater: false,
    isKept: true,
  },
  {
    name: 'cannot write its row',
    writesAgain: false,
    isConnected: true,
    startsLater: false,
    isKept: true,
  },
];

describe('ReturningHosts', () => {
  // Guards against hosts that are named to callers for good, since the store has lost
  // that they have left.
  test.each(CASES)('a host that $name', entry => {
    const {writesAgain, isConnected, startsLater, isKept} = entry;
    const clock = new ManualClock();
    const storeEra = new StoreEra();
    const hosts = new HostRegistry({
      hostId: 'host-1',
      self: () => row('host-1', storeEra.current),
    });
    const returning = new ReturningHosts({
      clock,
      storeEra,
      hosts,
      isConnected: () => isConnected,
    });
    if (!startsLater) storeEra.observe(0, 0);
    storeEra.observe(1, 0);
    hosts.applySnapshot([row('host-2', 0)]);
    returning.expect();
    clock.advance(1000);
    if (writesAgain)
      hosts.applyChanges(new Map([['host-2', row('host-2', 1)]]));
    expect(hosts.get('host-2')).toBeDefined();
    clock.advance(20_000);
    expect(hosts.get('host-2') !== undefined).toBe(isKept);
  });
});
