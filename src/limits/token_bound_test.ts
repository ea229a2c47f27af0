import fc from 'fast-check';
import {expect, it} from 'vitest';
import {LimitFleet, ManualClock, SpendRecord} from '../testing/mod.ts';
import {
  FUZZ_TIME_LIMIT_MILLISECONDS,
  fuzzParameters,
} from '../testing/fuzz_parameters.ts';

const VIEW_TIMEOUT = 3000;
const TEAM = 'team-1';
const HOST_COUNT = 8;

const host = fc.integer({min: 1, max: HOST_COUNT});
const action = fc.oneof(
  {
    weight: 40,
    arbitrary: fc.record({
      kind: fc.constant('reserve' as const),
      host,
      count: fc.integer({min: 1, max: 6}),
      tokens: fc.oneof(
        fc.integer({min: 1, max: 60}),
        fc.integer({min: 1, max: 500}),
      ),
      wait: fc.integer({min: 0, max: 6000}),
      usedShare: fc.constantFrom(0, 0.3, 1),
      runsFor: fc.integer({min: 0, max: 6000}),
      extension: fc.constantFrom(0, 0, 60),
    }),
  },
  {
    weight: 24,
    arbitrary: fc.record({
      kind: fc.constant('advance' as const),
      milliseconds: fc.constantFrom(1, 20, 300, 2600, 3100, 8000),
    }),
  },
  {weight: 1, arbitrary: fc.record({kind: fc.constant('kill' as const), host})},
  {
    weight: 1,
    arbitrary: fc.record({kind: fc.constant('restart' as const), host}),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('pause' as const),
      host,
      milliseconds: fc.constantFrom(500, 2900, 5000),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('cut_off' as const),
      host,
      milliseconds: fc.constantFrom(1000, 7000),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({kind: fc.constant('take_over' as const), host}),
  },
  {
    weight: 2,
    arbitrary: fc.record({kind: fc.constant('hand_over' as const), host}),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('terms' as const),
      rate: fc.constantFrom(20, 100, 400),
      burst: fc.constantFrom(100, 500, 1500),
    }),
  },
  {weight: 1, arbitrary: fc.constant({kind: 'end_contract' as const})},
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('table' as const),
      up: fc.boolean(),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('loss' as const),
      everyNth: fc.constantFrom(0, 0, 3, 10),
    }),
  },
);
type Action = typeof action extends fc.Arbitrary<infer Value> ? Value : never;

/** Applies a list of actions to a fleet and records the spent tokens. */
class BoundRun {
  readonly clock = new ManualClock();
  readonly record = new SpendRecord(VIEW_TIMEOUT);
  private lossEveryNth = 0;
  private messages = 0;
  private readonly fleet = new LimitFleet({
    clock: this.clock,
    hostCount: HOST_COUNT,
    viewTimeoutMilliseconds: VIEW_TIMEOUT,
    latencyMilliseconds: 1,
    isLost: () =>
      this.lossEveryNth > 0 && ++this.messages % this.lossEveryNth === 0,
  });

  async start(): Promise<void> {
    this.putContract(100, 500);
    this.fleet.grant(TEAM, 'host-1');
    await this.clock.advanceAsync(6000);
  }

