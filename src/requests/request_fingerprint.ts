import {createHash} from 'node:crypto';

/**
 * Computes a digest that is equal for a request and its repeats.
 *
 * @param team Team of the caller.
 * @param route Model, or service with method and path.
 * @param body Body of the request.
 */
export function requestFingerprint(
  team: string,
  route: string,
  body: Uint8Array | string,
): string {
  return createHash('sha256')
    .update(JSON.stringify([team, route]))
    .update(body)
    .digest('hex');
}
