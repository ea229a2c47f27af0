import type {LoadTier} from './load_tier.ts';

/** A model to load on an engine, and what has to leave before. */
export interface PlannedLoad {
  readonly engineId: string;
  readonly model: string;
  readonly tier: LoadTier;
  readonly evictions: readonly string[];
  readonly reason: 'waiting' | 'replica' | 'preload';
  readonly expectedMilliseconds: number;
}
