/** Headers that apply to a single connection (RFC 9110, section 7.6.1). */
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
 * Returns the headers of a message that must not be forwarded: the hop-by-hop
 * headers and those that its Connection header lists.
 *
 * @param connection Value of the Connection header.
 * @returns Header names in lower case.
 */
export function hopByHopHeaders(
  connection: string | undefined,
): ReadonlySet<string> {
  const named = (connection ?? '')
    .split(',')
    .map(name => name.trim().toLowerCase());
  return new Set([...HOP_BY_HOP_HEADERS, ...named]);
}
