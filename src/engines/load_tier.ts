import type {ModelConfiguration} from '../deployment/mod.ts';
import type {EngineSnapshot} from './engine_snapshot.ts';

/** Where the weights of a load come from. */
export type LoadTier = 'memory' | 'disk' | 'remote';

/** The nearest copy of a model's weights for an engine. */
export function nearestTier(
  engine: Pick<EngineSnapshot, 'models' | 'inMemory' | 'onDisk'>,
  model: string,
): LoadTier {
  if (engine.models.has(model) || engine.inMemory.has(model)) return 'memory';
  return engine.onDisk.has(model) ? 'disk' : 'remote';
}

/** Expected time of a load, in milliseconds. */
export function expectedLoadMilliseconds(
  model: ModelConfiguration,
  tier: LoadTier,
): number {
  switch (tier) {
    case 'memory':
      return model.memoryLoadMilliseconds;
    case 'disk':
      return model.diskLoadMilliseconds;
    case 'remote':
      return model.remoteLoadMilliseconds;
  }
}
