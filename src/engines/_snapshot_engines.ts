import {incarnationOf} from '../fleet/mod.ts';
import {splitTarget} from './_split_target.ts';
import type {EngineState} from './engine_state.ts';
import type {EngineSnapshot} from './engine_snapshot.ts';

/**
 * Time after a load within which the hosts' load reports may not yet include
 * the model's first requests.
 */
const RECENTLY_LOADED_MILLISECONDS = 600;

/**
 * Captures the state of the reachable engines for placement.
 *
 * @param inFlight Unfinished requests by engine and then by target.
 * @param limitOf Requests a second that a process takes; undefined without a limit.
 * @param orderDelayOf Milliseconds until an engine may get an order.
 */
export function snapshotEngines(
  engines: Iterable<EngineState>,
  inFlight: ReadonlyMap<string, ReadonlyMap<string, number>>,
  now: number,
  limitOf: (incarnation: string) => number | undefined,
  orderDelayOf: (engine: EngineState) => number = () => 0,
): readonly EngineSnapshot[] {
  return [...engines]
    .filter(engine => !engine.isUnreachable)
    .map(engine => {
      const {pending} = engine;
      const remaining = Math.max(
        0,
        orderDelayOf(engine),
        pending === undefined ? 0 : Math.max(1, pending.expectedAt - now),
      );
      const isBlocked = engine.isLocked || engine.needsReport;
      return {
        id: engine.record.id,
        models: engine.models,
        adapters: engine.adapters,
        loading:
          pending?.operation === 'load' ? pending.model : engine.reservedFor,
        busyMilliseconds: isBlocked ? Math.max(remaining, 50) : remaining,
        inMemory: engine.inMemory,
        onDisk: engine.onDisk,
        requestsPerSecond: limitOf(incarnationOf(engine.record)),
        inFlight: byModel(inFlight.get(engine.record.id)),
        recentlyLoaded: new Set(
          [...engine.loadedAt]
            .filter(([, at]) => now - at < RECENTLY_LOADED_MILLISECONDS)
            .map(([model]) => model),
        ),
        loadAges: new Map(
          [...engine.loadedAt].map(([model, at]) => [model, now - at]),
        ),
      };
    });
}

function byModel(
  targets: ReadonlyMap<string, number> | undefined,
): ReadonlyMap<string, number> {
  const sums = new Map<string, number>();
  for (const [target, requests] of targets ?? []) {
    const {model} = splitTarget(target);
    sums.set(model, (sums.get(model) ?? 0) + requests);
  }
  return sums;
}
