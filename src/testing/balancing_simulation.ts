import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {Endpoint, UnobservedRequests} from '../fleet/mod.ts';
import {PROMPT_MILLISECONDS, SimulatedEngine} from './_simulated_engine.ts';
import {ManualClock} from './manual_clock.ts';

/** Deployment and load of a {@link BalancingSimulation}. */
export interface BalancingScenario {
  /** Hosts, of which at most 64 are active. */
  readonly hosts: number;
  readonly engines: number;
  /** Steady load as a share of what the engines can serve. */
  readonly load: number;
  /** Load during the long burst, on the same scale. */
  readonly burstLoad: number;
  /** Requests of the short burst for each slot of the engines. */
  readonly burstPerSlot: number;
  /** Factor by which one engine is slower than the others. */
  readonly slowFactor: number;
  /** Share of the requests that continue one and the same session. */
  readonly hotSessionShare: number;
  readonly seed: number;
}

/** What a host knows when it chooses an engine. */
export interface SimulatedHost {
  readonly index: number;
  readonly id: string;
  readonly dataCentre: string;
  readonly unobserved: UnobservedRequests;
}

/** A choice to be made by a strategy. */
export interface SimulatedChoice {
  readonly host: SimulatedHost;
  /** Engines with the counts that the host knows. */
  readonly engines: readonly Endpoint[];
  /** Engines that have rejected the request. */
  readonly excluded: ReadonlySet<string>;
  readonly session: string | undefined;
  /** Monotonic time. */
  readonly now: number;
  readonly random: () => number;
}

/** Chooses an engine for a request. */
export type BalancingStrategy = (
  choice: SimulatedChoice,
) => Endpoint | undefined;

/** Result of a run. */
export interface BalancingResult {
  readonly arrivals: number;
  /** Mean occupancy of the busiest engine over the run, relative to that of all. */
  readonly busiestToMean: number;
  /** The same at one moment; mean over the moments with a quarter of the slots in use. */
  readonly momentaryBusiestToMean: number;
  /** Rejections by engines, relative to the arrivals. */
  readonly rejectionShare: number;
  /** Requests whose first token was late or that no engine accepted. */
  readonly lateShare: number;
  /** Requests sent to an engine in the data centre of their host. */
  readonly localShare: number;
  /** Continued sessions whose engine still had their prompt. */
  readonly prefixShare: number;
}

const STEP_MILLISECONDS = 5;
const DURATION_MILLISECONDS = 40_000;
const LONG_BURST_MILLISECONDS = {from: 10_000, to: 13_000} as const;
const SHORT_BURST_MILLISECONDS = {from: 23_000, to: 23_200} as const;
/** Unfinished requests before this time are not measured. */
const WARM_UP_MILLISECONDS = 3000;

/** Limits and intervals of the deployment; see `docs/design/load_features.md`. */
const MAXIMUM_ACTIVE_HOSTS = 64;
const REPORT_MILLISECONDS = {active: 100, standby: 500} as const;
const DIGEST_MILLISECONDS = 1000;
/** Share of the requests that callers with old addresses send to standby hosts. */
const STANDBY_TRAFFIC_SHARE = 0.05;

const SLOTS = [12, 12, 12, 16] as const;
const MAXIMUM_ATTEMPTS = 3;

/** Durations of an engine of speed 1: runs of 1.5 to 2.9 s (docs/platform.md). */
const RUN_MILLISECONDS = {shortest: 1500, longest: 2900} as const;
const MEAN_RUN_MILLISECONDS = 2200;
const FIRST_TOKEN_OBJECTIVE_MILLISECONDS = 1000;
const SESSIONS = 600;
const SESSION_SHARE = 0.6;

/** Relative durations of engines, which differ by up to a half. */
const DURATION_FACTORS = [0.8, 1, 1.2, 1, 0.9] as const;

/** Counts that a host has reported and knows. */
interface HostCounts {
  readonly own: Int32Array;
  /** Own requests as last reported, on active hosts with those of standby hosts. */
  readonly reported: Int32Array;
  /** Last reports of standby hosts of an active host, in all. */
  readonly standby: Int32Array;
  readonly peers: Int32Array;
  digest: Int32Array;
  digestAt: number;
  countedAt: number;
}

/**
 * Deterministic simulation of many hosts that choose among engines from counts that are
 * as old as their reports: 100 ms between active hosts, and a digest each second on
 * standby hosts. Development only.
 */
export class BalancingSimulation {
  private readonly clock = new ManualClock();
  /** Separate generators, so that all strategies get the same requests. */
  private readonly arrivalGenerator;
  private readonly choiceGenerator;
  private readonly engines: SimulatedEngine[];
  private readonly views: Endpoint[];
  private readonly indexes: ReadonlyMap<Endpoint, number>;
  private readonly hosts: SimulatedHost[];
  private readonly counts: HostCounts[];
  private readonly fleet: Int32Array;
  private readonly activeHosts: number;
  private arrivals = 0;
  private rejections = 0;
  private late = 0;
  private local = 0;
  private continued = 0;
  private kept = 0;
  private ratioSum = 0;
  private ratios = 0;