  async run(step: Action): Promise<void> {
    switch (step.kind) {
      case 'reserve':
        for (let index = 0; index < step.count; index++) this.reserve(step);
        return;
      case 'advance':
        await this.clock.advanceAsync(step.milliseconds);
        return;
      case 'kill':
        this.fleet.kill(`host-${step.host}`);
        return;
      case 'restart':
        this.fleet.kill(`host-${step.host}`);
        this.fleet.startHost(`host-${step.host}`);
        return;
      case 'pause': {
        const peer = this.fleet.hosts.get(`host-${step.host}`)?.peer;
        if (peer === undefined || peer.paused) return;
        peer.pause();
        this.clock.startTimer(step.milliseconds, () => peer.resume());
        return;
      }
      case 'cut_off': {
        const cutOff = this.fleet.hosts.get(`host-${step.host}`);
        if (cutOff === undefined) return;
        cutOff.cutOff = true;
        this.clock.startTimer(step.milliseconds, () => {
          cutOff.cutOff = false;
        });
        return;
      }
      case 'take_over':
        this.fleet.grant(TEAM, `host-${step.host}`);
        return;
      case 'hand_over':
        if (this.fleet.release(TEAM)) {
          this.fleet.grant(TEAM, `host-${step.host}`);
        }
        return;
      case 'terms':
        this.putContract(step.rate, step.burst);
        return;
      case 'end_contract': {
        const current = this.fleet.head.contracts.get(TEAM);
        if (current === undefined || !this.fleet.tableUp) return;
        this.fleet.commit({
          kind: 'end_contract',
          team: TEAM,
          expectedRevision: current.revision,
        });
        this.record.setTerms(this.now(), 0, 0);
        return;
      }
      case 'table':
        this.fleet.tableUp = step.up;
        return;
      case 'loss':
        this.lossEveryNth = step.everyNth;
        return;
    }
  }

  private now(): number {
    return this.clock.monotonicMilliseconds();
  }

  private putContract(tokensPerSecond: number, burstTokens: number): void {
    const current = this.fleet.head.contracts.get(TEAM);
    const committed = this.fleet.commit({
      kind: 'put_contract',
      expectedRevision: current?.revision ?? null,
      contract: {
        team: TEAM,
        models: [],
        adapters: [],
        services: [],
        tokensPerSecond,
        burstTokens,
        weight: 1,
        maximumReplicas: 1,
        endsAt: null,
      },
    });
    if (committed) {
      this.record.setTerms(this.now(), tokensPerSecond, burstTokens);
    }
  }

  private reserve(step: Extract<Action, {kind: 'reserve'}>): void {
    const running = this.fleet.hosts.get(`host-${step.host}`);
    if (running === undefined || running.peer.paused) return;
    const {signal} = new AbortController();
    const clock = running.peer.clock;
    const deadlineAt = clock.monotonicMilliseconds() + step.wait;
    const {tokens} = step;
    void running.limiter
      .reserve({team: TEAM, tokens, deadlineAt, signal})
      .then(async result => {
        if (!result.ok) return;
        const events = [this.record.spend(this.now(), tokens)];
        if (step.extension > 0) {
          const extended = await result.value.extend(
            step.extension,
            deadlineAt + 1000,
            signal,
          );
          if (extended.ok) {
            events.push(this.record.spend(this.now(), step.extension));
          }
        }
        clock.startTimer(step.runsFor, () => {
          const reserved = result.value.tokens;
          const used = Math.floor(reserved * step.usedShare);
          result.value.settle(used);
          let unused = reserved - used;
          for (const event of events.reverse()) {
            event.settledAt = this.now();
            event.unused = Math.min(unused, event.reserved);
            unused -= event.unused;
          }
        });
      });
  }
}

it(
  'spends at most burst plus rate times interval over all hosts',
  async () => {
    const {seed, runs} = fuzzParameters(40);
    let spends = 0;
    await fc.assert(
      fc.asyncProperty(
        fc.array(action, {minLength: 30, maxLength: 80}),
        async actions => {
          const run = new BoundRun();
          await run.start();
          for (const step of actions) await run.run(step);
          await run.clock.advanceAsync(5000);
          spends += run.record.events.length;
          expect(run.record.findViolation()).toBeUndefined();
        },
      ),
      {
        seed,
        numRuns: runs,
        endOnFailure: true,
      },
    );
    // Guards against a limiter that keeps the bound by refusing all requests.
    expect(spends).toBeGreaterThan(500);
  },
  FUZZ_TIME_LIMIT_MILLISECONDS,
);
