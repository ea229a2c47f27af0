/**
 * Composition of one entry host, and the daemon's command-line program.
 *
 * @module
 */
export {Host, type HostOptions} from './host.ts';
