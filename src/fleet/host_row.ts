import {z} from 'zod';
import {isSocketAddress} from '../exchange/mod.ts';

const PEER_SCHEME = 'ws://';

/** Schema of {@link HostRow}. */
export const hostRowSchema = z.object({
  hostId: z.string().min(1),
  /** Identity of the process. */
  incarnation: z.string().min(1),
  dataCentre: z.string(),
  /** IP address and port for callers. */
  callerAddress: z.string().refine(isSocketAddress),
  /** WebSocket address for peers. */
  peerAddress: z
    .string()
    .refine(
      address =>
        address.startsWith(PEER_SCHEME) &&
        isSocketAddress(address.slice(PEER_SCHEME.length)),
    ),
  state: z.enum(['ready', 'leaving']),
  /** Processor capacity, in cores of the usual speed. */
  cores: z.number().positive().default(1),
  /** Bandwidth of the host's network link, in Mbit/s. */
  linkMegabits: z.number().positive().default(1000),
  /** Era of the store in which the host has written the row. */
  storeEra: z.number().int().nonnegative().default(0),
});

/** Row in which a host describes itself in the store. */
export type HostRow = z.infer<typeof hostRowSchema>;

/** Encodes the row as JSON. */
export function encodeHostRow(row: HostRow): Buffer {
  return Buffer.from(JSON.stringify(row));
}

/** Decodes a row; undefined if it is invalid. */
export function decodeHostRow(value: Buffer): HostRow | undefined {
  let json: unknown;
  try {
    json = JSON.parse(value.toString());
  } catch {
    return undefined;
  }
  const parsed = hostRowSchema.safeParse(json);
  return parsed.success ? parsed.data : undefined;
}
