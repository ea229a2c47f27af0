import type {PeerIdentity} from './peer_identity.ts';
import type {PeerMessage} from './peer_message.ts';

/** What the network observed about a peer's process. */
export type PeerConnectionEvent =
  | {readonly kind: 'connected'; readonly peer: PeerIdentity}
  | {readonly kind: 'disconnected'; readonly peer: PeerIdentity}
  | {
      /** Nothing listens at the address: the process there is gone. */
      readonly kind: 'refused';
      readonly hostId: string | undefined;
      readonly peerAddress: string;
    };

/** Receives a message and its sender. */
export type PeerMessageHandler = (
  from: PeerIdentity,
  message: PeerMessage,
) => void;

/** Messages between hosts, as the other modules see them. */
export interface PeerChannel {
  /** This process. */
  readonly self: PeerIdentity;
  /** Peers with an open link. */
  connectedPeers(): readonly PeerIdentity[];
  /** Queues a message; false when there is no link to the host. */
  send(hostId: string, message: PeerMessage): boolean;
  /** Queues a message for every connected peer. */
  broadcast(message: PeerMessage): void;
  /** Registers a handler and returns a function that removes it. */
  onMessage(handler: PeerMessageHandler): () => void;
  /** Registers an observer and returns a function that removes it. */
  onConnectionEvent(
    observer: (observation: PeerConnectionEvent) => void,
  ): () => void;
}
