/** System error codes that show that no connection was established. */
const CONNECT_FAILURE_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
]);

/**
 * Returns whether an error code shows that no connection was established, so
 * that no part of the request can have reached the server.
 *
 * @param code Code of a Node.js system error, such as `ECONNREFUSED`.
 */
export function isConnectFailureCode(code: string): boolean {
  return CONNECT_FAILURE_CODES.has(code);
}
