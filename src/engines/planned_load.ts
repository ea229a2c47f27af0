import type {LoadTier} from './load_tier.ts';

/** A model to load on an engine, and the models to evict first. */
export interface PlannedLoad {
  readonly engineId: string;
  readonly model: string;
  readonly tier: LoadTier;
  readonly evictions: readonly string[];
  readonly reason: 'waiting' | 'replica' | 'preload';
  readonly expectedMilliseconds: number;
}
