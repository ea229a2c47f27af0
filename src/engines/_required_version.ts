import {
  REQUEST_ERROR_CODES,
  type RequestError,
  type Result,
} from '../errors/mod.ts';
import type {Endpoint} from '../fleet/mod.ts';
import type {RoutedRequest} from '../relay/mod.ts';
import {refusal} from './_refusal.ts';

/** Whether an endpoint has the software version that a request needs. */
export function mayRun(
  {softwareVersion}: Pick<RoutedRequest, 'softwareVersion'>,
  {record}: Pick<Endpoint, 'record'>,
): boolean {
  return (
    softwareVersion === undefined || record.softwareVersion === softwareVersion
  );
}

/** Endpoints that a request might be sent to. */
export interface VersionCandidates {
  /** Endpoints of its service. */
  readonly usable: readonly Endpoint[];
  /** Those of them that have its model; all of them for plain services. */
  readonly holders: readonly Endpoint[];
  /** Incarnations that have failed the request. */
  readonly excluded: ReadonlySet<string>;
  /**
   * Whether this host has seen an endpoint of the version. If not, it learns later of the
   * endpoint that began the stream than the host that sent the stream there.
   */
  readonly hasSeenVersion: boolean;
}

/**
 * Refuses a request that must go on at a software version of which no endpoint is left,
 * or at which its model will not be loaded, since endpoints of other versions have it.
 */
export function refuseWithoutVersion(
  request: RoutedRequest,
  {usable, holders, excluded, hasSeenVersion}: VersionCandidates,
): Result<Endpoint, RequestError> | undefined {
  const {softwareVersion} = request;
  if (softwareVersion === undefined || !hasSeenVersion) return undefined;
  const isLeft = (endpoint: Endpoint) =>
    mayRun(request, endpoint) && !excluded.has(endpoint.incarnation);
  const mayCome = holders.length === 0 || holders.some(isLeft);
  if (usable.some(isLeft) && mayCome) return undefined;
  return refusal(
    REQUEST_ERROR_CODES.noReplica,
    `The stream cannot go on: no endpoint with software version "${softwareVersion}" is left for it`,
  );
}
