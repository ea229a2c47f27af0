import {describe, expect, test} from 'vitest';
import {ColdFleet} from '../testing/cold_fleet.ts';

/** 14 x 1.5 + 5, from the example deployment. */
const LIMIT = 26;

const DURATION_MILLISECONDS = 12_000;

interface Step {
  /** Milliseconds after the first request. */
  at: number;
  run: (fleet: ColdFleet) => void;
}

interface Case {
  name: string;
  steps: Step[];
  /** Whether it also runs with 1,100 hosts, which takes seconds. @default false */
  isLarge?: boolean;
  /** Part of the engine's 14 requests a second that must be used, of the whole run. */
  used: number;
  /** Requests that are sent earlier are not counted, in milliseconds. @default 0 */
  from?: number;
  /** Whether callers pause in every other second. @default false */
  pauses?: boolean;
  /** Requests a second of all callers. @default 250 */
  demand?: number;
}

/** The engine starts 100 ms after the hosts, which know of other engines. */
const startsAt = (at: number, delayOf?: (host: number) => number): Step => ({
  at,
  run: fleet => fleet.write(1, DURATION_MILLISECONDS, delayOf),
});

const restartAll = (fleet: ColdFleet) => {
  for (let host = 0; host < fleet.size; host++) fleet.restart(host);
};

let frozen = 0;

const CASES: Case[] = [
  {name: 'without faults', isLarge: true, steps: [startsAt(0)], used: 0.9},
  {
    name: 'whose callers pause',
    steps: [startsAt(0)],
    pauses: true,
    used: 0.5,
  },
  {
    name: 'that learn of the phase at different times',
    steps: [startsAt(0, host => (host * 53) % 300)],
    used: 0.7,
  },
  {
    name: 'a third of which learns of the engine 2 s late',
    isLarge: true,
    steps: [startsAt(0, host => (host % 3 === 0 ? 2000 : 0))],
    used: 0.6,
  },
  {
    name: 'whose granter is killed',
    isLarge: true,
    steps: [
      {
        at: 0,
        // Permits are granted far ahead to requests that can wait.
        run: fleet => {
          fleet.objectiveMilliseconds = 5000;
        },
      },
      startsAt(0),
      {at: 4020, run: fleet => fleet.kill(fleet.granter)},
    ],
    used: 0.6,
  },
  {
    name: 'whose granter freezes and thaws',
    isLarge: true,
    steps: [
      startsAt(0),
      {
        at: 3000,
        run: fleet => {
          frozen = fleet.granter;
          fleet.freeze(frozen);
        },
      },
      {at: 7500, run: fleet => fleet.thaw(frozen)},
    ],
    used: 0.4,
  },
  {
    name: 'whose granter is cut off',
    steps: [
      startsAt(0),
      {
        at: 3000,
        run: fleet => {
          const {granter} = fleet;
          fleet.splitAt = fleet.clock.monotonicMilliseconds();
          fleet.group = host => (host === granter ? 1 : 0);
        },
      },
      {
        at: 8000,
        run: fleet => {
          fleet.group = () => 0;
        },
      },
    ],
    used: 0.4,
  },
  {
    name: 'that learn of a new granter at different times',
    steps: [
      startsAt(0),
      {
        at: 0,
        run: fleet => {
          const {granter} = fleet;
          fleet.hiddenFrom = () => granter;
        },
      },
      {
        at: 4000,
        run: fleet => {
          const granter = fleet.hiddenFrom(0);
          fleet.hiddenFrom = host =>
            host % 2 === 0 || host === granter ? undefined : granter;
        },
      },
      {
        at: 5300,
        run: fleet => {
          fleet.hiddenFrom = () => undefined;
        },
      },
    ],
    used: 0.5,
  },
  {
    // Each holds permits whose time has passed when all of them thaw.
    name: 'that freeze one after the other',
    steps: [startsAt(0)].concat(
      Array.from({length: 59}, (_, index) => ({
        at: 3000 + index * 100,
        run: (fleet: ColdFleet) => {
          if (index < fleet.size && index !== fleet.granter)
            fleet.freeze(index);
        },
      })),
      {
        at: 8900,
        run: fleet => {
          for (let host = 0; host < 59 && host < fleet.size; host++)
            fleet.thaw(host);
        },
      },
    ),
    used: 0.1,
  },
  {
    name: 'that all freeze and thaw',
    steps: [
      startsAt(0),
      {
        at: 3000,
        run: fleet => {
          for (let host = 0; host < fleet.size; host++) fleet.freeze(host);
        },
      },
      {
        at: 5000,
        run: fleet => {
          for (let host = 0; host < fleet.size; host++) fleet.thaw(host);
        },
      },
    ],
    used: 0.4,
  },
  {
    name: 'that all restart',
    isLarge: true,
    steps: [startsAt(0), {at: 4000, run: restartAll}],
    used: 0.7,
  },
  {
    name: 'that all restart one after the other',
    steps: [startsAt(0)].concat(
      Array.from({length: 10}, (_, index) => ({
        at: 3000 + index * 150,
        run: (fleet: ColdFleet) => fleet.restart(index % fleet.size),
      })),
    ),
    used: 0.6,
  },
  {
    name: 'in two halves that meet again',
    steps: [
      startsAt(0),
      {
        at: 2000,
        run: fleet => {
          fleet.splitAt = fleet.clock.monotonicMilliseconds();
          fleet.group = host => host % 2;
        },
      },
      {
        at: 8000,
        run: fleet => {
          fleet.group = () => 0;
        },
      },
    ],
    used: 0.5,
  },
  {
    // What the hosts send before they know cannot be taken back, but counts.
    name: 'whose warm engine turns cold',
    steps: [
      {at: 0, run: fleet => fleet.write(1, 0)},
      {
        at: 2000,
        run: fleet => fleet.write(1, DURATION_MILLISECONDS, () => 300),
      },
    ],
    from: 2000,
    demand: 60,
    used: 0.5,
  },
  {
    name: 'of which half are not told of a restart',
    isLarge: true,
    steps: [
      {at: 0, run: fleet => fleet.write(1, 0)},
      {
        at: 1000,
        run: fleet => {
          fleet.isDown = true;
        },
      },
      {
        // Only a host whose connection has failed can presume anything.
        at: 3500,
        run: fleet => {
          for (let host = 0; host < fleet.size; host++)
            void fleet.request(host);
        },
      },
      {
        at: 4000,
        run: fleet => {
          fleet.isDown = false;
          fleet.write(2, DURATION_MILLISECONDS, host =>
            host % 2 === 0 ? 0 : undefined,
          );
        },
      },
    ],
    from: 1000,
    used: 0.5,
  },
];

