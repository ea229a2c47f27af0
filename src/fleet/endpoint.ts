import type {EndpointRecord} from '../deployment/mod.ts';
import {EndpointAgent} from '../exchange/mod.ts';
import {EndpointCondition} from './endpoint_condition.ts';

/** Maximum idle time after which a connection is still reused. */
export const IDLE_CONNECTION_MILLISECONDS = 4000;

/** Process of an endpoint, with this host's connections and requests to it. */
export class Endpoint {
  readonly agent: EndpointAgent;
  readonly condition = new EndpointCondition();
  /** Unfinished requests of this host. */
  inFlight = 0;
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
    return (this.inFlight + this.peerInFlight) / Math.max(1, this.record.slots);
  }

  /** Counts a request that is being sent. */
  begin(target: string): void {
    this.inFlight++;
    const count = this.inFlightByTarget.get(target) ?? 0;
    this.inFlightByTarget.set(target, count + 1);
  }

  /** Counts a request that has ended. */
  end(target: string): void {
    this.inFlight--;
    const count = (this.inFlightByTarget.get(target) ?? 1) - 1;
    if (count === 0) this.inFlightByTarget.delete(target);
    else this.inFlightByTarget.set(target, count);
  }
}

/** Identity of the process that a record describes. */
export function incarnationOf(record: EndpointRecord): string {
  return `${record.id}/${record.startedAt}`;
}
