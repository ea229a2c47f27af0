import {constants, deflateRawSync, inflateRawSync} from 'node:zlib';
import {Packr} from 'msgpackr';
import {z} from 'zod';
import {failure, type Result, success} from '../errors/mod.ts';
import {type PeerGreeting, peerGreetingSchema} from './peer_identity.ts';
import {type PeerMessage, peerMessageSchema} from './peer_message.ts';

/** Reason why a received frame was rejected. */
export interface PeerCodecError {
  readonly kind: 'malformed' | 'invalid_message';
  readonly reason: string;
}

/** Content of one WebSocket message between peers. */
export type PeerFrame = PeerGreeting | PeerMessage;

// Discriminating by kind takes one lookup; a plain union would try the greeting
// schema for every message.
const frameSchema = z.discriminatedUnion('kind', [
  peerGreetingSchema,
  peerMessageSchema,
]);

// With record structures, decoding a frame would depend on earlier frames.
const packr = new Packr({useRecords: false, encodeUndefinedAsNil: true});

/** First byte of a compressed frame; MessagePack never uses it. */
const COMPRESSED_MARK = 0xc1;

/** Size from which frames are compressed; most of a long one are repeated names. */
const COMPRESSION_BYTES = 512;

/** Maximum size of a frame after decompression. */
const MAXIMUM_FRAME_BYTES = 16 * 1024 * 1024;

/** Encodes a frame with MessagePack, and compresses a long one. */
export function encodePeerFrame(frame: PeerFrame): Uint8Array {
  const bytes = packr.pack(frame);
  if (bytes.length < COMPRESSION_BYTES) return bytes;
  const compressed = deflateRawSync(bytes, {level: constants.Z_BEST_SPEED});
  return Buffer.concat([Buffer.of(COMPRESSED_MARK), compressed]);
}

/** Decodes and validates a frame. */
export function decodePeerFrame(
  bytes: Uint8Array,
): Result<PeerFrame, PeerCodecError> {
  let value: unknown;
  try {
    value = packr.unpack(
      bytes[0] === COMPRESSED_MARK
        ? inflateRawSync(bytes.subarray(1), {
            maxOutputLength: MAXIMUM_FRAME_BYTES,
          })
        : bytes,
    );
  } catch (error) {
    return failure({kind: 'malformed', reason: String(error)});
  }
  const parsed = frameSchema.safeParse(value);
  if (parsed.success) return success(parsed.data);
  const reason = z.prettifyError(parsed.error).slice(0, 500);
  return failure({kind: 'invalid_message', reason});
}
