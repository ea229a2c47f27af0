import type {EndpointRecord, HeldModel} from '../deployment/mod.ts';
import type {Result} from '../errors/mod.ts';

/** An order that changes what an engine holds. */
export interface EngineOrder {
  readonly operation: 'load' | 'unload';
  readonly model: string;
  /** Adapter of the model; undefined for the model itself. */
  readonly adapter: string | undefined;
  /** Orders that the engine must have accepted so far; else it refuses. */
  readonly expectedOrders: number;
  /** Host that gives the order. */
  readonly holder: string;
  /** Fencing number of the holder's lease. */
  readonly fencingToken: number;
}

/** An engine's answer to an order. */
export type OrderOutcome =
  /** It is being carried out. */
  | 'accepted'
  /** It holds already, or took no time. */
  | 'done'
  /** Another order is under way, or the number of orders differs. */
  | 'conflict'
  /** The engine will not carry it out. */
  | 'rejected'
  /** No answer: it may be carried out now or seconds later. */
  | 'unknown'
  /** It cannot have arrived. */
  | 'unsent';

/** What an engine reports of itself when it is asked. */
export interface EngineReport {
  readonly models: readonly HeldModel[];
  /** Whether an order is under way. */
  readonly isBusy: boolean;
  /** Orders accepted since the engine's start. */
  readonly ordersAccepted: number;
  /** Adapters on their way to the engine, as model and adapter. */
  readonly pendingAdapters: readonly string[];
}

/** Why an engine gave no report. */
export interface EngineReportError {
  readonly step: 'report';
  readonly peer: string;
  readonly reason: string;
}

/** Orders to engines and reports from them. */
export interface EngineControl {
  /** Gives one order, without a retry. */
  order(engine: EndpointRecord, order: EngineOrder): Promise<OrderOutcome>;
  /** Asks an engine for its state. */
  report(
    engine: EndpointRecord,
  ): Promise<Result<EngineReport, EngineReportError>>;
}
