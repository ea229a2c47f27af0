import type {ModelConfiguration} from '../deployment/mod.ts';
import type {EngineSnapshot} from './engine_snapshot.ts';

/** Storage tier from which weights are loaded. */
export type LoadTier = 'memory' | 'disk' | 'remote';

/** Fastest tier from which an engine can load a model. */
export function nearestTier(
  engine: Pick<EngineSnapshot, 'models' | 'inMemory' | 'onDisk'>,
  model: string,
): LoadTier {
  if (engine.models.has(model) || engine.inMemory.has(model)) return 'memory';
  return engine.onDisk.has(model) ? 'disk' : 'remote';
}

/** Expected duration of a load. */
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
