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

/** Encodes a frame with MessagePack. */
export function encodePeerFrame(frame: PeerFrame): Uint8Array {
  return packr.pack(frame);
}

/** Decodes and validates a frame. */
export function decodePeerFrame(
  bytes: Uint8Array,
): Result<PeerFrame, PeerCodecError> {
  let value: unknown;
  try {
    value = packr.unpack(bytes);
  } catch (error) {
    return failure({kind: 'malformed', reason: String(error)});
  }
  const parsed = frameSchema.safeParse(value);
  if (parsed.success) return success(parsed.data);
  const reason = z.prettifyError(parsed.error).slice(0, 500);
  return failure({kind: 'invalid_message', reason});
}
