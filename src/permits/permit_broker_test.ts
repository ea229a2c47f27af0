import {describe, expect, test} from 'vitest';
import {chooseGranter} from '../fleet/mod.ts';
import {SILENT_LOGGER} from '../observability/mod.ts';
import type {PeerMessage} from '../peers/mod.ts';
import {ManualClock} from '../testing/manual_clock.ts';
import {EndpointLimits, PermitBroker} from './mod.ts';

const INCARNATION = 'engine-1/1';
const WINDOW_MILLISECONDS = 4000;
const LINK_MILLISECONDS = 2;

interface SimulatedHost {
  readonly limits: EndpointLimits;
  readonly broker: PermitBroker;
}

interface Faults {
  /** Hosts that answer nothing and send nothing. */
  readonly frozen: Set<number>;
  /** Group of each host; hosts of different groups reach each other no more. */
  group: (host: number) => number;
  /** Delay of the messages of a host, in milliseconds. */
  readonly delays: Map<number, number>;
}

/** Hosts of which the first ones are active and the others are their standby hosts. */
function simulate(active: number, standby: number, ratePerSecond: number) {
  const clock = new ManualClock();
  const count = active + standby;
  const faults: Faults = {
    frozen: new Set(),
    group: () => 0,
    delays: new Map(),
  };
  const idOf = (host: number) => `host-${String(host).padStart(4, '0')}`;
  const indexOf = (id: string) => Number(id.slice('host-'.length));
  const activeHosts = Array.from({length: active}, (_unused, host) =>
    idOf(host),
  );
  const reaches = (from: number, to: number) =>
    faults.group(from) === faults.group(to);
  const random = (() => {
    let state = 1;
    return () => (state = (state * 16_807) % 2_147_483_647) / 2_147_483_647;
  })();
  const hosts: SimulatedHost[] = [];
  const start = (host: number): SimulatedHost => {
    const limits = new EndpointLimits({
      clock,
      logger: SILENT_LOGGER,
      announce: () => undefined,
    });
    const connected = () =>
      new Set(activeHosts.filter(id => reaches(host, indexOf(id))));
    const broker = new PermitBroker({
      clock,
      limits,
      selfId: idOf(host),
      granter: incarnation =>
        chooseGranter({
          incarnation,
          selfId: idOf(host),
          isActive: host < active,
          upstream: idOf(host % active),
          activeHosts,
          connected: connected(),
        }),
      isStandbyHost: id => indexOf(id) >= active,
      grantedShare: () => Math.min(1, connected().size / active),
      evenShare: () =>
        host < active ? 0.9 / active : 0.1 / Math.max(1, standby),
      coldShare: () => 0,
      coldEngines: {overrun: 1, slack: 0},
      send: (id, message) => {
        if (!reaches(host, indexOf(id))) return false;
        const delay = LINK_MILLISECONDS + (faults.delays.get(host) ?? 0);
        clock.startTimer(delay, () => deliver(host, indexOf(id), message));
        return true;
      },
      random,
    });
    limits.receive(INCARNATION, ratePerSecond);
    return {limits, broker};
  };
  const deliver = (from: number, to: number, message: PeerMessage) => {
    if (faults.frozen.has(from) || faults.frozen.has(to)) return;
    if (message.kind === 'permit_request')
      void hosts[to]?.broker.answer(idOf(from), message);
    if (message.kind === 'permit_reply') hosts[to]?.broker.receive(message);
  };
  for (let host = 0; host < count; host++) hosts.push(start(host));
  const sentAt: number[] = [];
  /** Sends a request through a host, if it gets a permit within the horizon. */
  const request = async (host: number, horizonMilliseconds: number) => {
    if (faults.frozen.has(host)) return;
    const permit = await hosts[host]?.broker.acquire(
      INCARNATION,
      horizonMilliseconds,
    );
    if (permit?.kind === 'granted') sentAt.push(permit.at);
  };
  return {
    clock,
    faults,
    sentAt,
    request,
    restart: (host: number) => {
      hosts[host] = start(host);
    },
    count,
  };
}

/** Largest number of requests within any window. */
function mostInWindow(sentAt: readonly number[]): number {
  const sorted = [...sentAt].sort((left, right) => left - right);
  let first = 0;
  let most = 0;
  sorted.forEach((at, last) => {
    while ((sorted[first] ?? at) <= at - WINDOW_MILLISECONDS) first++;
    most = Math.max(most, last - first + 1);
  });
  return most;
}

