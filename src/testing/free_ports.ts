import {createServer} from 'node:http';

/**
 * Ports below those that the system gives to outgoing connections and to servers on
 * port 0, which could take a port between its choice and its use.
 */
const FIRST_PORT = 10_000;

/** Ports of one process; others that run at the same time use other ports. */
const PORTS_PER_PROCESS = 300;

const PROCESSES = 70;

const firstPort = FIRST_PORT + (process.pid % PROCESSES) * PORTS_PER_PROCESS;
let nextOffset = 0;

/** Ports of the loopback address that were free a moment ago; none comes twice soon. */
export async function freePorts(count: number): Promise<number[]> {
  const found: number[] = [];
  for (let tries = 0; tries < PORTS_PER_PROCESS; tries++) {
    if (found.length === count) return found;
    const port = firstPort + nextOffset;
    nextOffset = (nextOffset + 1) % PORTS_PER_PROCESS;
    if (await isFree(port)) found.push(port);
  }
  throw new Error(
    `Cannot find ${count} free ports from ${firstPort}, found ${found.length}`,
  );
}

function isFree(port: number): Promise<boolean> {
  const server = createServer();
  return new Promise(resolve => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => {
      server.close(() => resolve(true));
    });
  });
}
