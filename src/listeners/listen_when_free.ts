import type {Server} from 'node:net';
import type {EventLogger} from '../observability/mod.ts';
import {type Clock, sleep} from '../time/mod.ts';

/** Options of {@link listenWhenFree}. */
export interface ListenOptions {
  /** What the server is for, for logs. */
  name: string;
  /** IP address. */
  address: string;
  port: number;
  /** Connections that wait to be accepted. @default 511 */
  backlog?: number;
  clock: Clock;
  logger: EventLogger;
  /** Ends the waiting. */
  stop?: AbortSignal | undefined;
}

const DEFAULT_BACKLOG = 511;

/** Interval between attempts; a process that ends soon frees its port at once. */
const RETRY_MILLISECONDS = 100;

/** Interval between log lines while the address is in use. */
const LOG_MILLISECONDS = 10_000;

/** Errors that end without a change of the settings. */
const TEMPORARY_ERRORS: ReadonlySet<string> = new Set([
  'EADDRINUSE',
  'EADDRNOTAVAIL',
]);

/**
 * Listens on an address, and waits for as long as it is in use, for example by the
 * process that this one replaces. Later errors of the server are logged.
 *
 * @returns Whether the server listens; false if it was stopped before.
 * @throws {Error} If the address can never be used.
 */
export async function listenWhenFree(
  server: Server,
  options: ListenOptions,
): Promise<boolean> {
  const {clock, logger, name, address, port, stop} = options;
  let loggedAt: number | undefined;
  while (stop?.aborted !== true) {
    const error = await tryListen(server, options);
    if (error === undefined) {
      server.on('error', failed =>
        logger.event('listenerFailed', {
          listener: name,
          reason: failed.message,
        }),
      );
      return true;
    }
    if (!TEMPORARY_ERRORS.has(error.code ?? '')) throw error;
    const now = clock.monotonicMilliseconds();
    if (loggedAt === undefined || now - loggedAt >= LOG_MILLISECONDS) {
      loggedAt = now;
      logger.event('addressInUse', {
        listener: name,
        address,
        port,
        reason: error.code,
      });
    }
    await sleep(clock, RETRY_MILLISECONDS);
  }
  return false;
}

function tryListen(
  server: Server,
  {address, port, backlog}: ListenOptions,
): Promise<NodeJS.ErrnoException | undefined> {
  return new Promise(resolve => {
    const onListening = () => {
      server.removeListener('error', onError);
      resolve(undefined);
    };
    const onError = (error: NodeJS.ErrnoException) => {
      server.removeListener('listening', onListening);
      resolve(error);
    };
    server.once('error', onError);
    server.once('listening', onListening);
    server.listen({host: address, port, backlog: backlog ?? DEFAULT_BACKLOG});
  });
}