  constructor(
    private readonly scenario: BalancingScenario,
    private readonly strategy: BalancingStrategy,
  ) {
    const {engines, hosts, seed, slowFactor} = scenario;
    this.arrivalGenerator = xoroshiro128plus(seed);
    this.choiceGenerator = xoroshiro128plus(seed + 1);
    this.activeHosts = Math.min(MAXIMUM_ACTIVE_HOSTS, hosts);
    const indexes = Array.from({length: engines}, (_, index) => index);
    this.engines = indexes.map(
      index =>
        new SimulatedEngine(
          SLOTS[index % SLOTS.length]!,
          DURATION_FACTORS[index % DURATION_FACTORS.length]! *
            (index === 1 ? slowFactor : 1),
        ),
    );
    this.views = indexes.map(index =>
      simulatedEndpoint(index, this.engines[index]!.slots),
    );
    this.indexes = new Map(this.views.map((view, index) => [view, index]));
    this.fleet = new Int32Array(engines);
    this.counts = Array.from({length: hosts}, () => ({
      own: new Int32Array(engines),
      reported: new Int32Array(engines),
      standby: new Int32Array(engines),
      peers: new Int32Array(engines),
      digest: new Int32Array(engines),
      digestAt: 0,
      countedAt: 0,
    }));
    this.hosts = this.counts.map((counts, index) => ({
      index,
      id: `host-${index}`,
      dataCentre: dataCentreOf(index),
      unobserved: new UnobservedRequests({
        clock: this.clock,
        activeHosts: () => this.activeHosts,
        countedAt: () => counts.countedAt,
      }),
    }));
  }

  /** Runs the whole scenario. */
  run(): BalancingResult {
    for (let now = 0; now < DURATION_MILLISECONDS; now += STEP_MILLISECONDS) {
      this.serve(now);
      this.report(now);
      const expected = this.arrivalsPerMillisecond(now) * STEP_MILLISECONDS;
      for (let count = this.poisson(expected); count > 0; count--)
        this.arrive(now);
      this.measure(now);
      this.clock.advance(STEP_MILLISECONDS);
    }
    const occupancies = this.engines.map(({occupancySum}) => occupancySum);
    return {
      arrivals: this.arrivals,
      busiestToMean: busiestToMean(occupancies),
      momentaryBusiestToMean: this.ratioSum / this.ratios,
      rejectionShare: this.rejections / this.arrivals,
      lateShare: this.late / this.arrivals,
      localShare: this.local / this.arrivals,
      prefixShare: this.kept / this.continued,
    };
  }

  private arrivalsPerMillisecond(now: number): number {
    const {load, burstLoad, burstPerSlot} = this.scenario;
    const capacity = this.engines.reduce(
      (sum, {slots, factor}) => sum + slots / (MEAN_RUN_MILLISECONDS * factor),
      0,
    );
    if (isWithin(now, LONG_BURST_MILLISECONDS)) return burstLoad * capacity;
    if (!isWithin(now, SHORT_BURST_MILLISECONDS)) return load * capacity;
    const slots = this.engines.reduce((sum, engine) => sum + engine.slots, 0);
    const {from, to} = SHORT_BURST_MILLISECONDS;
    return (slots * burstPerSlot) / (to - from);
  }

  /** Ends runs and starts queued ones. */
  private serve(now: number): void {
    for (const [index, engine] of this.engines.entries()) {
      for (const host of engine.end(now)) this.counts[host]!.own[index]!--;
      this.start(engine, now);
    }
  }

  private start(engine: SimulatedEngine, now: number): void {
    for (const {request, firstTokenAt, isKept} of engine.start(now)) {
      if (request.session !== undefined) this.continued++;
      if (isKept) this.kept++;
      const waited = firstTokenAt - request.arrivedAt;
      if (waited > FIRST_TOKEN_OBJECTIVE_MILLISECONDS) this.late++;
    }
  }

  /** Sends the reports and digests that are due; each host has its own phase. */
  private report(now: number): void {
    for (const {index} of this.hosts) {
      const isActive = index < this.activeHosts;
      const interval = REPORT_MILLISECONDS[isActive ? 'active' : 'standby'];
      if (!isDue(now, interval, index)) continue;
      const counts = this.counts[index]!;
      if (isActive) this.reportActive(counts, now);
      else this.reportStandby(counts, index, now);
    }
  }

