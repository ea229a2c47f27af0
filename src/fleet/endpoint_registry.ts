import type {EndpointRecord} from '../deployment/mod.ts';
import type {EventLogger} from '../observability/mod.ts';
import type {Clock} from '../time/mod.ts';
import {Endpoint, type EndpointObserver, incarnationOf} from './endpoint.ts';
import {LruSet} from './lru_set.ts';

/** Options of {@link EndpointRegistry}. */
export interface EndpointRegistryOptions {
  clock: Clock;
  logger: EventLogger;
  /** Connections that this host may open to one endpoint of a service. */
  maximumConnections: (service: string) => number;
  /** Monotonic time at which the store answered again after an outage. */
  storeRegainedAt: () => number;
}

/**
 * Time after a store outage for which endpoints whose rows have expired are
 * kept, so that they can renew their rows. The platform allows about 2 s.
 */
export const LAPSE_GRACE_MILLISECONDS = 2200;

/** Maximum number of processes that are remembered to leave. */
const MAXIMUM_LEAVING = 10_000;

/** Endpoints known to this host from the rows of the store. */
export class EndpointRegistry {
  private readonly endpoints = new Map<string, Endpoint>();
  private readonly pendingRemovals = new Map<string, () => void>();
  /** Incarnations that leave, kept after their rows are gone: rows can return. */
  private readonly leaving = new LruSet(MAXIMUM_LEAVING);
  /** Those of them of which only a response has told so far. */
  private readonly noticed = new LruSet(MAXIMUM_LEAVING);
  private readonly listeners = new Set<() => void>();
  private evacuated: ReadonlySet<string> = new Set();
  private hasSnapshot = false;
  /** Software versions by service; emptied when endpoints change. */
  private readonly versions = new Map<string, ReadonlySet<string>>();
  /** Services and software versions of all endpoints since the start of this host. */
  private readonly seenVersions = new Set<string>();
  private readonly observers = new Set<EndpointObserver>();

  constructor(private readonly options: EndpointRegistryOptions) {}

  /**
   * Endpoints of a service that may get new requests, including paused ones.
   */
  usable(service: string): readonly Endpoint[] {
    return [...this.endpoints.values()].filter(
      endpoint =>
        endpoint.record.service === service &&
        !this.leaving.has(endpoint.incarnation) &&
        !this.isEvacuated(endpoint.record),
    );
  }

  /** Software versions of the known processes of a service, including leaving ones. */
  versionsOf(service: string): ReadonlySet<string> {
    const known = this.versions.get(service);
    if (known !== undefined) return known;
    const versions = new Set<string>();
    for (const {record} of this.endpoints.values()) {
      if (record.service === service) versions.add(record.softwareVersion);
    }
    this.versions.set(service, versions);
    return versions;
  }

  /** Whether a service has had endpoints with a software version since this host started. */
  hasSeenVersion(service: string, version: string): boolean {
    return this.seenVersions.has(`${service} ${version}`);
  }

  /** Whether a process is known to leave, so that it gets no new requests. */
  isLeaving({incarnation}: Pick<Endpoint, 'incarnation'>): boolean {
    return this.leaving.has(incarnation);
  }

  /** Whether nothing may be sent to an endpoint, since its data centre is evacuated. */
  isEvacuated({dataCentre}: Pick<EndpointRecord, 'dataCentre'>): boolean {
    return this.evacuated.has(dataCentre);
  }

  /** Whether a service has endpoints, but only in evacuated data centres. */
  isServiceEvacuated(service: string): boolean {
    if (this.evacuated.size === 0) return false;
    const records = [...this.endpoints.values()]
      .map(({record}) => record)
      .filter(record => record.service === service);
    return (
      records.length > 0 && records.every(record => this.isEvacuated(record))
    );
  }

  /** Replaces the set of evacuated data centres. */
  setEvacuated(dataCentres: ReadonlySet<string>): void {
    this.evacuated = dataCentres;
    for (const listener of this.listeners) listener();
  }

  /** Whether the endpoints have been read, so that a data centre without any is unknown. */
  get isPopulated(): boolean {
    return this.hasSnapshot;
  }

  /** Number of endpoints in a data centre, including leaving ones. */
  countIn(dataCentre: string): number {
    return [...this.endpoints.values()].filter(
      ({record}) => record.dataCentre === dataCentre,
    ).length;
  }

  /** Returns the current process of an endpoint. */
  find(id: string): Endpoint | undefined {
    return this.endpoints.get(id);
  }

  /** Number of endpoints, including leaving ones. */
  get size(): number {
    return this.endpoints.size;
  }

  /** Places of all endpoints. */
  get slots(): number {
    let slots = 0;
    for (const {record} of this.endpoints.values()) slots += record.slots;
    return slots;
  }

