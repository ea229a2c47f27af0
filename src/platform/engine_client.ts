import type {EndpointRecord} from '../deployment/mod.ts';
import type {
  EngineControl,
  EngineOrder,
  EngineReport,
  EngineReportError,
  OrderOutcome,
} from '../engines/mod.ts';
import {failure, type Result, success} from '../errors/mod.ts';
import {callHttp, EndpointAgent} from '../exchange/mod.ts';
import {isWireObject, numberOf, stringsOf} from './_wire_value.ts';
import {decodeHeldModels} from './decode_endpoint.ts';

/** Time-out for control calls; engines acknowledge orders immediately. */
const CONTROL_TIMEOUT_MILLISECONDS = 800;

/** Maximum number of control connections from this host to an engine. */
const MAXIMUM_CONNECTIONS = 2;

/** Idle time after which a control connection is closed, if the engine names no other. */
const IDLE_TIMEOUT_MILLISECONDS = 60_000;

/** HTTP client for the control interface of the platform's engines. */
export class EngineClient implements EngineControl {
  private readonly agent = new EndpointAgent({
    maximumConnections: MAXIMUM_CONNECTIONS,
    idleTimeoutMilliseconds: IDLE_TIMEOUT_MILLISECONDS,
  });

  async order(
    engine: EndpointRecord,
    order: EngineOrder,
  ): Promise<OrderOutcome> {
    const response = await callHttp({
      address: engine.address,
      method: 'POST',
      path: '/limpetdale/order',
      headers: {'Expect-Instance': engine.id},
      body: {
        operation: order.operation,
        model: order.model,
        ...(order.adapter === undefined ? {} : {adapter: order.adapter}),
        // Here the expected number of accepted orders; in store transactions
        // the field of this name lists rows.
        if_revision: order.expectedOrders,
        holder: order.holder,
        fencing_token: order.fencingToken,
      },
      agent: this.agent,
      timeoutMilliseconds: CONTROL_TIMEOUT_MILLISECONDS,
    });
    if (!response.ok)
      return response.error.mayHaveArrived ? 'unknown' : 'unsent';
    switch (response.value.status) {
      case 202:
        return 'accepted';
      case 200:
        return 'done';
      case 409:
        return 'conflict';
      default:
        return 'rejected';
    }
  }

  async report(
    engine: EndpointRecord,
  ): Promise<Result<EngineReport, EngineReportError>> {
    const response = await callHttp({
      address: engine.address,
      method: 'GET',
      path: '/limpetdale/report',
      headers: {'Expect-Instance': engine.id},
      agent: this.agent,
      timeoutMilliseconds: CONTROL_TIMEOUT_MILLISECONDS,
    });
    const fail = (reason: string) =>
      failure({step: 'report' as const, peer: engine.address, reason});
    if (!response.ok) return fail(response.error.reason);
    if (response.value.status !== 200) {
      return fail(`status ${response.value.status}`);
    }
    let value: unknown;
    try {
      value = JSON.parse(response.value.body.toString());
    } catch (error) {
      return fail(String(error));
    }
    if (!isWireObject(value)) return fail('not an object');
    return success({
      models: decodeHeldModels(value['models']),
      isBusy: value['busy'] === true,
      // In reports, `sequence` counts accepted orders.
      ordersAccepted: numberOf(value['sequence']),
      // Entries have the form "MODEL/NAME@VERSION".
      pendingAdapters: stringsOf(value['pending']).map(
        text => text.split('@')[0] ?? text,
      ),
    });
  }
}
