import {nearestTier} from './load_tier.ts';
import type {PlacementInput} from './plan_placement.ts';

/**
 * Share of the engines with a copy of an awaited model that may load from the
 * weight store meanwhile. Such a load occupies an engine for as long as several
 * loads from its disk.
 */
const REMOTE_SHARE = 1 / 3;

/**
 * Number of engines that may load from the weight store while requests wait.
 * Engines without a copy of any awaited model serve nobody by loading from
 * their disks, so they are not counted against the share.
 */
export function maximumRemoteLoads({engines, demand}: PlacementInput): number {
  const awaited = [...demand].flatMap(([model, {waiting}]) =>
    waiting > 0 ? [model] : [],
  );
  const useful = engines.filter(engine =>
    awaited.some(model => nearestTier(engine, model) !== 'remote'),
  ).length;
  const others = engines.length - useful;
  return Math.max(1, others + Math.floor(useful * REMOTE_SHARE));
}
