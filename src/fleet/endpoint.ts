import type {EndpointRecord} from '../deployment/mod.ts';
import {EndpointAgent} from '../exchange/mod.ts';
import {EndpointCondition} from './endpoint_condition.ts';

/** Longest time for which an idle connection is reused. */
export const IDLE_CONNECTION_MILLISECONDS = 4000;

/** One process of an endpoint, with this host's connections to it. */
export class Endpoint {
  readonly agent: EndpointAgent;
  readonly condition = new EndpointCondition();
  /** Requests of this host that the endpoint has not finished. */
  inFlight = 0;
  /** Requests of other hosts that the endpoint has not finished. */
  peerInFlight = 0;
  /** Requests of this host by model, with its adapter if any. */
  readonly inFlightByTarget = new Map<string, number>();

  constructor(
    public record: EndpointRecord,
    maximumConnections: number,
  ) {
    this.agent = new EndpointAgent({
      maximumConnections,
      idleTimeoutMilliseconds: IDLE_CONNECTION_MILLISECONDS,
    });
  }

  /** Identity of the process; a restart under the same id has another one. */
  get incarnation(): string {
    return incarnationOf(this.record);
  }

  /** Share of the slots that are taken, over all hosts. */
  get occupancy(): number {
    return (this.inFlight + this.peerInFlight) / Math.max(1, this.record.slots);
  }

  /** Counts a request that is sent. */
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
