import type {PeerMessageOf} from '../peers/mod.ts';

/** Unfinished requests for one target on one endpoint. */
export type InFlightCount = PeerMessageOf<'load_report'>['inFlight'][number];

/** Requests of one host that wait for one target. */
export type WaitingCount = PeerMessageOf<'demand_report'>['waiting'][number];

/** Number of requests for one model since the start of a host. */
export type ArrivalCount = PeerMessageOf<'demand_report'>['arrivals'][number];

/** Complete load of one host. */
export interface HostLoad {
  readonly inFlight: readonly InFlightCount[];
  readonly waiting: readonly WaitingCount[];
  readonly arrivals: readonly ArrivalCount[];
}
