/** Headers that hold for one connection only (RFC 9110, section 7.6.1). */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/**
 * Headers that a message may not carry on: those of its connection, and those
 * that its Connection header names.
 *
 * @param connection Value of the Connection header.
 * @returns Names in lower case.
 */
export function hopByHopHeaders(
  connection: string | undefined,
): ReadonlySet<string> {
  const named = (connection ?? '')
    .split(',')
    .map(name => name.trim().toLowerCase());
  return new Set([...HOP_BY_HOP_HEADERS, ...named]);
}
