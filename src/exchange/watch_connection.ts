import type {ClientRequest} from 'node:http';
import type {Socket} from 'node:net';

/**
 * Follows the connection of a request whose response may end with its connection.
 *
 * @returns Whether the connection has failed. Node.js reports a body without a
 * length as complete even if its connection was reset.
 */
export function watchConnection(request: ClientRequest): () => boolean {
  let hasFailed = false;
  const watch = (socket: Socket) => {
    const recordFailure = () => {
      hasFailed = true;
    };
    // If a reset arrives along with the last bytes, libuv reports the end of the
    // connection in place of the error.
    const checkPeer = () => {
      if (!hasPeer(socket)) hasFailed = true;
    };
    socket.once('error', recordFailure);
    // Before the socket's own listener, which shuts the connection down.
    socket.prependOnceListener('end', checkPeer);
    request.once('close', () => {
      socket.removeListener('error', recordFailure);
      socket.removeListener('end', checkPeer);
    });
  };
  if (request.socket === null) request.once('socket', watch);
  else watch(request.socket);
  return () => hasFailed;
}

/** Handle of a socket, which the type declarations of Node.js omit. */
interface SocketHandle {
  /** Calls getpeername(2). @returns 0, or a negative error number. */
  getpeername(address: object): number;
}

/**
 * Whether the operating system still knows the peer: it does after the end of the
 * connection, but not after a reset. `remoteAddress` may be a cached value.
 */
function hasPeer(socket: Socket): boolean {
  const {_handle: handle} = socket as unknown as {_handle: SocketHandle | null};
  if (handle === null) return socket.remoteAddress !== undefined;
  return handle.getpeername({}) === 0;
}
