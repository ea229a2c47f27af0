import {connect} from 'node:net';

/**
 * Opens a connection to an address and closes it at once.
 *
 * @param address IP address and port.
 * @returns Whether nothing listens there; false also if there was no answer in time.
 */
export function isConnectionRefused(
  address: string,
  timeoutMilliseconds: number,
): Promise<boolean> {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const socket = connect({
      host: host ?? '',
      port: Number(port),
      timeout: timeoutMilliseconds,
    });
    const finish = (isRefused: boolean) => {
      socket.destroy();
      resolve(isRefused);
    };
    socket.once('connect', () => finish(false));
    socket.once('timeout', () => finish(false));
    socket.once('error', (error: Error & {code?: string}) =>
      finish(error.code === 'ECONNREFUSED'),
    );
  });
}
