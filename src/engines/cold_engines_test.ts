import {describe, expect, test} from 'vitest';
import {COLD_ACTIONS, type ColdAction} from '../testing/cold_actions.ts';
import {ColdFleet} from '../testing/cold_fleet.ts';

/** 14 x 1.5 + 5, from the example deployment. */
const LIMIT = 26;

const RUN_SECONDS = 11;

interface Options {
  /** Requests that are sent earlier are not counted, in milliseconds. @default 0 */
  from?: number;
  /** Requests a second; the default is far above what the engine takes. @default 250 */
  demand?: number;
  /** Whether callers pause in every other second. @default false */
  pauses?: boolean;
  /** Whether it also runs with 1,100 hosts, which takes seconds. @default false */
  isLarge?: boolean;
}

/** Name; actions at milliseconds; least part of the 14 requests a second; options. */
type Case = [string, Partial<Record<ColdAction, number>>, number, Options?];

// The actions are in the order of time.
const CASES: Case[] = [
  ['without faults', {start: 0}, 0.9, {isLarge: true}],
  ['whose callers pause', {start: 0}, 0.5, {pauses: true}],
  ['that learn at different times', {startUnevenly: 0}, 0.7],
  ['a third of which learns 2 s late', {startLate: 0}, 0.6, {isLarge: true}],
  ['that all restart', {start: 0, restartAll: 4000}, 0.7, {isLarge: true}],
  ['that restart in turn', {start: 0, restartInTurn: 3000}, 0.6],
  ['that freeze in turn', {start: 0, freezeInTurn: 3000, thaw: 8900}, 0.1],
  ['that all freeze', {start: 0, freezeAll: 3000, thaw: 5000}, 0.4],
  ['in two halves', {start: 0, splitInHalves: 2000, heal: 8000}, 0.5],
  ['with a cut granter', {start: 0, cutOffGranter: 3000, heal: 8000}, 0.4],
  [
    'whose granter is killed',
    {letRequestsWait: 0, start: 0, killGranter: 4020},
    0.6,
    {isLarge: true},
  ],
  [
    'whose granter freezes',
    {start: 0, freezeGranter: 3000, thaw: 7500},
    0.4,
    {isLarge: true},
  ],
  [
    'that learn of a granter at different times',
    {start: 0, hideGranter: 0, showGranterToHalf: 4000, showGranter: 5300},
    0.5,
  ],
  // What the hosts send before they know cannot be taken back, but counts.
  [
    'whose warm engine turns cold',
    {startWarm: 0, turnCold: 2000},
    0.5,
    {from: 2000, demand: 60},
  ],
  // Only a host whose connection has failed can presume anything.
  [
    'of which half are not told of a restart',
    {startWarm: 0, stopEngine: 1000, tryAll: 3500, restartUntold: 4000},
    0.5,
    {from: 1000, isLarge: true},
  ],
];

async function run(fleet: ColdFleet, [, actions, , options]: Case) {
  const {demand = 250, pauses = false} = options ?? {};
  fleet.startWithOtherEngine();
  const pending = Object.entries(actions) as [ColdAction, number][];
  for (let sent = 0; sent < demand * RUN_SECONDS; sent++) {
    const elapsed = (sent / demand) * 1000;
    while ((pending[0]?.[1] ?? Infinity) <= elapsed) {
      const [next] = pending.shift() ?? [];
      if (next !== undefined) COLD_ACTIONS[next](fleet);
    }
    const isPause = pauses && Math.floor(elapsed / 1000) % 2 === 1;
    if (!isPause) void fleet.request((sent * 7919) % fleet.size);
    await fleet.clock.advanceAsync(1000 / demand);
  }
}

const SIZES = [
  {name: '8 hosts', active: 8, standby: 0},
  {name: '59 hosts', active: 16, standby: 43},
  {name: '1,100 hosts', active: 64, standby: 1036},
];

describe.each(SIZES)('$name', ({active, standby}) => {
  const isLarge = active === 64;
  const cases = CASES.filter(([, , , options]) => !isLarge || options?.isLarge);
  // A cold engine crashes above its limit, whichever hosts the requests come from.
  test.each(cases)(
    '%s stay within the limit of any second',
    async (...entry) => {
      const [, , used, {from = 0} = {}] = entry;
      const fleet = new ColdFleet(active, standby);
      await run(fleet, entry);
      expect(fleet.mostInOneSecond(from)).toBeLessThanOrEqual(LIMIT);
      const counted = fleet.sentAt.filter(at => at >= from).length;
      expect(counted / RUN_SECONDS / 14).toBeGreaterThanOrEqual(used);
    },
  );
});

const ROW_CASES: [string, ((fleet: ColdFleet) => void)[], number][] = [
  ['a new engine', [startWithOther, COLD_ACTIONS.start], 0],
  ['an engine from before the start of the host', [COLD_ACTIONS.start], 1000],
  [
    'a warm engine that turns cold',
    [startWithOther, COLD_ACTIONS.startWarm, COLD_ACTIONS.start],
    1000,
  ],
  [
    'an engine whose row was away',
    [
      startWithOther,
      COLD_ACTIONS.startWarm,
      fleet => fleet.removeRow(),
      COLD_ACTIONS.start,
    ],
    1000,
  ],
  [
    'a new engine whose row is 600 ms late',
    [startWithOther, fleet => fleet.write(1, 11_400)],
    1000,
  ],
];

function startWithOther(fleet: ColdFleet): void {
  fleet.startWithOtherEngine();
}

// Requests that others have sent within the last second count too; a new engine must
// not wait for a second of the few that it is cold.
test.each(ROW_CASES)('%s', (_name, steps, quietMilliseconds) => {
  const fleet = new ColdFleet(1, 0);
  for (const step of steps) step(fleet);
  const phase = fleet.limitsOf(0)?.coldPhaseOf('engine-1/1');
  expect(phase?.quietUntil).toBe(quietMilliseconds);
});
