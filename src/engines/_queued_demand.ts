import type {ReplicaRange} from './desired_replicas.ts';
import type {EngineSnapshot} from './engine_snapshot.ts';
import type {PlacementInput} from './plan_placement.ts';

/**
 * Time for which requests must have waited for room before a further replica is loaded:
 * half a run of 2 s. Queues that a short burst causes are gone sooner, and loading
 * occupies an engine for longer.
 */
const QUEUED_MILLISECONDS = 1000;

/**
 * Requests that have waited for long for room on the engines that have a model; 0 if
 * no other engine has idle slots, since a further replica would serve none of them.
 */
export function queuedRequests(input: PlacementInput, model: string): number {
  const queued = input.demand.get(model)?.queued;
  if (queued === undefined || queued.waitedMilliseconds < QUEUED_MILLISECONDS)
    return 0;
  const hasIdleEngine = input.engines.some(
    engine => !engine.models.has(model) && hasIdleSlots(input, engine),
  );
  return hasIdleEngine ? queued.requests : 0;
}

/** Whether an engine could serve requests that wait for a model that it has not. */
export function canTakeQueued(
  input: PlacementInput,
  engine: EngineSnapshot,
  model: string,
): boolean {
  return queuedRequests(input, model) === 0 || hasIdleSlots(input, engine);
}

function hasIdleSlots({pool}: PlacementInput, {inFlight}: EngineSnapshot) {
  let requests = 0;
  for (const count of inFlight.values()) requests += count;
  return requests < pool.slots;
}

/**
 * Range of a model whose replicas are full, although its own requests may need no more
 * of them: their engines can be full of other models' requests.
 */
export function withOneMore(
  range: ReplicaRange,
  replicas: number,
): ReplicaRange {
  const needed = replicas + 1;
  return {
    minimum: Math.max(range.minimum, needed),
    maximum: Math.max(range.maximum, needed),
    required: Math.max(range.required, needed),
  };
}
