import {z} from 'zod';

/** Version of the protocol between hosts. */
export const PEER_PROTOCOL_VERSION = 3;

/** Schema of {@link PeerGreeting}. */
export const peerGreetingSchema = z.object({
  kind: z.literal('greeting'),
  protocolVersion: z.number().int(),
  deployment: z.string(),
  hostId: z.string().min(1),
  incarnation: z.string().min(1),
  dataCentre: z.string().min(1),
  peerAddress: z.string().min(1),
  callerAddress: z.string().min(1),
});

/** First message that each side of a connection sends. */
export type PeerGreeting = z.infer<typeof peerGreetingSchema>;

/** Identity of a host process; the incarnation changes when it restarts. */
export interface PeerIdentity {
  readonly hostId: string;
  readonly incarnation: string;
  readonly dataCentre: string;
  readonly peerAddress: string;
  readonly callerAddress: string;
}
