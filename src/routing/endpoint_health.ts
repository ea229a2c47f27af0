import type {Authority} from '../contracts/mod.ts';
import type {EndpointClients, EngineClient} from '../endpoints/mod.ts';
import type {EventLogger} from '../observability/mod.ts';
import {HOST_STATES, type HostList} from '../stores/mod.ts';
import {type Clock, sleep} from '../time/mod.ts';

/** Gives the client of an endpoint. */
export type EngineClientSource =
  | Pick<EndpointClients, 'engine'>
  | {
      engine(endpoint: {name: string; address: string}): EngineClient;
    };

/** Why an endpoint gets no new work. */
export type UnusableReason = 'unknown' | 'down' | 'leaving' | 'gone';

/** Options of {@link EndpointHealth}. */
export interface EndpointHealthOptions {
  authority: () => Authority;
  engines: EngineClientSource;
  hostList: HostList;
  clock: Clock;
  logger: EventLogger;
  /** Milliseconds between two reads of the host list. @default 1000 */
  hostListIntervalMilliseconds?: number;
  /** Milliseconds between two state reads of one endpoint. @default 500 */
  probeIntervalMilliseconds?: number;
  /** Endpoints whose state is read besides those that are down. */
  endpointsToProbe: () => Iterable<string>;
  /** Called when an endpoint became usable or unusable. */
  onChange: () => void;
}

interface EndpointStatus {
  down: boolean;
  leaving: boolean;
  listed: 'live' | 'leaving' | 'gone';
  load: number;
  incarnation: string | undefined;
  probing: boolean;
}

/**
 * What this host knows about endpoints: whether they may get new work, and
 * their load reports. The first sign that an endpoint leaves or is dead
 * counts: the authority, the host list, a refused connection or the
 * endpoint's own state.
 */
export class EndpointHealth {
  private readonly statuses = new Map<string, EndpointStatus>();
  private readonly abort = new AbortController();

  constructor(private readonly options: EndpointHealthOptions) {}

  /** Starts to read the host list and endpoint states. */
  start(): void {
    void this.readHostList();
    void this.probeAll();
  }

  /** Stops all reads. */
  stop(): void {
    this.abort.abort();
  }

  /** Why an endpoint gets no new work; undefined when it may get some. */
  unusableReason(endpoint: string): UnusableReason | undefined {
    const known = this.options.authority().endpoints.get(endpoint);
    if (known === undefined) return 'unknown';
    const report = this.statuses.get(endpoint);
    if (report?.listed === 'gone') return 'gone';
    if (report?.down) return 'down';
    if (known.leaving || report?.leaving || report?.listed === 'leaving') {
      return 'leaving';
    }
    return undefined;
  }

  /** Requests on an endpoint by its own report. */
  reportedLoad(endpoint: string): number {
    return this.statuses.get(endpoint)?.load ?? 0;
  }

  /** Records that an exchange with the endpoint worked. */
  succeeded(endpoint: string): void {
    const report = this.statuses.get(endpoint);
    if (report?.down) this.setDown(endpoint, false, 'answered');
  }

  /** Records a failed exchange. Only a refused connection proves a dead process. */
  failed(endpoint: string, failure: 'refused' | 'broken' | 'silent'): void {
    if (failure === 'refused') this.setDown(endpoint, true, failure);
    else void this.probe(endpoint);
  }

  /** What is known, for operators. */
  explain(endpoint: string): Record<string, unknown> {
    return {
      unusable: this.unusableReason(endpoint) ?? null,
      ...this.statuses.get(endpoint),
    };
  }

  private async readHostList(): Promise<void> {
    const {signal} = this.abort;
    while (!signal.aborted) {
      const hosts = await this.options.hostList.list();
      if (hosts.ok && !signal.aborted) {
        for (const {name, state} of hosts.value) {
          if (!this.options.authority().endpoints.has(name)) continue;
          const report = this.statusOf(name);
          if (report.listed === state) continue;
          report.listed = state;
          if (state !== HOST_STATES.live) {
            this.logLeaving(name, `host list: ${state}`);
          }
          this.options.onChange();
        }
      }
      const delay = this.options.hostListIntervalMilliseconds ?? 1000;
      await sleep(this.options.clock, delay, signal);
    }
  }

  private async probeAll(): Promise<void> {
    const {signal} = this.abort;
    while (!signal.aborted) {
      const names = new Set(this.options.endpointsToProbe());
      for (const [name, report] of this.statuses) {
        if (report.down) names.add(name);
      }
      for (const name of names) void this.probe(name);
      const delay = this.options.probeIntervalMilliseconds ?? 500;
      await sleep(this.options.clock, delay, signal);
    }
  }

  private async probe(name: string): Promise<void> {
    const endpoint = this.options.authority().endpoints.get(name);
    if (endpoint === undefined || endpoint.protocol === 'http') return;
    const report = this.statusOf(name);
    if (report.probing) return;
    report.probing = true;
    const answer = await this.options.engines.engine(endpoint).state();
    report.probing = false;
    if (this.abort.signal.aborted) return;
    if (!answer.ok) {
      const {error} = answer;
      const refused = error.kind === 'unreachable' && error.refused;
      if (refused || error.kind === 'silent') {
        this.setDown(name, true, refused ? 'refused' : 'silent');
      }
      return;
    }
    const {leaving, load, incarnation} = answer.value;
    report.load = load.running + load.queued;
    report.incarnation = incarnation;
    if (leaving !== report.leaving) {
      report.leaving = leaving;
      if (leaving) this.logLeaving(name, 'engine state');
      this.options.onChange();
    }
    this.setDown(name, false, 'state read');
  }

  private setDown(name: string, down: boolean, sign: string): void {
    const report = this.statusOf(name);
    if (report.down === down) return;
    report.down = down;
    const event = down ? 'endpointDown' : 'endpointUp';
    this.options.logger.event(event, {endpoint: name, sign});
    this.options.onChange();
  }

  private logLeaving(endpoint: string, sign: string): void {
    this.options.logger.event('endpointLeaving', {endpoint, sign});
  }

  private statusOf(name: string): EndpointStatus {
    let report = this.statuses.get(name);
    if (report === undefined) {
      report = {
        down: false,
        leaving: false,
        listed: 'live',
        load: 0,
        incarnation: undefined,
        probing: false,
      };
      this.statuses.set(name, report);
    }
    return report;
  }
}
