import {describe, expect, test} from 'vitest';
import type {Endpoint} from '../fleet/mod.ts';
import {Metrics, SILENT_LOGGER} from '../observability/mod.ts';
import {ManualClock} from '../testing/manual_clock.ts';
import {
  PromptPartQuarantine,
  type PromptPartRun,
  type RoutedRequest,
} from './mod.ts';

const HOLD_MILLISECONDS = 400;
const NEVER = new AbortController().signal;

/** Hosts that receive each other's announcements at once, unless cut off. */
class Fleet {
  readonly clock = new ManualClock();
  readonly hosts: PromptPartQuarantine[] = [];
  readonly crashed = new Set<string>();
  readonly cutOff = new Set<number>();

  constructor(count: number) {
    for (let index = 0; index < count; index++) this.addHost();
  }

  addHost(): PromptPartQuarantine {
    const index = this.hosts.length;
    const host = new PromptPartQuarantine({
      hostId: `host-${index}`,
      clock: this.clock,
      logger: SILENT_LOGGER,
      metrics: new Metrics(),
      hasCrashed: endpoint =>
        Promise.resolve(this.crashed.has(endpoint.incarnation)),
      announce: (service, change) => {
        if (this.cutOff.has(index)) return;
        this.hosts.forEach((other, receiver) => {
          if (receiver === index || this.cutOff.has(receiver)) return;
          other.receive(service, change);
        });
      },
    });
    this.hosts.push(host);
    return host;
  }

  /** Begins a run; undefined if the request is refused or has to wait. */
  async begin(
    host: number,
    parts: string[],
    endpoint: string,
  ): Promise<PromptPartRun | undefined> {
    const request = requestWith(parts);
    const holdUntil = this.clock.monotonicMilliseconds() + HOLD_MILLISECONDS;
    const guard = this.hosts[host]!;
    const turn = guard.waitForTurn(request, holdUntil, NEVER);
    await this.clock.advanceAsync(0);
    const isWaiting = Symbol('waiting');
    const first = await Promise.race([turn, Promise.resolve(isWaiting)]);
    if (typeof first === 'symbol' || first.kind === 'refused') return undefined;
    const run = guard.begin(
      {request, endpoint: endpointWith(endpoint), holdUntil},
      NEVER,
    );
    await this.clock.advanceAsync(30);
    return run;
  }

  /** Runs a request up to its first event. */
  async succeed(host: number, parts: string[]): Promise<boolean> {
    const run = await this.begin(host, parts, 'sound/1');
    run?.recordBegun();
    run?.end();
    return run !== undefined;
  }

  /** Runs a request during which an endpoint crashes; false if it may not run. */
  async crash(
    host: number,
    parts: string[],
    incarnation: string,
  ): Promise<boolean> {
    const run = await this.begin(host, parts, incarnation);
    this.crashed.add(incarnation);
    await run?.recordBroken();
    run?.end();
    return run !== undefined;
  }

  async kindOfTurn(host: number, parts: string[]): Promise<string> {
    const now = this.clock.monotonicMilliseconds();
    const turn = this.hosts[host]!.waitForTurn(
      requestWith(parts),
      now + HOLD_MILLISECONDS,
      NEVER,
    );
    await this.clock.advanceAsync(HOLD_MILLISECONDS);
    const ended = await turn;
    return ended.kind === 'refused' ? ended.error.code : ended.kind;
  }
}

function requestWith(parts: string[]): RoutedRequest {
  return {
    metadata: {promptParts: parts.map(id => ({id, tokens: 10}))},
    service: {name: 'engines'},
  } as unknown as RoutedRequest;
}

function endpointWith(incarnation: string): Endpoint {
  return {incarnation, record: {id: incarnation}} as unknown as Endpoint;
}

