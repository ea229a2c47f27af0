import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {trackConnections} from '../http/mod.ts';
import type {Settings} from '../settings/mod.ts';

/** HTTP servers on which a host listens. */
export interface Listeners {
  readonly callers: Server;
  readonly operators: Server;
  readonly peers: Server;
}

/** Addresses that a host advertises to callers, operators and peers. */
export interface AdvertisedAddresses {
  readonly callers: string;
  readonly operators: string;
  readonly peers: string;
}

// Node.js closes idle connections after 5 s by default, and a caller that reuses
// one at that moment gets a connection reset. Callers keep addresses for longer
// than 5 s.
const KEEP_ALIVE_TIMEOUT_MILLISECONDS = 65_000;

/** Binds all sockets of a host. No request handlers are attached yet. */
export async function openListeners(settings: Settings): Promise<Listeners> {
  const opened: Server[] = [];
  try {
    for (const {listen} of [
      settings.callers,
      settings.operators,
      settings.peers,
    ]) {
      opened.push(await openListener(listen.address, listen.port));
    }
  } catch (error) {
    for (const server of opened) server.close();
    throw error;
  }
  const [callers, operators, peers] = opened;
  return {callers: callers!, operators: operators!, peers: peers!};
}

/** Returns the addresses from the settings, or else those of the sockets. */
export function advertisedAddresses(
  settings: Settings,
  listeners: Listeners,
): AdvertisedAddresses {
  return {
    callers:
      settings.callers.advertise ?? boundAddress('http', listeners.callers),
    operators: boundAddress('http', listeners.operators),
    peers: settings.peers.advertise ?? boundAddress('ws', listeners.peers),
  };
}

async function openListener(address: string, port: number): Promise<Server> {
  const server = createServer();
  trackConnections(server);
  server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MILLISECONDS;
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, address, () => {
      server.off('error', reject);
      resolve();
    });
  });
  return server;
}

function boundAddress(scheme: string, server: Server): string {
  const {address, port, family} = server.address() as AddressInfo;
  const host = family === 'IPv6' ? `[${address}]` : address;
  return `${scheme}://${host}:${port}`;
}
