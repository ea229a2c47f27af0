import {Packr} from 'msgpackr';
import {z} from 'zod';
import {failure, type Result, success} from '../errors/mod.ts';
import {type PeerGreeting, peerGreetingSchema} from './peer_identity.ts';
import {type PeerMessage, peerMessageSchema} from './peer_message.ts';

/** Why bytes from a peer cannot be used. */
export interface PeerCodecError {
  readonly kind: 'malformed' | 'invalid_message';
  readonly reason: string;
}

/** Anything that is sent on a link. */
export type PeerFrame = PeerGreeting | PeerMessage;

// One lookup by kind; a union would try the greeting for each message.
const frameSchema = z.discriminatedUnion('kind', [
  peerGreetingSchema,
  peerMessageSchema,
]);

// Records would make each frame depend on the ones before it.
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
