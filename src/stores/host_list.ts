import type {Result} from '../errors/mod.ts';
import type {PlatformError} from './platform_error.ts';

/** States of a host in the platform's list. */
export const HOST_STATES = {
  live: 'live',
  leaving: 'leaving',
  gone: 'gone',
} as const;

/** One of {@link HOST_STATES}. */
export type HostState = (typeof HOST_STATES)[keyof typeof HOST_STATES];

/** An entry of the platform's host list. */
export interface ListedHost {
  /** Host id of an entry host, or the name of an endpoint. */
  readonly name: string;
  readonly state: HostState;
}

/** The platform's list of hosts and their states. It may be out of date. */
export interface HostList {
  /** Reads the complete list. */
  list(): Promise<Result<readonly ListedHost[], PlatformError>>;
}
