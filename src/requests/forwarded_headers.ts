import type {IncomingHttpHeaders} from 'node:http';
import {hopByHopHeaders} from '../exchange/mod.ts';

/** Request headers that carry credentials, or that the HTTP client sets itself. */
const NOT_FORWARDED = new Set([
  'authorization',
  'x-api-key',
  'api-key',
  'cookie',
  'host',
  'content-length',
  'expect',
  'x-request-id',
]);

/** Filters the request headers that are forwarded to an endpoint. */
export function forwardedHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string> {
  const forwarded: Record<string, string> = {};
  for (const [name, value] of endToEndHeaders(headers)) {
    if (NOT_FORWARDED.has(name)) continue;
    forwarded[name] = Array.isArray(value) ? value.join(', ') : value;
  }
  return forwarded;
}

/** Filters the response headers that are returned to the caller. */
export function returnedHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string | string[]> {
  return Object.fromEntries(endToEndHeaders(headers));
}

function endToEndHeaders(
  headers: IncomingHttpHeaders,
): [string, string | string[]][] {
  const hopByHop = hopByHopHeaders(headers.connection);
  return Object.entries(headers).flatMap(([rawName, value]) => {
    const name = rawName.toLowerCase();
    return value === undefined || hopByHop.has(name)
      ? []
      : [[name, value] as [string, string | string[]]];
  });
}