const SIZES = [
  {name: '8 hosts', active: 8, standby: 0, cases: CASES},
  {name: '59 hosts', active: 16, standby: 43, cases: CASES},
  {
    name: '1,100 hosts',
    active: 64,
    standby: 1036,
    cases: CASES.filter(({isLarge}) => isLarge),
  },
];

async function run(
  fleet: ColdFleet,
  {steps, from, pauses, demand = 250}: Case,
): Promise<number> {
  const {clock} = fleet;
  // Hosts that have just started take every engine for one that is in use.
  fleet.startWithOtherEngine();
  const pending = [...steps];
  const seconds = 11;
  for (let sent = 0; sent < demand * seconds; sent++) {
    const elapsed = (sent / demand) * 1000;
    while ((pending[0]?.at ?? Infinity) <= elapsed) pending.shift()?.run(fleet);
    const isPause = pauses === true && Math.floor(elapsed / 1000) % 2 === 1;
    if (!isPause) void fleet.request((sent * 7919) % fleet.size);
    await clock.advanceAsync(1000 / demand);
  }
  const counted = fleet.sentAt.filter(at => at >= (from ?? 0)).length;
  return counted / seconds / 14;
}

describe.each(SIZES)('$name', ({active, standby, cases}) => {
  // A cold engine crashes above its limit, whichever hosts the requests come from.
  test.each(cases)('$name stay within the limit of any second', async entry => {
    const fleet = new ColdFleet(active, standby);
    const used = await run(fleet, entry);
    const most = fleet.mostInOneSecond(entry.from);
    expect(most).toBeLessThanOrEqual(LIMIT);
    expect(used).toBeGreaterThanOrEqual(entry.used);
  });
});

interface RowCase {
  name: string;
  steps: ((fleet: ColdFleet) => void)[];
  /** Time for which no request is sent, in milliseconds. */
  quiet: number;
}

const ROW_CASES: RowCase[] = [
  {
    name: 'a new engine',
    steps: [
      fleet => fleet.startWithOtherEngine(),
      fleet => fleet.write(1, DURATION_MILLISECONDS),
    ],
    quiet: 0,
  },
  {
    name: 'an engine that was there before this host',
    steps: [fleet => fleet.write(1, DURATION_MILLISECONDS)],
    quiet: 1000,
  },
  {
    name: 'a warm engine that turns cold',
    steps: [
      fleet => fleet.startWithOtherEngine(),
      fleet => fleet.write(1, 0),
      fleet => fleet.write(1, DURATION_MILLISECONDS),
    ],
    quiet: 1000,
  },
  {
    name: 'an engine whose row was away',
    steps: [
      fleet => fleet.startWithOtherEngine(),
      fleet => fleet.write(1, 0),
      fleet => fleet.removeRow(),
      fleet => fleet.write(1, DURATION_MILLISECONDS),
    ],
    quiet: 1000,
  },
  {
    name: 'a new engine whose row is late',
    steps: [
      fleet => fleet.startWithOtherEngine(),
      fleet => fleet.write(1, DURATION_MILLISECONDS - 600),
    ],
    quiet: 1000,
  },
];

// Requests that others have sent within the last second count too; a new engine must
// not wait for a second of the few that it is cold.
test.each(ROW_CASES)('$name gets no requests for $quiet ms', entry => {
  const fleet = new ColdFleet(1, 0);
  for (const step of entry.steps) step(fleet);
  const phase = fleet.limitsOf(0)?.coldPhaseOf('engine-1/1');
  expect(phase?.quietUntil).toBe(entry.quiet);
});
