import type {Authority} from '../contracts/mod.ts';
import type {EndpointClients, EngineClient} from '../endpoints/mod.ts';
import type {EventLogger} from '../observability/mod.ts';
import {HOST_STATES, type HostList} from '../stores/mod.ts';
import {type Clock, sleep} from '../time/mod.ts';

/** Returns the client of an engine endpoint. */
export type EngineClientSource =
  | Pick<EndpointClients, 'engine'>
  | {
      engine(endpoint: {name: string; address: string}): EngineClient;
    };

/** Why no new requests are sent to an endpoint. */
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
  /** Milliseconds between two probes of an endpoint. @default 500 */
  probeIntervalMilliseconds?: number;
  /** Endpoints to probe in addition to those that are down. */
  endpointsToProbe: () => Iterable<string>;
  /** Called when an endpoint becomes usable or unusable. */
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
 * Tracks which endpoints may receive new requests, and their reported load. An
 * endpoint is unusable as soon as any source says that it is leaving or down:
 * the authority, the host list, a refused connection or its own state.
 */
export class EndpointHealth {
  private readonly statuses = new Map<string, EndpointStatus>();
  private readonly abort = new AbortController();

  constructor(private readonly options: EndpointHealthOptions) {}

  /** Starts reading the host list and probing endpoints. */
  start(): void {
    void this.readHostList();
    void this.probeAll();
  }

  /** Stops reading and probing. */
  stop(): void {
    this.abort.abort();
  }

  /** Why an endpoint receives no new requests; undefined if it may. */
  unusableReason(endpoint: string): UnusableReason | undefined {
    const known = this.options.authority().endpoints.get(endpoint);
    if (known === undefined) return 'unknown';
    const status = this.statuses.get(endpoint);
    if (status?.listed === 'gone') return 'gone';
    if (status?.down) return 'down';
    if (known.leaving || status?.leaving || status?.listed === 'leaving') {
      return 'leaving';
    }
    return undefined;
  }

  /** Requests running and queued on an endpoint, by its last report. */
  reportedLoad(endpoint: string): number {
    return this.statuses.get(endpoint)?.load ?? 0;
  }

  /** Records a successful exchange with the endpoint. */
  succeeded(endpoint: string): void {
    const status = this.statuses.get(endpoint);
    if (status?.down) this.setDown(endpoint, false, 'answered');
  }

  /**
   * Records a failed exchange. Only a refused connection proves that the
   * process has ended; after any other failure the endpoint is probed.
   */
  failed(endpoint: string, failure: 'refused' | 'broken' | 'silent'): void {
    if (failure === 'refused') this.setDown(endpoint, true, failure);
    else void this.probe(endpoint);
  }

  /** Returns the status of an endpoint, for operators. */
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
          const status = this.statusOf(name);
          if (status.listed === state) continue;
          status.listed = state;
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
      for (const [name, status] of this.statuses) {
        if (status.down) names.add(name);
      }
      for (const name of names) void this.probe(name);
      const delay = this.options.probeIntervalMilliseconds ?? 500;
      await sleep(this.options.clock, delay, signal);
    }
  }

  private async probe(name: string): Promise<void> {
    const endpoint = this.options.authority().endpoints.get(name);
    if (endpoint === undefined || endpoint.protocol === 'http') return;
    const status = this.statusOf(name);
    if (status.probing) return;
    status.probing = true;
    const answer = await this.options.engines.engine(endpoint).state();
    status.probing = false;
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
    status.load = load.running + load.queued;
    status.incarnation = incarnation;
    if (leaving !== status.leaving) {
      status.leaving = leaving;
      if (leaving) this.logLeaving(name, 'engine state');
      this.options.onChange();
    }
    this.setDown(name, false, 'state read');
  }

  private setDown(name: string, down: boolean, evidence: string): void {
    const status = this.statusOf(name);
    if (status.down === down) return;
    status.down = down;
    const event = down ? 'endpointDown' : 'endpointUp';
    this.options.logger.event(event, {endpoint: name, sign: evidence});
    this.options.onChange();
  }

  private logLeaving(endpoint: string, evidence: string): void {
    this.options.logger.event('endpointLeaving', {endpoint, sign: evidence});
  }

  private statusOf(name: string): EndpointStatus {
    let status = this.statuses.get(name);
    if (status === undefined) {
      status = {
        down: false,
        leaving: false,
        listed: 'live',
        load: 0,
        incarnation: undefined,
        probing: false,
      };
      this.statuses.set(name, status);
    }
    return status;
  }
}
