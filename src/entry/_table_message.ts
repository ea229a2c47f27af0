import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {failure, type Result, success} from '../errors/mod.ts';
import type {PeerMessageOf} from '../peers/mod.ts';
import type {TableUpdate} from '../stores/mod.ts';

type TableMessage = PeerMessageOf<'table_update'>;

/** Size from which the value of a row is compressed. */
const COMPRESSION_BYTES = 512;

/** Maximum size of a row after decompression; the store's rows are smaller. */
const MAXIMUM_ROW_BYTES = 8 * 1024 * 1024;

/**
 * Encodes an update for other hosts. Configurations are compressed: a host with a
 * slow link that sends several of them to all its peers would otherwise delay its
 * other messages for seconds.
 */
export function encodeTableUpdate(
  update: TableUpdate,
): Omit<TableMessage, 'hops'> {
  return {
    kind: 'table_update',
    ...update,
    rows: update.rows.map(({key, value, version}) => {
      const isCompressed =
        value !== undefined && value.length >= COMPRESSION_BYTES;
      const bytes = isCompressed ? deflateRawSync(value) : value;
      return {
        key,
        version,
        value: bytes === undefined ? null : Uint8Array.from(bytes),
        isCompressed,
      };
    }),
    regainedAt: update.regainedAt ?? null,
  };
}

/** Decodes an update; fails if a value cannot be decompressed. */
export function decodeTableUpdate(
  message: TableMessage,
): Result<TableUpdate, {readonly reason: string}> {
  try {
    return success({
      ...message,
      rows: message.rows.map(({key, value, version, isCompressed}) => ({
        key,
        version,
        value: value === null ? undefined : decodeValue(value, isCompressed),
      })),
      regainedAt: message.regainedAt ?? undefined,
    });
  } catch (error) {
    return failure({reason: String(error)});
  }
}

function decodeValue(value: Uint8Array, isCompressed: boolean): Buffer {
  return isCompressed
    ? inflateRawSync(value, {maxOutputLength: MAXIMUM_ROW_BYTES})
    : Buffer.from(value);
}
