import type {RequestRelayOptions} from './relay_options.ts';

/**
 * Returns a Connection header that closes the connection of a draining host. It is
 * decided when the head is written, since the drain may begin after the request
 * has arrived.
 */
export function connectionHeader({
  isDraining,
}: Pick<RequestRelayOptions, 'isDraining'>): string[] {
  return isDraining() ? ['Connection', 'close'] : [];
}
