import type {EndpointRecord, HeldModel} from '../deployment/mod.ts';
import {
  isWireObject,
  numberOf,
  objectsOf,
  stringOf,
  stringsOf,
  type WireObject,
} from './_wire_value.ts';

const ADDRESS_PATTERN = /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/;

/**
 * Decodes the row of an endpoint. Its `sequence` field counts heartbeats and is
 * ignored; the field of that name in an engine's report counts accepted orders.
 *
 * @param id Key of the row.
 * @param rowVersion Version of the row in the store.
 * @param value Parsed JSON of the row.
 * @returns The record; undefined if the row describes no usable endpoint.
 */
export function decodeEndpoint(
  id: string,
  rowVersion: number,
  value: unknown,
): EndpointRecord | undefined {
  if (!isWireObject(value)) return undefined;
  const state = value['state'];
  if (state !== 'ready' && state !== 'draining') return undefined;
  const address = stringOf(value['address']);
  const service = stringOf(value['service']);
  if (!ADDRESS_PATTERN.test(address) || service === '') return undefined;
  const available = isWireObject(value['available']) ? value['available'] : {};
  const remaining = value['remaining_ms'];
  return {
    id,
    rowVersion,
    service,
    address,
    dataCentre: stringOf(value['zone']),
    slots: numberOf(value['slots'], 1),
    state: state === 'ready' ? 'ready' : 'leaving',
    startedAt: numberOf(value['born']),
    leavesInMilliseconds: typeof remaining === 'number' ? remaining : undefined,
    models: decodeHeldModels(value['models']),
    inMemory: stringsOf(available['in_memory']),
    onDisk: stringsOf(available['on_disk']),
  };
}

/** Decodes the list of models that are loaded in an engine's accelerator. */
export function decodeHeldModels(value: unknown): readonly HeldModel[] {
  return objectsOf(value).map((model: WireObject) => ({
    name: stringOf(model['name']),
    version: numberOf(model['version']),
    adapters: stringsOf(model['adapters']),
  }));
}
