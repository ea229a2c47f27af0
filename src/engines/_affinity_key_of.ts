import {
  type EndpointPreference,
  type RoutedRequest,
  targetOf,
} from '../relay/mod.ts';

/**
 * Returns the key of the requests that prefer the same endpoint, which has read the
 * start of their prompt; undefined for requests without a preference.
 */
export function affinityKeyOf(
  {metadata}: RoutedRequest,
  preference: EndpointPreference,
): string | undefined {
  const session =
    preference === 'affinity' ? metadata.promptParts.at(-2)?.id : undefined;
  return session === undefined ? undefined : `${targetOf(metadata)} ${session}`;
}
