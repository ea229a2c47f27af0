/**
 * Servers that wait for their addresses.
 *
 * ```ts
 * await listenWhenFree(server, {name: 'callers', address, port, clock, logger});
 * ```
 *
 * @module
 */
export {listenWhenFree, type ListenOptions} from './listen_when_free.ts';