describe('PromptPartQuarantine', () => {
  interface Case {
    name: string;
    play: (fleet: Fleet) => Promise<unknown>;
    /** Parts of a later request, and its turn on every host. */
    parts?: string[];
    turn: string;
  }
  const cases: Case[] = [
    {
      name: 'an endpoint crashed once',
      play: fleet => fleet.crash(0, ['s', 'd', '1'], 'e1/1'),
      turn: 'trial',
    },
    {
      name: 'it crashed an endpoint in its trial',
      play: async fleet => {
        await fleet.crash(0, ['s', 'd', '1'], 'e1/1');
        await fleet.crash(1, ['s', 'd', '2'], 'e2/1');
      },
      turn: 'request_quarantined',
    },
    {
      name: 'its trial has begun',
      play: async fleet => {
        await fleet.crash(0, ['s', 'd', '1'], 'e1/1');
        await fleet.succeed(1, ['s', 'd', '2']);
      },
      turn: 'unrestricted',
    },
    {
      name: 'another host knows that it ran before one crash',
      play: async fleet => {
        await fleet.succeed(2, ['s', 'd', '1']);
        await fleet.crash(0, ['s', 'd', '2'], 'e1/1');
      },
      turn: 'unrestricted',
    },
    {
      name: 'it ran before and two endpoints crashed since',
      play: async fleet => {
        await fleet.succeed(2, ['s', 'd', '1']);
        await fleet.crash(0, ['s', 'd', '2'], 'e1/1');
        await fleet.crash(1, ['s', 'd', '3'], 'e2/1');
      },
      turn: 'trial',
    },
    {
      name: 'a connection was lost and the endpoint lives (reset, answer lost)',
      play: async fleet => {
        const run = await fleet.begin(0, ['s', 'd', '1'], 'e1/1');
        await run?.recordBroken();
      },
      turn: 'unrestricted',
    },
    {
      name: 'endpoints lost connections in two trials and live',
      play: async fleet => {
        await fleet.crash(0, ['s', 'd', '1'], 'e1/1');
        for (const endpoint of ['e2/1', 'e3/1']) {
          const run = await fleet.begin(1, ['s', 'd', '2'], endpoint);
          await run?.recordBroken();
          run?.end();
        }
      },
      turn: 'trial',
    },
    {
      name: 'endpoints were full in two trials',
      play: async fleet => {
        await fleet.crash(0, ['s', 'd', '1'], 'e1/1');
        for (const endpoint of ['e2/1', 'e3/1'])
          (await fleet.begin(1, ['s', 'd', '2'], endpoint))?.end();
      },
      turn: 'trial',
    },
    {
      name: 'several endpoints crashed at once, none in its trial',
      play: async fleet => {
        const runs = await Promise.all(
          [0, 1, 2].map(host => fleet.begin(host, ['s', 'd', '1'], `e${host}`)),
        );
        for (const host of [0, 1, 2]) fleet.crashed.add(`e${host}`);
        for (const run of runs) await run?.recordBroken();
      },
      turn: 'trial',
    },
    {
      name: 'another part crashed an endpoint in a trial beside it',
      play: async fleet => {
        await fleet.crash(0, ['x', '1'], 'e1/1');
        const beside = await fleet.begin(1, ['s', 'd', '1'], 'e2/1');
        const trial = await fleet.begin(0, ['x', '2'], 'e2/1');
        fleet.crashed.add('e2/1');
        await beside?.recordBroken();
        await trial?.recordBroken();
      },
      turn: 'unrestricted',
    },
    {
      name: 'it is the last part of the prompt',
      play: async fleet => {
        await fleet.crash(0, ['s', 'd'], 'e1/1');
        await fleet.crash(0, ['s', 'd'], 'e2/1');
      },
      parts: ['other', 'd'],
      turn: 'unrestricted',
    },
    {
      name: 'its trial is under way',
      play: async fleet => {
        await fleet.crash(0, ['s', 'd', '1'], 'e1/1');
        await fleet.begin(1, ['s', 'd', '2'], 'e2/1');
      },
      turn: 'overloaded',
    },
    {
      name: 'the host of its trial stopped without a word',
      play: async fleet => {
        await fleet.crash(0, ['s', 'd', '1'], 'e1/1');
        await fleet.begin(1, ['s', 'd', '2'], 'e2/1');
        await fleet.clock.advanceAsync(4000);
      },
      turn: 'trial',
    },
    {
      name: 'nothing has crashed for a minute',
      play: async fleet => {
        await fleet.crash(0, ['s', 'd', '1'], 'e1/1');
        await fleet.clock.advanceAsync(60_001);
      },
      turn: 'unrestricted',
    },
    {
      name: 'its block has ended',
      play: async fleet => {
        await fleet.crash(0, ['s', 'd', '1'], 'e1/1');
        await fleet.crash(0, ['s', 'd', '2'], 'e2/1');
        await fleet.clock.advanceAsync(60_001);
      },
      turn: 'trial',
    },
    {
      name: 'it crashed an endpoint again after its block',
      play: async fleet => {
        await fleet.crash(0, ['s', 'd', '1'], 'e1/1');
        await fleet.crash(0, ['s', 'd', '2'], 'e2/1');
        await fleet.clock.advanceAsync(60_001);
        await fleet.crash(0, ['s', 'd', '3'], 'e3/1');
        await fleet.clock.advanceAsync(100_000);
      },
      turn: 'request_quarantined',
    },
    {
      name: 'it was blocked together with a part that the request lacks',
      play: async fleet => {
        await fleet.crash(0, ['s', 'd', 'f', '1'], 'e1/1');
        await fleet.crash(0, ['s', 'd', 'f', '2'], 'e2/1');
      },
      turn: 'trial',
    },
    {
      name: 'the part that was blocked with it has been cleared',
      play: async fleet => {
        await fleet.crash(0, ['s', 'd', 'f', '1'], 'e1/1');
        await fleet.crash(0, ['s', 'd', 'f', '2'], 'e2/1');
        await fleet.succeed(1, ['s', 'f', '3']);
      },
      turn: 'request_quarantined',
    },
    {
      name: 'the operator has released it',
      play: async fleet => {
        await fleet.crash(0, ['s', 'd', '1'], 'e1/1');
        await fleet.crash(0, ['s', 'd', '2'], 'e2/1');
        fleet.hosts[2]?.release('engines', 'd');
      },
      turn: 'unrestricted',
    },
  ];
  // Guards against BUDGET violations (a part crashes engine after engine) and LOST
  // violations (sound requests are refused with it).
  test.each(cases)(
    'a request with a part gets the turn $turn when $name',
    async ({play, parts, turn}) => {
      const fleet = new Fleet(3);
      await fleet.succeed(0, ['s', '0']);
      await play(fleet);
      for (const host of [0, 1, 2]) {
        await fleet.succeed(0, ['s', '0']);
        expect(await fleet.kindOfTurn(host, parts ?? ['s', 'd', '9'])).toBe(
          turn,
        );
        expect(await fleet.kindOfTurn(host, ['s', '9'])).toBe('unrestricted');
      }
    },
  );

  test('two hosts that announce a trial at once start one', async () => {
    const fleet = new Fleet(2);
    await fleet.crash(0, ['d', '1'], 'e1/1');
    fleet.cutOff.add(1);
    const holdUntil = HOLD_MILLISECONDS;
    const [first, second] = [0, 1].map(host =>
      fleet.hosts[host]!.begin(
        {
          request: requestWith(['d', '2']),
          endpoint: endpointWith(`e${host}/2`),
          holdUntil,
        },
        NEVER,
      ),
    );
    const started = {
      kind: 'trial_started' as const,
      incarnation: 'e/2',
      parts: ['d'],
    };
    fleet.hosts[0]!.receive('engines', {...started, host: 'host-1'});
    fleet.hosts[1]!.receive('engines', {...started, host: 'host-0'});
    await fleet.clock.advanceAsync(30);
    expect(await first).toBeDefined();
    expect(await second).toBeUndefined();
  });

  test('a request that waits for a trial goes on at its first event', async () => {
    const fleet = new Fleet(2);
    await fleet.crash(0, ['d', '1'], 'e1/1');
    const trial = await fleet.begin(0, ['d', '2'], 'e2/1');
    const turn = fleet.hosts[1]!.waitForTurn(
      requestWith(['d', '3']),
      fleet.clock.monotonicMilliseconds() + HOLD_MILLISECONDS,
      NEVER,
    );
    trial?.recordBegun();
    await fleet.clock.advanceAsync(0);
    expect((await turn).kind).toBe('unrestricted');
  });

  test.each([
    {name: 'a suspected part', crashes: 1, turn: 'trial'},
    {name: 'a blocked part', crashes: 2, turn: 'request_quarantined'},
  ])('a host that connects learns of $name', async ({crashes, turn}) => {
    const fleet = new Fleet(1);
    for (let count = 1; count <= crashes; count++)
      await fleet.crash(0, ['d', '1'], `e${count}/1`);
    const changes = fleet.hosts[0]!.currentChanges();
    const added = fleet.addHost();
    for (const {service, change} of changes) added.receive(service, change);
    expect(await fleet.kindOfTurn(1, ['d', '2'])).toBe(turn);
  });
});
