import {describe, expect, it} from 'vitest';
import type {
  EndpointError,
  EngineClient,
  EngineEvent,
  EngineState,
} from '../endpoints/mod.ts';
import {success} from '../errors/mod.ts';
import {SILENT_LOGGER} from '../observability/mod.ts';
import {SystemClock} from '../time/mod.ts';
import {ModelAttempt} from './model_attempt.ts';
import type {ModelEvent} from './model_request.ts';

/** Replays the next script of events on each connection. */
class ScriptedEngine {
  readonly resumedFrom: (number | undefined)[] = [];
  readonly freshConnections: boolean[] = [];
  cancelled = 0;
  private next = 0;

  constructor(private readonly scripts: readonly EngineEvent[][]) {}

  get client(): EngineClient {
    const run: EngineClient['run'] = (request, _signal, options) => {
      this.resumedFrom.push(request.resume ? request.resumeFrom : undefined);
      this.freshConnections.push(options?.freshConnection ?? false);
      return replay(this.scripts[this.next++] ?? [failed('broken')]);
    };
    const cancel = async () => {
      this.cancelled++;
      return success(undefined);
    };
    const state = async () => {
      return success({incarnation: 'a'} as EngineState);
    };
    return {run, cancel, state} as Partial<EngineClient> as EngineClient;
  }
}

async function* replay(events: readonly EngineEvent[]) {
  yield* events;
}

function token(index: number): EngineEvent {
  return {kind: 'token', index, text: `${index} `};
}

function end(completionTokens: number): EngineEvent {
  const finishReason = 'stop';
  return {kind: 'end', promptTokens: 1, completionTokens, finishReason};
}

function failed(kind: 'broken' | 'silent' | 'cancelled'): EngineEvent {
  const error = {kind, step: 'receive', peer: 'engine-1', reason: kind};
  return {kind: 'failed', error: error as EndpointError};
}

function rejected(code: string): EngineEvent {
  const step = 'send';
  const common = {step, peer: 'engine-1', reason: code} as const;
  return {kind: 'failed', error: {...common, kind: 'rejected', code}};
}

function refused(): EngineEvent {
  const common = {step: 'send', peer: 'engine-1', reason: ''} as const;
  const error: EndpointError = {...common, kind: 'unreachable', refused: true};
  return {kind: 'failed', error};
}

const STARTED: EngineEvent = {kind: 'started', incarnation: 'a'};
const RESTARTED: EngineEvent = {kind: 'started', incarnation: 'b'};
const QUEUED: EngineEvent = {kind: 'queued', incarnation: 'a'};

async function relay(engine: ScriptedEngine) {
  const attempt = new ModelAttempt({
    client: engine.client,
    run: {
      runId: 'run-1',
      target: {model: 'model-1', adapter: null},
      operation: 'chat',
      input: '',
      maximumTokens: 10,
      parameters: {},
      priority: 'interactive',
      alone: false,
    },
    signal: new AbortController().signal,
    clock: new SystemClock(),
    logger: SILENT_LOGGER,
    mayReuseConnection: true,
    progressMilliseconds: 100,
    knownIncarnation: 'a',
  });
  const events: ModelEvent[] = [];
  const relayed = attempt.relay();
  for (;;) {
    const next = await relayed.next();
    if (next.done) return {events, outcome: next.value};
    events.push(next.value);
  }
}

