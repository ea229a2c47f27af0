import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';

/** Ports of the loopback address that were free a moment ago. */
export async function freePorts(count: number): Promise<number[]> {
  const servers = Array.from({length: count}, () => createServer());
  const found = await Promise.all(
    servers.map(
      server =>
        new Promise<number>(resolve =>
          server.listen(0, '127.0.0.1', () =>
            resolve((server.address() as AddressInfo).port),
          ),
        ),
    ),
  );
  await Promise.all(
    servers.map(server => new Promise(resolve => server.close(resolve))),
  );
  return found;
}
