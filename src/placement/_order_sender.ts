import type {
  EndpointError,
  EngineAction,
  EngineClient,
} from '../endpoints/mod.ts';
import type {Result} from '../errors/mod.ts';
import type {EventLogger} from '../observability/mod.ts';
import type {Clock} from '../time/mod.ts';
import type {EngineLedger, LedgerOrder} from './engine_ledger.ts';
import type {IntentLog} from './intent_log.ts';
import type {ReplicaView} from './pool_view.ts';

/** Fields of a load order that the caller decides. */
export type LoadParameters = Pick<
  LedgerOrder,
  | 'target'
  | 'targetKind'
  | 'baseModel'
  | 'version'
  | 'memoryMegabytes'
  | 'expectedMilliseconds'
  | 'remote'
>;

/** Options of {@link OrderSender}. */
export interface OrderSenderOptions {
  pool: string;
  epoch: number;
  clock: Clock;
  logger: EventLogger;
  intents: IntentLog;
  /** Milliseconds after sending during which an engine may start an order. */
  orderValidityMilliseconds: number;
  /** Whether this host may currently act under the epoch. */
  mayAct: () => boolean;
  client: (endpoint: string) => EngineClient | undefined;
  /** Called when it is certain that the engine does not execute an order. */
  onRefused: (order: LedgerOrder, endpoint: string) => void;
  /** Called when an order was accepted, or when its outcome is unknown. */
  onAnswered: (endpoint: string) => void;
}

/** Records orders in the intent log and the engine's ledger, and sends them. */
export class OrderSender {
  private serial = 0;
  private readonly running = new Set<Promise<void>>();

  constructor(private readonly options: OrderSenderOptions) {}

  /** Orders a load; its memory and replica are counted at once. */
  load(ledger: EngineLedger, parameters: LoadParameters): void {
    this.run(ledger, this.newOrder('load', parameters));
  }

  /** Orders an unload. */
  unload(ledger: EngineLedger, replica: ReplicaView): void {
    const {target, kind, baseModel, version, memoryMegabytes} = replica;
    const order = this.newOrder('unload', {
      target,
      targetKind: kind,
      baseModel,
      version,
      memoryMegabytes,
      expectedMilliseconds: 0,
      remote: false,
    });
    this.run(ledger, order);
  }

  /**
   * Sends an order that keeps the engine's role but carries this epoch, after
   * which the engine refuses orders of earlier epochs.
   *
   * @returns Whether the engine accepted it.
   */
  async fence(endpoint: string, role: string): Promise<boolean> {
    const {clock, epoch, orderValidityMilliseconds, mayAct} = this.options;
    const client = this.options.client(endpoint);
    if (client === undefined || !mayAct()) return false;
    const notAfter = new Date(
      clock.now().getTime() + orderValidityMilliseconds,
    );
    const result = await client.order({
      orderId: this.nextId(),
      epoch,
      notAfter: notAfter.toISOString(),
      action: {kind: 'change_role', role},
    });
    return result.ok;
  }

  /** Resolves once no order is being recorded or sent. */
  async settled(): Promise<void> {
    await Promise.all(this.running);
  }

  private run(ledger: EngineLedger, order: LedgerOrder): void {
    ledger.add(order);
    const sent = this.recordAndSend(ledger, order).finally(() => {
      this.running.delete(sent);
    });
    this.running.add(sent);
  }

  private async recordAndSend(
    ledger: EngineLedger,
    order: LedgerOrder,
  ): Promise<void> {
    const {clock, epoch, intents, mayAct, orderValidityMilliseconds} =
      this.options;
    const {orderId} = order;
    await intents.record({
      orderId,
      epoch,
      endpoint: ledger.name,
      kind: order.kind,
      target: order.target,
      targetKind: order.targetKind,
      baseModel: order.baseModel,
      version: order.version,
      memoryMegabytes: order.memoryMegabytes,
      expectedMilliseconds: order.expectedMilliseconds,
      remote: order.remote,
    });
    const client = this.options.client(ledger.name);
    if (client === undefined || !mayAct()) {
      // Not sent, since this host may no longer act or the endpoint is gone.
      ledger.remove(orderId);
      intents.finish(orderId);
      return;
    }
    order.boundAt = clock.monotonicMilliseconds() + orderValidityMilliseconds;
    const notAfter = new Date(
      clock.now().getTime() + orderValidityMilliseconds,
    );
    const result = await client.order({
      orderId,
      epoch,
      notAfter: notAfter.toISOString(),
      action: actionOf(order),
    });
    this.handleAnswer(ledger, order, result);
  }

  private handleAnswer(
    ledger: EngineLedger,
    order: LedgerOrder,
    result: Result<undefined, EndpointError>,
  ): void {
    const {clock, intents, logger, onAnswered, onRefused} = this.options;
    const {orderId, target} = order;
    const endpoint = ledger.name;
    if (result.ok) {
      ledger.markAccepted(orderId, clock.monotonicMilliseconds());
      onAnswered(endpoint);
      return;
    }
    const {error} = result;
    const fields = {target, endpoint, orderId, kind: order.kind, error};
    if (error.kind === 'rejected' || error.kind === 'unreachable') {
      ledger.remove(orderId);
      intents.finish(orderId);
      logger.event('orderRefused', fields);
      onRefused(order, endpoint);
      return;
    }
    logger.event('loadUnresolved', {
      ...fields,
      memoryMegabytes: order.memoryMegabytes,
    });
    onAnswered(endpoint);
  }

  private newOrder(
    kind: 'load' | 'unload',
    parameters: LoadParameters,
  ): LedgerOrder {
    const {clock, epoch} = this.options;
    const now = clock.monotonicMilliseconds();
    return {
      ...parameters,
      kind,
      orderId: this.nextId(),
      epoch,
      startedAt: now,
      // Set when the order is sent; before that it cannot expire.
      boundAt: Infinity,
      acceptedAt: undefined,
      missingListings: 0,
    };
  }

  private nextId(): string {
    return `${this.options.pool}/${this.options.epoch}/${this.serial++}`;
  }
}

function actionOf(order: LedgerOrder): EngineAction {
  const {kind, target: name, targetKind, version, memoryMegabytes} = order;
  if (kind === 'unload') {
    return targetKind === 'model'
      ? {kind: 'unload_model', name}
      : {kind: 'unload_adapter', name};
  }
  if (order.baseModel === null) {
    return {kind: 'load_model', name, version, memoryMegabytes};
  }
  const {baseModel} = order;
  return {kind: 'load_adapter', name, version, baseModel, memoryMegabytes};
}
