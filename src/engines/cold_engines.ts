import type {
  ColdStartConfiguration,
  ServiceConfiguration,
} from '../deployment/mod.ts';
import {type Endpoint, type EndpointRegistry, LruSet} from '../fleet/mod.ts';
import type {EndpointLimits} from '../permits/mod.ts';

/** Options of {@link ColdEngines}. */
export interface ColdEnginesOptions {
  registry: Pick<EndpointRegistry, 'all' | 'onChange'>;
  limits: EndpointLimits;
  /** Returns a service of the current configuration. */
  service: (name: string) => ServiceConfiguration | undefined;
}

/**
 * Part of a cold phase that may have passed in the row of a new process, in milliseconds.
 * Another host can have granted permits for as long: 7 requests of 26 on the example
 * deployment, beside the 16 that this host grants in the same second.
 */
const MAXIMUM_NEW_MILLISECONDS = 500;

/** Maximum number of processes that are remembered after their rows are gone. */
const MAXIMUM_SEEN = 10_000;

/**
 * Finds the cold phases of endpoints in their rows. Does nothing for services without a
 * cold start.
 */
export class ColdEngines {
  /** Version and era of the last row of each known process, by incarnation. */
  private known = new Map<string, string>();
  /** Processes that were known, also if their rows were away. */
  private readonly seen = new LruSet(MAXIMUM_SEEN);
  /** Services whose endpoints were known before, so that unknown ones are new. */
  private followedServices: ReadonlySet<string> = new Set();

  constructor(private readonly options: ColdEnginesOptions) {
    options.registry.onChange(() => this.update());
  }

  /** Applies the current rows; called after each change of them or of the services. */
  update(): void {
    const {registry, limits} = this.options;
    const known = new Map<string, string>();
    const followed = new Set<string>();
    for (const endpoint of registry.all()) {
      const terms = this.termsOf(endpoint);
      if (terms === undefined) continue;
      const {incarnation, record, rowEra} = endpoint;
      followed.add(record.service);
      const row = `${rowEra} ${record.rowVersion}`;
      known.set(incarnation, row);
      if (this.known.get(incarnation) === row) continue;
      this.apply(endpoint, terms);
      this.seen.add(incarnation);
    }
    for (const incarnation of this.known.keys()) {
      if (!known.has(incarnation)) limits.cold.forgetPresumed(incarnation);
    }
    this.known = known;
    this.followedServices = new Set([...this.followedServices, ...followed]);
  }

  /** Presumes that the next process of an endpoint is cold after a failed connection. */
  presume(endpoint: Endpoint): void {
    const terms = this.termsOf(endpoint);
    if (terms === undefined) return;
    this.options.limits.cold.presume(endpoint.incarnation, {
      ratePerSecond: terms.requestsPerSecond,
      durationMilliseconds: terms.durationMilliseconds,
    });
  }

  /** Requests a second of a cold endpoint; undefined if its service has no cold phase. */
  rateOf(endpoint: Endpoint): number | undefined {
    return this.termsOf(endpoint)?.requestsPerSecond;
  }

  private apply(endpoint: Endpoint, terms: ColdStartConfiguration): void {
    const {limits} = this.options;
    const {incarnation, record} = endpoint;
    const milliseconds = record.coldMilliseconds;
    const isNew =
      !this.seen.has(incarnation) &&
      this.followedServices.has(record.service) &&
      milliseconds > terms.durationMilliseconds - MAXIMUM_NEW_MILLISECONDS;
    limits.cold.recordRow(
      {incarnation, milliseconds, ratePerSecond: terms.requestsPerSecond},
      isNew,
    );
  }

  private termsOf({record}: Endpoint): ColdStartConfiguration | undefined {
    return this.options.service(record.service)?.coldStart;
  }
}
