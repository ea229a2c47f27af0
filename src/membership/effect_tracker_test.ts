import {describe, expect, it} from 'vitest';
import {FleetOracle} from '../testing/fleet_oracle.ts';
import {
  SimulatedFleet,
  type SimulatedHost,
} from '../testing/simulated_fleet.ts';

const HOSTS = ['a', 'b', 'c', 'd'];

type Mutation = (host: SimulatedHost) => void;

interface Scenario {
  readonly fleet: SimulatedFleet;
  /**
   * Partitions the hosts into side 0 and side 1; only side 0 reaches the table.
   */
  readonly split: (sides: readonly number[]) => void;
  /** Commits a change at host a and returns its version. */
  readonly change: () => Promise<number>;
  readonly wait: (milliseconds: number) => Promise<void>;
}

async function prepare(mutate: Mutation): Promise<Scenario> {
  const fleet: SimulatedFleet = new SimulatedFleet({
    adjust: host => {
      oracle.watch(host);
      mutate(host);
    },
  });
  const oracle = new FleetOracle(fleet, [], 3000);
  // As c is added last, b and d are in both member lists.
  await fleet.startAll(['a', 'b', 'd', 'c']);
  const wait = async (milliseconds: number) => {
    for (let spent = 0; spent < milliseconds; spent += 10) {
      await fleet.clock.advanceAsync(10);
      oracle.check();
    }
  };
  return {
    fleet,
    wait,
    split: sides => fleet.split(HOSTS, sides),
    change: async () => {
      const submitted = fleet.change('a');
      await wait(50);
      const result = await submitted;
      return result.kind === 'committed' ? result.version : -1;
    },
  };
}

const CASES: readonly {
  readonly name: string;
  readonly run: (scenario: Scenario) => Promise<void>;
  readonly fault: string;
  readonly mutate: Mutation;
}[] = [
  {
    name: 'does not count a member that replied and then restarted',
    run: async ({split, change, wait, fleet}) => {
      split([0, 1, 0, 1]);
      await change();
      await wait(2000);
      split([0, 1, 1, 1]);
      fleet.kill('c');
      fleet.start('c');
      await wait(8000);
      split([0, 0, 1, 1]);
      await wait(12_000);
    },
    fault: 'a reply counts without a later one of the same incarnation',
    mutate: ({membership}) => {
      const {effect} = membership;
      const startRound = effect['startRound'].bind(effect);
      effect['startRound'] = () => {
        const round = startRound();
        for (const [hostId, reply] of round.earlierReplies) {
          round.versions.set(hostId, reply.version);
        }
        return round;
      };
    },
  },
  {
    name: 'a process started after a refused connection ignores earlier replies',
    run: async ({split, change, wait, fleet}) => {
      split([0, 1, 0, 1]);
      const version = await change();
      await wait(1500);
      fleet.kill('c');
      await wait(1200);
      split([0, 1, 1, 1]);
      fleet.network.delayOf = (_from, to, {kind}) =>
        to === 'c' && kind === 'heartbeat_reply' ? 1500 : 1;
      fleet.start('c');
      await wait(100);
      split([0, 0, 1, 1]);
      const {effect} = fleet.hosts.get('a')!.membership;
      const inEffect = effect.waitUntilInEffect(version, 1000);
      await wait(1200);
      expect(await inEffect).toBe(true);
      await wait(12_000);
    },
    fault: 'a new process uses replies from its start on',
    mutate: ({membership}) => {
      const fixed = {get: () => -1e9, set: () => undefined};
      Object.defineProperty(membership.heartbeats, 'startedAt', fixed);
    },
  },
];

describe('EffectTracker', () => {
  it.each(CASES)('$name', async ({run}) => {
    await run(await prepare(() => undefined));
  });

  it.each(CASES)('detects the fault: $fault', async ({run, mutate}) => {
    const scenario = await prepare(mutate);
    await expect(run(scenario)).rejects.toThrow(/acts on version/);
  });
});
