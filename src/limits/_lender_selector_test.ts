import {expect, it} from 'vitest';
import {
  type Authority,
  type Change,
  applyChange,
  type Contract,
  EMPTY_AUTHORITY,
} from '../contracts/mod.ts';
import {SILENT_LOGGER} from '../observability/mod.ts';
import {ManualClock, MemoryNetwork} from '../testing/mod.ts';
import {LenderSelector} from './_lender_selector.ts';
import {OwnerLivenessTracker} from './_owner_liveness_tracker.ts';

const contract: Contract = {
  team: 'team-1',
  models: [],
  adapters: [],
  services: [],
  tokensPerSecond: 80,
  burstTokens: 800,
  weight: 1,
  maximumReplicas: 1,
  endsAt: null,
};

/** Creates a selector on host-1 of four members; host-2 holds the lease. */
function createSelector() {
  const clock = new ManualClock();
  const network = new MemoryNetwork({
    clock,
    latencyMilliseconds: 1,
    isLost: () => false,
  });
  const channel = network.join('host-1');
  let authority: Authority = EMPTY_AUTHORITY;
  const apply = (change: Change) => {
    const outcome = applyChange(authority, change);
    if (!outcome.ok) throw new Error(JSON.stringify(outcome.error));
    authority = outcome.value;
  };
  for (const hostId of ['host-1', 'host-2', 'host-3', 'host-4']) {
    apply({
      kind: 'add_member',
      afterMemberVersion: authority.memberVersion,
      member: {
        hostId,
        peerAddress: `ws://${hostId}:1`,
        callerAddress: `http://${hostId}:1`,
        dataCentre: 'centre',
      },
    });
  }
  const joinAgain = () => {
    const {hostId, peerAddress, callerAddress, dataCentre} =
      authority.members.get('host-1')!;
    const member = {hostId, peerAddress, callerAddress, dataCentre};
    const afterMemberVersion = authority.memberVersion;
    apply({kind: 'remove_member', hostId: 'host-1', afterMemberVersion});
    apply({
      kind: 'add_member',
      member,
      afterMemberVersion: authority.memberVersion,
    });
  };
  const grant = (hostId: string) =>
    apply({
      kind: 'grant_lease',
      scope: 'team:team-1',
      holder: {hostId, incarnation: 'run-9'},
      expectedEpoch: authority.leases.get('team:team-1')?.epoch ?? 0,
    });
  const release = () =>
    apply({
      kind: 'release_lease',
      scope: 'team:team-1',
      expectedEpoch: authority.leases.get('team:team-1')!.epoch,
    });
  grant('host-2');
  const ownerLiveness = new OwnerLivenessTracker();
  const state = {
    acting: undefined as number | undefined,
    listInEffect: true,
    contract: contract as Contract | undefined,
  };
  const selector = new LenderSelector({
    team: 'team-1',
    logger: SILENT_LOGGER,
    channel,
    leases: {
      actingEpoch: () => state.acting,
      holderOf: () => undefined,
      onChange: () => () => undefined,
    },
    authority: () => authority,
    ownerLiveness,
    viewTimeoutMilliseconds: 3000,
    isMemberListInEffect: () => state.listInEffect,
  });
  const refuse = (...times: number[]) => {
    for (const at of times) {
      ownerLiveness.observe(
        {kind: 'refused', hostId: 'host-2', peerAddress: 'ws://host-2:1'},
        at,
      );
    }
  };
  const connect = (at: number, incarnation: string) =>
    ownerLiveness.observe(
      {
        kind: 'connected',
        peer: {...channel.self, hostId: 'host-2', incarnation},
      },
      at,
    );
  const levelAt = (at: number) =>
    selector.select(state.contract, at)?.bucket.level;
  levelAt(0);
  const seen = (hostId: string, epoch: number) =>
    selector.recordEpochSeen(hostId, epoch);
  return {state, grant, release, refuse, connect, levelAt, seen, joinAgain};
}

type Created = ReturnType<typeof createSelector>;

