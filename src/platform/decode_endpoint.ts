import type {EndpointRecord, HeldModel} from '../deployment/mod.ts';
import {isSocketAddress} from '../exchange/mod.ts';
import {
  coldMillisecondsOf,
  isWireObject,
  numberOf,
  objectsOf,
  stringOf,
  stringsOf,
  type WireObject,
} from './_wire_value.ts';

/** More requests than any process runs at once; a row with more is not an endpoint's. */
const MAXIMUM_SLOTS = 100_000;

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
  if (!isSocketAddress(address) || service === '') return undefined;
  const {slots = 1, born = 0} = value;
  if (!isCount(slots) || slots === 0 || slots > MAXIMUM_SLOTS) return undefined;
  if (!isCount(born)) return undefined;
  const available = isWireObject(value['available']) ? value['available'] : {};
  const remaining = value['remaining_ms'];
  return {
    id,
    rowVersion,
    service,
    softwareVersion: versionOf(value['version']),
    address,
    dataCentre: stringOf(value['zone']),
    slots,
    state: state === 'ready' ? 'ready' : 'leaving',
    startedAt: born,
    leavesInMilliseconds: Number.isFinite(remaining)
      ? Number(remaining)
      : undefined,
    coldMilliseconds: coldMillisecondsOf(value['cold_remaining_ms']),
    models: decodeHeldModels(value['models']),
    inMemory: stringsOf(available['in_memory']),
    onDisk: stringsOf(available['on_disk']),
  };
}

/** Version of software: a name or a number. */
function versionOf(value: unknown): string {
  return typeof value === 'number' ? String(value) : stringOf(value);
}

/** Whether a value is a number that counts something exactly. */
function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && Number(value) >= 0;
}

/** Decodes the list of models that are loaded in an engine's accelerator. */
export function decodeHeldModels(value: unknown): readonly HeldModel[] {
  return objectsOf(value).map((model: WireObject) => ({
    name: stringOf(model['name']),
    version: numberOf(model['version']),
    adapters: stringsOf(model['adapters']),
  }));
}
