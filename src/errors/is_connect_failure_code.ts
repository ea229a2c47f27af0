/** Error codes that prove that no connection was made. */
const NOT_CONNECTED_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
]);

/**
 * Whether an error code proves that no connection was made, so that no byte of
 * a request can have arrived.
 *
 * @param code Code of a Node.js system error, such as `ECONNREFUSED`.
 */
export function isConnectFailureCode(code: string): boolean {
  return NOT_CONNECTED_CODES.has(code);
}
