import type {EndpointRecord, HeldModel} from '../deployment/mod.ts';
import type {Result} from '../errors/mod.ts';

/** An order to load or unload a model or adapter on an engine. */
export interface EngineOrder {
  readonly operation: 'load' | 'unload';
  readonly model: string;
  /** Adapter of the model; undefined for the model itself. */
  readonly adapter: string | undefined;
  /**
   * Number of orders accepted so far; the engine refuses if its own differs.
   */
  readonly expectedOrders: number;
  /** Host that sends the order. */
  readonly holder: string;
  /** Fencing token of the holder's lease. */
  readonly fencingToken: number;
}

/** An engine's answer to an order. */
export type OrderOutcome =
  /** The order is being executed. */
  | 'accepted'
  /** The order completed at once or was already satisfied. */
  | 'done'
  /** Another order is in progress, or the number of accepted orders differs. */
  | 'conflict'
  /** The engine will not execute the order. */
  | 'rejected'
  /** No answer; the order may be executed now or seconds later. */
  | 'unknown'
  /** The order cannot have reached the engine. */
  | 'unsent';

/** State that an engine reports on request. */
export interface EngineReport {
  readonly models: readonly HeldModel[];
  /** Whether an order is in progress. */
  readonly isBusy: boolean;
  /** Number of orders accepted since the engine started. */
  readonly ordersAccepted: number;
  /** Adapters being loaded, as `model/adapter`. */
  readonly pendingAdapters: readonly string[];
}

/** Failure to get a report from an engine. */
export interface EngineReportError {
  readonly step: 'report';
  readonly peer: string;
  readonly reason: string;
}

/** Sends orders to engines and requests reports from them. */
export interface EngineControl {
  /** Sends one order, without retries. */
  order(engine: EndpointRecord, order: EngineOrder): Promise<OrderOutcome>;
  /** Requests the state of an engine. */
  report(
    engine: EndpointRecord,
  ): Promise<Result<EngineReport, EngineReportError>>;
}