const CASES: {
  guardsAgainst: string;
  act: (created: Created) => unknown;
  at: number;
  /** Undefined when this host must not lend. */
  level: number | undefined;
}[] = [
  {
    guardsAgainst: 'lending without the lease',
    act: () => undefined,
    at: 10_000,
    level: undefined,
  },
  {
    guardsAgainst: 'a new owner whose bucket does not start empty',
    act: ({state, grant, levelAt}) => {
      grant('host-1');
      state.acting = 2;
      levelAt(10_000);
    },
    at: 11_000,
    level: 80,
  },
  {
    guardsAgainst: 'an owner that lends after it lost its lease',
    act: ({state, levelAt}) => {
      state.acting = 2;
      levelAt(10_000);
      state.acting = undefined;
    },
    at: 11_000,
    level: undefined,
  },
  {
    guardsAgainst: 'an owner that reuses its old bucket in a new epoch',
    act: ({state, levelAt}) => {
      state.acting = 2;
      levelAt(1000);
      levelAt(10_000);
      state.acting = 4;
    },
    at: 11_000,
    level: 0,
  },
  {
    guardsAgainst: 'lending while loans of an owner that released are valid',
    act: ({state, release, grant, levelAt}) => {
      release();
      grant('host-1');
      state.acting = 2;
      levelAt(10_000);
    },
    at: 13_000,
    level: 0,
  },
  {
    guardsAgainst: 'waiting for loans after all hosts acknowledged the epoch',
    act: ({state, release, grant, levelAt, seen}) => {
      release();
      grant('host-1');
      state.acting = 2;
      levelAt(10_000);
      for (const host of ['host-2', 'host-3', 'host-4']) seen(host, 2);
      levelAt(10_500);
    },
    at: 11_500,
    level: 80,
  },
  {
    guardsAgainst: 'lending before every host acknowledged the epoch',
    act: ({state, release, grant, levelAt, seen}) => {
      release();
      grant('host-1');
      state.acting = 2;
      levelAt(10_000);
      seen('host-2', 2);
      seen('host-3', 2);
      seen('host-4', 1);
      levelAt(10_500);
    },
    at: 13_000,
    level: 0,
  },
  {
    guardsAgainst: 'lending while loans of an ended contract are valid',
    act: ({state, grant, levelAt}) => {
      grant('host-1');
      state.acting = 2;
      levelAt(1000);
      state.contract = undefined;
      levelAt(9000);
      state.contract = contract;
      levelAt(10_000);
    },
    at: 13_000,
    level: 0,
  },
  {
    guardsAgainst: 'a share while loans of a terminated owner are valid',
    act: ({refuse}) => refuse(1000, 2000, 3900),
    at: 3999,
    level: undefined,
  },
  {
    guardsAgainst: 'no tokens after the owner terminated in a table outage',
    act: ({refuse, levelAt}) => {
      refuse(1000, 2000, 3900);
      levelAt(4000);
    },
    at: 6000,
    level: 40,
  },
  {
    guardsAgainst: 'a share of a new member that others may not know yet',
    act: ({state, refuse, joinAgain, levelAt}) => {
      state.listInEffect = false;
      joinAgain();
      levelAt(500);
      refuse(1000, 2000, 3900);
    },
    at: 10_000,
    level: undefined,
  },
  {
    guardsAgainst: 'a share that starts before all hosts know the new member',
    act: ({refuse, joinAgain, levelAt}) => {
      refuse(1000, 2000, 3900);
      joinAgain();
      levelAt(5000);
    },
    at: 7999,
    level: undefined,
  },
  {
    guardsAgainst: 'a share after a single refused connection',
    act: ({refuse}) => refuse(1000),
    at: 10_000,
    level: undefined,
  },
  {
    guardsAgainst: 'a share while the owner is reachable again',
    act: ({refuse, connect, levelAt}) => {
      refuse(1000, 2000, 3900);
      levelAt(4000);
      connect(5000, 'run-9');
    },
    at: 6000,
    level: undefined,
  },
  {
    guardsAgainst: 'no tokens after the owner restarted without its lease',
    act: ({connect, levelAt}) => {
      connect(1000, 'run-10');
      levelAt(4000);
    },
    at: 5000,
    level: 20,
  },
  {
    guardsAgainst: 'an old connection that counts as a restart of the owner',
    act: ({connect, grant, levelAt}) => {
      connect(1000, 'run-8');
      grant('host-2');
      levelAt(2000);
    },
    at: 10_000,
    level: undefined,
  },
  {
    guardsAgainst: 'a share after another host took over the lease',
    act: ({refuse, grant, levelAt}) => {
      refuse(1000, 2000, 3900);
      levelAt(4000);
      grant('host-3');
    },
    at: 6000,
    level: undefined,
  },
  {
    guardsAgainst: 'a share after a release, when a new owner acts immediately',
    act: ({refuse, release, levelAt}) => {
      refuse(1000, 2000, 3900);
      release();
      levelAt(4000);
    },
    at: 10_000,
    level: undefined,
  },
];

it.each(CASES)('prevents $guardsAgainst', ({act, at, level}) => {
  const created = createSelector();
  act(created);
  const actual = created.levelAt(at);
  if (level === undefined) expect(actual).toBeUndefined();
  else expect(actual).toBeCloseTo(level, 6);
});