describe('ModelAttempt', () => {
  it.each<{
    name: string;
    scripts: EngineEvent[][];
    tokens: number;
    resumedFrom: (number | undefined)[];
  }>([
    {
      name: 'a whole answer',
      scripts: [[STARTED, token(0), token(1), end(2)]],
      tokens: 2,
      resumedFrom: [undefined],
    },
    {
      name: 'an answer with late copies of tokens',
      scripts: [[STARTED, token(0), token(0), token(1), token(0), end(2)]],
      tokens: 2,
      resumedFrom: [undefined],
    },
    {
      name: 'a gap between tokens',
      scripts: [
        [STARTED, token(0), token(2), end(3)],
        [STARTED, token(1), token(2), end(3)],
      ],
      tokens: 3,
      resumedFrom: [undefined, 1],
    },
    {
      name: 'an end that comes too early',
      scripts: [
        [STARTED, token(0), end(2)],
        [STARTED, token(1), end(2)],
      ],
      tokens: 2,
      resumedFrom: [undefined, 1],
    },
    {
      name: 'a stream that starts again from its beginning',
      scripts: [
        [STARTED, token(0), failed('broken')],
        [STARTED, token(0), token(1), end(2)],
      ],
      tokens: 2,
      resumedFrom: [undefined, 1],
    },
    {
      name: 'a slow engine that shows on each connection that it is alive',
      scripts: [
        [STARTED, failed('silent')],
        [STARTED, failed('silent')],
        [STARTED, failed('silent')],
        [STARTED, token(0), end(1)],
      ],
      tokens: 1,
      resumedFrom: [undefined, 0, 0, 0],
    },
  ])('delivers each token once: $name', async row => {
    const engine = new ScriptedEngine(row.scripts);
    const {events, outcome} = await relay(engine);
    expect(events).toEqual(
      Array.from({length: row.tokens}, (_unused, index) => token(index)),
    );
    expect(outcome.kind).toBe('ended');
    expect(engine.resumedFrom).toEqual(row.resumedFrom);
    expect(engine.cancelled).toBe(0);
    // A run is only resumed over a connection that was not used before.
    const expected = row.resumedFrom.map(from => from !== undefined);
    expect(engine.freshConnections).toEqual(expected);
  });

  it('offers a run that must be alone again until the engine is free', async () => {
    const engine = new ScriptedEngine([
      [rejected('busy')],
      [rejected('busy')],
      [STARTED, token(0), end(1)],
    ]);
    const {outcome} = await relay(engine);
    expect(outcome.kind).toBe('ended');
    expect(engine.resumedFrom).toEqual([undefined, undefined, undefined]);
  });

  it.each<{
    name: string;
    scripts: EngineEvent[][];
    run: string;
    died: boolean;
    cancelled: number;
  }>([
    {
      name: 'no connection',
      scripts: [[refused()]],
      run: 'not_run',
      died: false,
      cancelled: 0,
    },
    {
      name: 'a model that is not loaded',
      scripts: [[rejected('not_loaded')]],
      run: 'not_run',
      died: false,
      cancelled: 0,
    },
    {
      name: 'a run id that the engine already has',
      scripts: [[rejected('duplicate_run')]],
      run: 'unknown',
      died: false,
      cancelled: 1,
    },
    {
      name: 'refused after a break',
      scripts: [[STARTED, failed('broken')], [refused()]],
      run: 'unknown',
      died: true,
      cancelled: 0,
    },
    {
      name: 'restarted after a break',
      scripts: [[STARTED, failed('broken')], [rejected('unknown_run')]],
      run: 'unknown',
      died: true,
      cancelled: 0,
    },
    {
      // The engine may have started the queued run just before it ended.
      name: 'refused after the run was queued',
      scripts: [[QUEUED, failed('broken')], [refused()]],
      run: 'unknown',
      died: true,
      cancelled: 0,
    },
    {
      name: 'silent on two connections',
      scripts: [[failed('silent')], [failed('silent')]],
      run: 'unknown',
      died: false,
      cancelled: 1,
    },
    {
      name: 'another incarnation with the same run id',
      scripts: [
        [STARTED, failed('broken')],
        [RESTARTED, failed('broken')],
        [rejected('unknown_run')],
      ],
      run: 'unknown',
      died: true,
      cancelled: 0,
    },
  ])('fails: $name', async row => {
    const engine = new ScriptedEngine(row.scripts);
    const {outcome} = await relay(engine);
    const {run, died} = row;
    expect(outcome).toMatchObject({kind: 'failed', run, died});
    expect(engine.cancelled).toBe(row.cancelled);
  });
});