interface Case {
  name: string;
  active: number;
  standby: number;
  ratePerSecond: number;
  /** Requests a second of all callers. */
  demand: number;
  /** Hosts that callers use; the others have no demand. @default all */
  used?: number;
  /** Whether callers pause in every other 3 s, so that permits are saved. */
  pauses?: boolean;
  /** Happens in the middle of the run. */
  fault?: (fleet: ReturnType<typeof simulate>) => void;
  /** Share of the limit that must be used. @default 0.9 */
  share?: number;
}

const CASES: Case[] = [
  {name: '8 hosts', active: 8, standby: 0, ratePerSecond: 4.4, demand: 40},
  {
    name: '8 hosts of which callers use two',
    active: 8,
    standby: 0,
    ratePerSecond: 1,
    demand: 20,
    used: 2,
  },
  {name: '84 hosts', active: 16, standby: 68, ratePerSecond: 1, demand: 100},
  {name: '195 hosts', active: 64, standby: 131, ratePerSecond: 1, demand: 200},
  {
    name: '1100 hosts',
    active: 64,
    standby: 1036,
    ratePerSecond: 2.2,
    demand: 400,
  },
  {
    name: '84 hosts whose callers pause',
    active: 16,
    standby: 68,
    ratePerSecond: 4,
    demand: 100,
    pauses: true,
    share: 0.5,
  },
  {
    name: '84 hosts whose callers pause and whose granters freeze',
    active: 16,
    standby: 68,
    ratePerSecond: 1,
    demand: 100,
    pauses: true,
    fault: ({faults}) => {
      for (let host = 0; host < 8; host++) faults.frozen.add(host);
    },
    share: 0.2,
  },
  {
    name: '84 hosts whose granters freeze',
    active: 16,
    standby: 68,
    ratePerSecond: 2.2,
    demand: 100,
    fault: ({faults}) => {
      for (let host = 0; host < 8; host++) faults.frozen.add(host);
    },
    share: 0.3,
  },
  {
    name: '84 hosts whose granters answer late',
    active: 16,
    standby: 68,
    ratePerSecond: 1,
    demand: 100,
    fault: ({faults}) => {
      for (let host = 0; host < 16; host++) faults.delays.set(host, 900);
    },
    share: 0.3,
  },
  {
    name: '64 hosts in two halves',
    active: 64,
    standby: 0,
    ratePerSecond: 4,
    demand: 100,
    fault: ({faults}) => {
      faults.group = host => host % 2;
    },
    share: 0.8,
  },
  {
    name: '16 hosts that all restart',
    active: 16,
    standby: 0,
    ratePerSecond: 2,
    demand: 60,
    fault: ({restart, count}) => {
      for (let host = 0; host < count; host++) restart(host);
    },
    share: 0.9,
  },
];

describe('PermitBroker', () => {
  // Endpoints in need got many times the requests that they took, since each host knew
  // at most its own part of them.
  test.each(CASES)('$name stay within the limit and use it', async entry => {
    const fleet = simulate(entry.active, entry.standby, entry.ratePerSecond);
    const {clock, sentAt, request, count} = fleet;
    const interval = 1000 / entry.demand;
    const seconds = 24;
    for (let sent = 0; sent < entry.demand * seconds; sent++) {
      if (sent === (entry.demand * seconds) / 2) entry.fault?.(fleet);
      // Steps over the hosts so that neighbours do not follow each other.
      const host = (sent * 7919) % (entry.used ?? count);
      const isPause = Math.floor(sent / entry.demand / 3) % 2 === 1;
      if (entry.pauses !== true || !isPause)
        void request(host, sent % 3 === 0 ? 1000 : 0);
      await clock.advanceAsync(interval);
    }
    const allowed =
      1.5 * entry.ratePerSecond * (WINDOW_MILLISECONDS / 1000) + 5;
    expect(mostInWindow(sentAt)).toBeLessThanOrEqual(allowed);
    const used = sentAt.length / seconds / entry.ratePerSecond;
    expect(used).toBeGreaterThanOrEqual(entry.share ?? 0.9);
  });
});