  /** Applies the current limits of connections to all endpoints. */
  updateConnectionLimits(): void {
    for (const {agent, record} of this.endpoints.values()) {
      agent.maxSockets = this.options.maximumConnections(record.service);
    }
  }

  /** All endpoints, including leaving ones. */
  all(): Iterable<Endpoint> {
    return this.endpoints.values();
  }

  /** Informs an observer of all requests of this host to endpoints. */
  observe(observer: EndpointObserver): void {
    this.observers.add(observer);
  }

  /** Calls `listener` after each change. */
  onChange(listener: () => void): void {
    this.listeners.add(listener);
  }

  /**
   * Applies all rows of the table; endpoints without a row are removed.
   *
   * @param era Era of the store to which the versions of the rows belong.
   */
  applySnapshot(
    records: ReadonlyMap<string, EndpointRecord | undefined>,
    era = 0,
  ): void {
    this.hasSnapshot = true;
    for (const id of [...this.endpoints.keys()]) {
      if (!records.has(id)) this.remove(id);
    }
    this.applyChanges(records, era);
  }

  /** Applies changed rows; undefined stands for a deleted or invalid row. */
  applyChanges(
    records: ReadonlyMap<string, EndpointRecord | undefined>,
    era = 0,
  ): void {
    for (const [id, record] of records) {
      if (record === undefined) this.remove(id);
      else this.update(record, era);
    }
    for (const listener of this.listeners) listener();
  }

  /** @param era Era of the store to which the version of the row belongs. */
  private update(record: EndpointRecord, era: number): void {
    const {logger} = this.options;
    this.versions.clear();
    this.seenVersions.add(`${record.service} ${record.softwareVersion}`);
    this.pendingRemovals.get(record.id)?.();
    this.pendingRemovals.delete(record.id);
    const known = this.endpoints.get(record.id);
    if (
      known !== undefined &&
      known.incarnation === incarnationOf(record) &&
      known.record.address === record.address
    ) {
      // Reading the whole table again returns rows that are already known.
      const isSameEra = era === known.rowEra;
      if (isSameEra && record.rowVersion <= known.record.rowVersion) return;
      known.record = record;
      known.rowEra = era;
    } else {
      known?.agent.destroy();
      this.endpoints.set(
        record.id,
        new Endpoint(
          record,
          this.options.maximumConnections(record.service),
          era,
          this.observers,
        ),
      );
      logger.event('endpointFound', describe(record));
    }
    // Leaving is final for a process, whatever its later rows say.
    const incarnation = incarnationOf(record);
    if (record.state !== 'leaving' || this.leaving.has(incarnation)) return;
    this.leaving.add(incarnation);
    logger.event('endpointLeaving', {
      ...describe(record),
      leavesInMilliseconds: record.leavesInMilliseconds,
    });
  }

  /**
   * Records that a process has said in a response that it leaves.
   *
   * @param origin Host that got the response, for the log.
   * @returns False if that was known.
   */
  recordLeaving(incarnation: string, origin: string): boolean {
    if (this.leaving.has(incarnation)) return false;
    this.leaving.add(incarnation);
    this.noticed.add(incarnation);
    const endpoint = [...this.endpoints.values()].find(
      known => known.incarnation === incarnation,
    );
    this.options.logger.event('endpointLeaving', {
      ...(endpoint === undefined ? {incarnation} : describe(endpoint.record)),
      origin,
    });
    for (const listener of this.listeners) listener();
    return true;
  }

  /** Known processes that have said in a response that they leave. */
  noticedLeaving(): readonly string[] {
    return [...this.endpoints.values()]
      .map(({incarnation}) => incarnation)
      .filter(incarnation => this.noticed.has(incarnation));
  }

  private remove(id: string): void {
    const endpoint = this.endpoints.get(id);
    if (endpoint === undefined || this.pendingRemovals.has(id)) return;
    const {clock, logger, storeRegainedAt} = this.options;
    const graceEnd = storeRegainedAt() + LAPSE_GRACE_MILLISECONDS;
    const grace = graceEnd - clock.monotonicMilliseconds();
    if (grace <= 0 || this.leaving.has(endpoint.incarnation)) {
      this.removeNow(id);
      return;
    }
    logger.event('endpointLapsed', {...describe(endpoint.record), grace});
    this.pendingRemovals.set(
      id,
      clock.startTimer(grace, () => {
        this.removeNow(id);
        for (const listener of this.listeners) listener();
      }),
    );
  }

  private removeNow(id: string): void {
    const endpoint = this.endpoints.get(id);
    if (endpoint === undefined) return;
    this.versions.clear();
    this.pendingRemovals.delete(id);
    this.endpoints.delete(id);
    this.options.logger.event('endpointGone', describe(endpoint.record));
  }
}

function describe(record: EndpointRecord) {
  const {id, service, address, dataCentre, startedAt} = record;
  return {endpoint: id, service, address, dataCentre, startedAt};
}
