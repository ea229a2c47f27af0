import type {PeerIdentity} from './peer_identity.ts';
import type {PeerMessage} from './peer_message.ts';

/** A change of the connection to a peer. */
export type PeerConnectionEvent =
  | {readonly kind: 'connected'; readonly peer: PeerIdentity}
  | {readonly kind: 'disconnected'; readonly peer: PeerIdentity}
  | {
      /** No process listens at the address, so the peer's process has ended. */
      readonly kind: 'refused';
      readonly hostId: string | undefined;
      readonly peerAddress: string;
    };

/** Handles a received message. */
export type PeerMessageHandler = (
  from: PeerIdentity,
  message: PeerMessage,
) => void;

/** Sends and receives messages between hosts. */
export interface PeerChannel {
  /** Identity of this process. */
  readonly self: PeerIdentity;
  /** Peers with an open connection. */
  connectedPeers(): readonly PeerIdentity[];
  /** Queues a message; returns false when there is no connection to the host. */
  send(hostId: string, message: PeerMessage): boolean;
  /** Queues a message for every connected peer. */
  broadcast(message: PeerMessage): void;
  /** Registers a handler and returns a function that removes it. */
  onMessage(handler: PeerMessageHandler): () => void;
  /** Registers an event listener and returns a function that removes it. */
  onConnectionEvent(listener: (event: PeerConnectionEvent) => void): () => void;
}
