import type {ServerResponse} from 'node:http';

/** Handle of a socket, which the type declarations of Node.js omit. */
interface SocketHandle {
  /** Bytes of the current write that the operating system has not taken. */
  readonly writeQueueSize: number;
}

/**
 * Bytes of a response that the operating system has not taken. It decreases within a
 * large write, unlike `writableLength`, but by steps: with the buffers of loopback
 * (4 MB), one third of them must be free before the operating system takes more.
 */
export function unsentBytes(response: ServerResponse): number {
  const {socket} = response as unknown as {
    socket: {_handle?: SocketHandle | null} | null;
  };
  const handle = socket?._handle;
  if (handle === undefined || handle === null) return response.writableLength;
  // Writes beyond the current one are only in the stream.
  return handle.writeQueueSize;
}
