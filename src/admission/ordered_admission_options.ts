import type {Endpoint, EndpointRegistry} from '../fleet/mod.ts';
import type {EventLogger, Metrics} from '../observability/mod.ts';
import type {RoutedRequest} from '../relay/mod.ts';
import type {Clock} from '../time/mod.ts';

/** Options of `OrderedAdmission`. */
export interface OrderedAdmissionOptions {
  clock: Clock;
  logger: EventLogger;
  metrics: Metrics;
  registry: Pick<EndpointRegistry, 'observe'>;
  hostId: string;
  /** Share of this host among those that send requests, 0 to 1. */
  evenShare: () => number;
  /** Share of the slots whose use this host knows of, 0 to 1. */
  slotShare: () => number;
  /** Engines that have a target and take requests now. */
  holders: (service: string, target: string) => readonly Endpoint[];
  /** Expected milliseconds of a run; 0 if that is not known. */
  expectedMilliseconds: (request: RoutedRequest) => number;
  /** Time until which a request may be sent. */
  lastStartAt: (request: RoutedRequest) => number;
  /** Time from which a request is left to other hosts; Infinity unless this host stops. */
  hostLimit: (request: RoutedRequest) => number;
}
