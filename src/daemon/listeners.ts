import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {trackConnections} from '../http/mod.ts';
import {listenWhenFree} from '../listeners/mod.ts';
import type {EventLogger} from '../observability/mod.ts';
import type {Settings} from '../settings/mod.ts';
import type {Clock} from '../time/mod.ts';

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

/**
 * Binds all sockets of a host, once their addresses are free. No request handlers are
 * attached yet.
 */
export async function openListeners(
  settings: Settings,
  clock: Clock,
  logger: EventLogger,
): Promise<Listeners> {
  const opened: Server[] = [];
  try {
    for (const name of ['callers', 'operators', 'peers'] as const) {
      const {listen} = settings[name];
      const server = createServer();
      opened.push(server);
      trackConnections(server);
      server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MILLISECONDS;
      await listenWhenFree(server, {...listen, name, clock, logger});
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

function boundAddress(scheme: string, server: Server): string {
  const {address, port, family} = server.address() as AddressInfo;
  const host = family === 'IPv6' ? `[${address}]` : address;
  return `${scheme}://${host}:${port}`;
}
