import type {EndpointRecord} from '../deployment/mod.ts';
import {EndpointAgent} from '../exchange/mod.ts';
import {EndpointCondition} from './endpoint_condition.ts';

/** Maximum idle time after which a connection is still reused. */
export const IDLE_CONNECTION_MILLISECONDS = 4000;

/** Follows the requests of this host to endpoints. */
export interface EndpointObserver {
  /** Called when a request begins to be sent. */
  readonly begun: (endpoint: Endpoint) => void;
  /** Called when a request has ended. */
  readonly ended: (endpoint: Endpoint) => void;
}

/** Process of an endpoint, with this host's connections and requests to it. */
export class Endpoint {
  readonly agent: EndpointAgent;
  readonly condition = new EndpointCondition();
  /** Unfinished requests of this host. */
  inFlight = 0;
  /** Slots kept for requests of this host that are about to be sent. */
  reserved = 0;
  /** Unfinished requests of other hosts. */
  peerInFlight = 0;
  /**
   * Unfinished requests of this host by target (`model` or `model/adapter`).
   */
  readonly inFlightByTarget = new Map<string, number>();

  constructor(
    public record: EndpointRecord,
    maximumConnections: number,
    /** Era of the store to which the version of the record's row belongs. */
    public rowEra = 0,
    private readonly observers: Iterable<EndpointObserver> = [],
  ) {
    this.agent = new EndpointAgent({
      maximumConnections,
      idleTimeoutMilliseconds: IDLE_CONNECTION_MILLISECONDS,
    });
  }

  /** Identity of the process; changes on a restart under the same id. */
  get incarnation(): string {
    return incarnationOf(this.record);
  }

  /** Share of the slots in use by all hosts; can exceed 1. */
  get occupancy(): number {
    const requests = this.inFlight + this.reserved + this.peerInFlight;
    return requests / Math.max(1, this.record.slots);
  }

  /** Counts a request that is being sent. */
  begin(target: string): void {
    this.inFlight++;
    const count = this.inFlightByTarget.get(target) ?? 0;
    this.inFlightByTarget.set(target, count + 1);
    for (const observer of this.observers) observer.begun(this);
  }

  /** Counts a request that has ended. */
  end(target: string): void {
    this.inFlight--;
    const count = (this.inFlightByTarget.get(target) ?? 1) - 1;
    if (count === 0) this.inFlightByTarget.delete(target);
    else this.inFlightByTarget.set(target, count);
    for (const observer of this.observers) observer.ended(this);
  }
}

/** Identity of the process that a record describes. */
export function incarnationOf(record: EndpointRecord): string {
  return `${record.id}/${record.startedAt}`;
}
