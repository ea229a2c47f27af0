/**
 * Connections between hosts: MessagePack messages over WebSockets, validated on
 * receipt.
 *
 * @module
 */
export type {
  PeerChannel,
  PeerMessageHandler,
  PeerConnectionEvent,
} from './peer_channel.ts';
export {
  decodePeerFrame,
  encodePeerFrame,
  type PeerCodecError,
  type PeerFrame,
} from './peer_codec.ts';
export {
  PEER_PROTOCOL_VERSION,
  type PeerGreeting,
  peerGreetingSchema,
  type PeerIdentity,
} from './peer_identity.ts';
export {
  type PeerMessage,
  type PeerMessageOf,
  peerMessageSchema,
} from './peer_message.ts';
export {
  listeningPort,
  PeerNetwork,
  type PeerNetworkOptions,
} from './peer_network.ts';
