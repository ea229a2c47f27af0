import type {EntryFeatures} from '../entry/mod.ts';

/**
 * Features that the names in the list `contracts` of the platform's settings call for:
 * `pool` stands for engine pools that many hosts share, `pressure` for callers that
 * compete for room.
 */
const FEATURES_BY_NAME: Readonly<Record<string, EntryFeatures>> = {
  pool: {
    balancing: 'even',
    handover: 'engine',
    replicaLoads: 'parallel',
    unservedRequests: 'refunded',
  },
  pressure: {admission: 'ordered'},
};

/**
 * Features that a deployment calls for.
 *
 * @param names Names in the list; unknown ones call for none.
 */
export function deploymentFeatures(names: readonly string[]): EntryFeatures {
  return Object.assign(
    {},
    ...names.map(name =>
      Object.hasOwn(FEATURES_BY_NAME, name) ? FEATURES_BY_NAME[name] : {},
    ),
  ) as EntryFeatures;
}
