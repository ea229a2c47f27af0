import {connect} from 'node:net';
import {failure, type Result, success} from '../errors/mod.ts';
import type {EndpointError} from './endpoint_error.ts';

/** Checks that an address accepts connections; the connection is closed at once. */
export function probeAddress(
  peer: string,
  address: string,
  bound: {readonly milliseconds: number},
): Promise<Result<undefined, EndpointError>> {
  const {hostname, port, protocol} = new URL(address);
  const defaultPort = protocol === 'https:' ? 443 : 80;
  const socket = connect({
    host: hostname,
    port: port === '' ? defaultPort : Number(port),
    timeout: bound.milliseconds,
  });
  return new Promise(resolve => {
    const fail = (reason: string, refused: boolean) => {
      socket.destroy();
      resolve(
        failure({kind: 'unreachable', step: 'probe', peer, reason, refused}),
      );
    };
    socket.once('connect', () => {
      socket.destroy();
      resolve(success(undefined));
    });
    socket.once('timeout', () => {
      fail(`No connection within ${bound.milliseconds} ms`, false);
    });
    socket.once('error', error => {
      const code = 'code' in error ? error.code : undefined;
      fail(error.message, code === 'ECONNREFUSED');
    });
  });
}
