import type {ServerResponse} from 'node:http';
import {isUnframed} from './is_unframed.ts';

/**
 * Ends a response so that it does not look complete. The body of one without a length
 * ends where its connection is closed, so the connection is reset.
 */
export function breakOff(response: ServerResponse): void {
  if (isUnframed(response)) response.socket?.resetAndDestroy();
  response.destroy();
}