  private reportActive(counts: HostCounts, now: number): void {
    const {own, reported, standby, peers} = counts;
    for (let engine = 0; engine < own.length; engine++) {
      const combined = own[engine]! + standby[engine]!;
      this.fleet[engine]! += combined - reported[engine]!;
      reported[engine] = combined;
      peers[engine] = this.fleet[engine]! - own[engine]!;
    }
    counts.countedAt = now - REPORT_MILLISECONDS.active / 2;
  }

  private reportStandby(counts: HostCounts, index: number, now: number): void {
    const {own, reported, peers} = counts;
    const upstream = this.counts[index % this.activeHosts]!;
    if (isDue(now, DIGEST_MILLISECONDS, index)) {
      counts.digest = this.fleet.slice();
      counts.digestAt = now;
    }
    for (let engine = 0; engine < own.length; engine++) {
      upstream.standby[engine]! += own[engine]! - reported[engine]!;
      reported[engine] = own[engine]!;
      peers[engine] = Math.max(0, counts.digest[engine]! - own[engine]!);
    }
    counts.countedAt = counts.digestAt - REPORT_MILLISECONDS.active / 2;
  }

  private arrive(now: number): void {
    this.arrivals++;
    const index = this.randomHost();
    const host = this.hosts[index]!;
    const {own, peers} = this.counts[index]!;
    const session = this.randomSession();
    const {shortest, longest} = RUN_MILLISECONDS;
    const run = shortest + this.random() * (longest - shortest);
    const milliseconds = run - PROMPT_MILLISECONDS.whole;
    for (const [engine, view] of this.views.entries()) {
      view.inFlight = own[engine]!;
      view.peerInFlight = peers[engine]!;
    }
    const excluded = new Set<string>();
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
      const chosen = this.strategy({
        host,
        engines: this.views,
        excluded,
        session,
        now,
        random: () => uniformFloat64(this.choiceGenerator),
      });
      if (chosen === undefined) break;
      host.unobserved.record('');
      if (session !== undefined) host.unobserved.record(session);
      const engineIndex = this.indexes.get(chosen)!;
      const engine = this.engines[engineIndex]!;
      if (engine.accept({session, milliseconds, arrivedAt: now, host: index})) {
        if (chosen.record.dataCentre === host.dataCentre) this.local++;
        own[engineIndex]!++;
        this.start(engine, now);
        return;
      }
      this.rejections++;
      excluded.add(chosen.incarnation);
    }
    this.late++;
  }

  private measure(now: number): void {
    if (now < WARM_UP_MILLISECONDS) return;
    const occupancies = this.engines.map(({occupancy}) => occupancy);
    for (const [index, engine] of this.engines.entries())
      engine.occupancySum += occupancies[index]!;
    const sum = occupancies.reduce((total, value) => total + value, 0);
    if (sum / occupancies.length < 0.25) return;
    this.ratioSum += busiestToMean(occupancies);
    this.ratios++;
  }

  private randomHost(): number {
    const {hosts} = this.scenario;
    const standby = hosts - this.activeHosts;
    return standby > 0 && this.random() < STANDBY_TRAFFIC_SHARE
      ? this.activeHosts + Math.floor(this.random() * standby)
      : Math.floor(this.random() * this.activeHosts);
  }

  private randomSession(): string | undefined {
    if (this.random() < this.scenario.hotSessionShare) return 'session-hot';
    return this.random() < SESSION_SHARE
      ? `session-${Math.floor(this.random() * SESSIONS)}`
      : undefined;
  }

  private poisson(mean: number): number {
    let count = 0;
    let product = this.random();
    for (; product > Math.exp(-mean); count++) product *= this.random();
    return count;
  }

  private random(): number {
    return uniformFloat64(this.arrivalGenerator);
  }
}

function isDue(now: number, interval: number, index: number): boolean {
  // A prime spreads the phases of consecutive hosts over the interval.
  const phase = (index * 7919 * STEP_MILLISECONDS) % interval;
  return (now - phase) % interval === 0;
}

function isWithin(now: number, {from, to}: {from: number; to: number}) {
  return now >= from && now < to;
}

function busiestToMean(occupancies: readonly number[]): number {
  const sum = occupancies.reduce((total, value) => total + value, 0);
  return (Math.max(...occupancies) * occupancies.length) / sum;
}

function dataCentreOf(index: number): string {
  return index % 2 === 0 ? 'zone-a' : 'zone-b';
}

/** Endpoint of an engine; those with even and odd indexes are in two data centres. */
export function simulatedEndpoint(index: number, slots: number): Endpoint {
  return new Endpoint(
    {
      id: `engine-${index}`,
      rowVersion: 1,
      softwareVersion: 'v1',
      service: 'engines',
      address: `127.0.0.1:${9000 + index}`,
      dataCentre: dataCentreOf(index),
      slots,
      state: 'ready',
      startedAt: 1,
      leavesInMilliseconds: undefined,
      coldMilliseconds: 0,
      models: [],
      inMemory: [],
      onDisk: [],
    },
    1,
  );
}
