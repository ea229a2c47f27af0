import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {EndpointRecord} from '../deployment/mod.ts';
import type {ReplicaState} from '../engines/mod.ts';
import type {ExchangeFleet, ExchangeHost} from './exchange_fleet.ts';

/** Options of {@link PoolTraffic}. */
export interface PoolTrafficOptions {
  fleet: ExchangeFleet;
  models: number;
  requestsPerSecond: number;
  loadsPerSecond: number;
  seed: number;
  /** Announces the complete state of the pool as its manager. */
  announce: (complete: ReplicaState) => void;
}

const STEP_MILLISECONDS = 10;

/** Interval between the rounds of a manager. */
const ROUND_MILLISECONDS = 150;

const RUN_MILLISECONDS = 2000;

const LOAD_MILLISECONDS = 700;

/** Share of the requests that wait for a load. */
const WAITING_SHARE = 0.15;

/** Share of the loads that come from the weight store. */
const REMOTE_SHARE = 0.05;

/** Share of the models that engines have on their disks at first. */
const COPIED_SHARE = 0.7;

/** Models in an engine's accelerator. */
const MODELS_PER_ENGINE = 3;

/** Service of the simulated pool. */
export const POOL_SERVICE = 'dil-model';

/** Engines of a simulated pool. */
export function poolEndpoints(count: number): readonly EndpointRecord[] {
  return Array.from({length: count}, (_unused, index) => ({
    id: `i-${(0xa00000000 + index * 7919).toString(16)}`,
    rowVersion: index,
    softwareVersion: 'v1',
    service: POOL_SERVICE,
    address: `10.1.64.${index}:8048`,
    dataCentre: 'ist-a',
    slots: 12,
    state: 'ready',
    startedAt: 1_000_000,
    leavesInMilliseconds: undefined,
    coldMilliseconds: 0,
    models: [],
    inMemory: [],
    onDisk: [],
  }));
}

/** Requests to many models on all active hosts, and loads by the manager of the pool. */
export class PoolTraffic {
  private readonly generator;
  private isResting = false;
  private readonly names: readonly string[];
  /** Models in the accelerator of each engine. */
  private readonly held = new Map<string, string[]>();
  private readonly awaited = new Map<string, number>();
  /** Models of which an engine has a copy on its disk. */
  private readonly copied: Set<string>;

  constructor(private readonly options: PoolTrafficOptions) {
    this.generator = xoroshiro128plus(options.seed);
    this.names = Array.from(
      {length: options.models},
      (_unused, index) => `cuti${(0x613016 + index * 104_729).toString(16)}`,
    );
    const copies = Math.round(options.models * COPIED_SHARE);
    this.copied = new Set(this.names.slice(0, copies));
    for (const {id} of options.fleet.options.endpoints) {
      this.held.set(
        id,
        Array.from({length: MODELS_PER_ENGINE}, () => this.pick(this.names)),
      );
    }
  }

  /** Lets requests and loads happen. */
  async run(milliseconds: number): Promise<void> {
    const {fleet, requestsPerSecond, loadsPerSecond} = this.options;
    for (let now = 0; now < milliseconds; now += STEP_MILLISECONDS) {
      this.repeat(requestsPerSecond, () => this.request());
      this.repeat(loadsPerSecond, () => this.load());
      if (now % ROUND_MILLISECONDS === 0) this.announce();
      await fleet.clock.advanceAsync(STEP_MILLISECONDS);
    }
  }

  /** Lets nothing begin or end, so that all hosts can come to know the state. */
  async rest(milliseconds: number): Promise<void> {
    this.isResting = true;
    for (let now = 0; now < milliseconds; now += ROUND_MILLISECONDS) {
      this.announce();
      await this.options.fleet.clock.advanceAsync(ROUND_MILLISECONDS);
    }
  }

  private repeat(perSecond: number, action: () => void): void {
    let expected = (perSecond * STEP_MILLISECONDS) / 1000;
    for (; expected >= 1; expected--) action();
    if (this.random() < expected) action();
  }

  private request(): void {
    const {clock, active} = this.options.fleet;
    const host = this.pick(active);
    const model = this.pick(this.names);
    host.recordArrival(POOL_SERVICE, model);
    if (this.random() >= WAITING_SHARE) {
      this.dispatch(host, model);
      return;
    }
    const since = clock.monotonicMilliseconds();
    this.awaited.set(model, since + LOAD_MILLISECONDS);
    const entry = () => ({
      service: POOL_SERVICE,
      target: model,
      requests: 1,
      timely: 1,
      priority: 1,
      isHeld: true,
      isServable: false,
      waitedMilliseconds: clock.monotonicMilliseconds() - since,
    });
    const demand = {get: entry};
    host.demands.add(demand);
    host.exchange.reportDemandSoon();
    this.after(LOAD_MILLISECONDS, () => {
      host.demands.delete(demand);
      this.awaited.delete(model);
      this.dispatch(host, model);
    });
  }

  private dispatch(host: ExchangeHost, model: string): void {
    const endpoint = this.pick([...host.endpoints.values()]);
    endpoint.begin(model);
    this.after(RUN_MILLISECONDS, () => endpoint.end(model));
  }

  private load(): void {
    const [id, models] = this.pick([...this.held]);
    models.shift();
    this.announce();
    const isRemote = this.random() < REMOTE_SHARE;
    const model = this.pick(isRemote ? this.names : [...this.copied]);
    this.copied.add(model);
    const {clock} = this.options.fleet;
    this.awaited.set(model, clock.monotonicMilliseconds() + LOAD_MILLISECONDS);
    this.after(LOAD_MILLISECONDS, () => {
      this.held.get(id)?.push(model);
      this.awaited.delete(model);
      this.announce();
    });
  }

  private after(milliseconds: number, action: () => void): void {
    this.options.fleet.clock.startTimer(milliseconds, () => {
      if (!this.isResting) action();
    });
  }

  private announce(): void {
    const now = this.options.fleet.clock.monotonicMilliseconds();
    this.options.announce({
      service: POOL_SERVICE,
      epoch: 1,
      engines: [...this.held].map(([endpoint, targets]) => ({
        endpoint,
        startedAt: 1_000_000,
        targets: [...targets],
      })),
      expected: [...this.awaited].map(([target, readyAt]) => ({
        target,
        readyInMilliseconds: Math.max(0, readyAt - now),
      })),
      remoteOnly: {
        models: this.names.filter(name => !this.copied.has(name)),
        readyInMilliseconds: 7800,
      },
    });
  }

  private pick<Entry>(entries: readonly Entry[]): Entry {
    return entries[Math.floor(this.random() * entries.length)]!;
  }

  private random(): number {
    return uniformFloat64(this.generator);
  }
}
