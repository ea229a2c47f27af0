import type {EndpointRecord} from '../deployment/mod.ts';
import type {EventLogger} from '../observability/mod.ts';
import type {Clock} from '../time/mod.ts';
import {Endpoint, incarnationOf} from './endpoint.ts';

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
 * Time after an outage of the store in which a lapsed row may return; the
 * platform gives about two seconds.
 */
export const LAPSE_GRACE_MILLISECONDS = 2200;

/** Endpoints that this host believes to be there. */
export class EndpointRegistry {
  private readonly endpoints = new Map<string, Endpoint>();
  private readonly lapsed = new Map<string, () => void>();
  private readonly leaving = new Set<string>();
  private readonly listeners = new Set<() => void>();

  constructor(private readonly options: EndpointRegistryOptions) {}

  /** Endpoints of a service that may get new requests, paused ones included. */
  usable(service: string): readonly Endpoint[] {
    return [...this.endpoints.values()].filter(
      endpoint =>
        endpoint.record.service === service &&
        !this.leaving.has(endpoint.incarnation),
    );
  }

  /** Every endpoint, leaving ones included. */
  all(): Iterable<Endpoint> {
    return this.endpoints.values();
  }

  /** Calls `listener` after each change. */
  onChange(listener: () => void): void {
    this.listeners.add(listener);
  }

  /** Takes all rows of the table; endpoints without a row are gone. */
  applySnapshot(
    records: ReadonlyMap<string, EndpointRecord | undefined>,
  ): void {
    for (const id of [...this.endpoints.keys()]) {
      if (!records.has(id)) this.remove(id);
    }
    this.applyChanges(records);
  }

  /** Takes changed rows; undefined means that the row names no endpoint. */
  applyChanges(records: ReadonlyMap<string, EndpointRecord | undefined>): void {
    for (const [id, record] of records) {
      if (record === undefined) this.remove(id);
      else this.update(record);
    }
    for (const listener of this.listeners) listener();
  }

  private update(record: EndpointRecord): void {
    const {logger} = this.options;
    this.lapsed.get(record.id)?.();
    this.lapsed.delete(record.id);
    const known = this.endpoints.get(record.id);
    if (
      known !== undefined &&
      known.incarnation === incarnationOf(record) &&
      known.record.address === record.address
    ) {
      // A table that is read anew shows rows again that are known already.
      if (record.rowVersion <= known.record.rowVersion) return;
      known.record = record;
    } else {
      known?.agent.destroy();
      this.endpoints.set(
        record.id,
        new Endpoint(record, this.options.maximumConnections(record.service)),
      );
      logger.event('endpointFound', describe(record));
    }
    // An endpoint that has said that it leaves never takes that back.
    const incarnation = incarnationOf(record);
    if (record.state !== 'leaving' || this.leaving.has(incarnation)) return;
    this.leaving.add(incarnation);
    logger.event('endpointLeaving', {
      ...describe(record),
      leavesInMilliseconds: record.leavesInMilliseconds,
    });
  }

  private remove(id: string): void {
    const endpoint = this.endpoints.get(id);
    if (endpoint === undefined || this.lapsed.has(id)) return;
    const {clock, logger, storeRegainedAt} = this.options;
    const graceEnd = storeRegainedAt() + LAPSE_GRACE_MILLISECONDS;
    const grace = graceEnd - clock.monotonicMilliseconds();
    if (grace <= 0 || this.leaving.has(endpoint.incarnation)) {
      this.forget(id);
      return;
    }
    logger.event('endpointLapsed', {...describe(endpoint.record), grace});
    this.lapsed.set(
      id,
      clock.startTimer(grace, () => {
        this.forget(id);
        for (const listener of this.listeners) listener();
      }),
    );
  }

  private forget(id: string): void {
    const endpoint = this.endpoints.get(id);
    if (endpoint === undefined) return;
    this.lapsed.delete(id);
    this.endpoints.delete(id);
    this.leaving.delete(endpoint.incarnation);
    this.options.logger.event('endpointGone', describe(endpoint.record));
  }
}

function describe(record: EndpointRecord) {
  const {id, service, address, dataCentre, startedAt} = record;
  return {endpoint: id, service, address, dataCentre, startedAt};
}
