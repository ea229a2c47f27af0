import {
  type EndpointError,
  EndpointFailure,
  type EngineClient,
  type EngineEvent,
  type EngineRunRequest,
  type ServiceClient,
} from '../endpoints/mod.ts';
import {failure, success} from '../errors/mod.ts';
import {type Clock, sleep} from '../time/mod.ts';

/** What goes wrong on one connection. */
export type ConnectionFault =
  | {readonly kind: 'none'}
  /** No connection is made. */
  | {readonly kind: 'unreachable'}
  /** The request is lost with its connection. */
  | {readonly kind: 'lost_before'}
  /** The request is lost on a connection that stays open. */
  | {readonly kind: 'silent_before'}
  /** The request runs, and the connection breaks before any answer. */
  | {readonly kind: 'lost_after'}
  /** Like `lost_after`, and the request arrives some time after the break. */
  | {readonly kind: 'arrives_late'}
  /** The process ends while it has the request. */
  | {readonly kind: 'crash'}
  /** The answer breaks, goes silent, skips or repeats a part. */
  | {
      readonly kind: 'cut' | 'silent' | 'gap' | 'repeat';
      readonly at: number;
    };

/** Time source and faults that the endpoints of a simulation share. */
export interface SimulatedNetwork {
  readonly clock: Clock;
  /** The fault of the next connection. */
  nextFault(): ConnectionFault;
}

const TOKENS = 6;
const TOKEN_MILLISECONDS = 5;
const LATE_MILLISECONDS = 700;

/** An engine in memory that keeps account of its runs. */
export class SimulatedEngine {
  readonly loadedNames = ['model-1'];
  /** Inputs of all runs, in order. */
  readonly executed: string[] = [];
  private incarnation = 1;
  private readonly runs = new Map<string, readonly string[]>();

  constructor(
    private readonly name: string,
    private readonly network: SimulatedNetwork,
  ) {}

  readonly client = {
    run: (request, signal, options) =>
      this.run(request, signal, options?.progressMilliseconds ?? 1000),
    cancel: async () => success(undefined),
    close: () => {},
    state: async () =>
      success({incarnation: String(this.incarnation)} as never),
  } as Partial<EngineClient> as EngineClient;

  /** The tokens that a run produces; those of two runs differ. */
  static tokensOf(runId: string): string[] {
    return Array.from({length: TOKENS}, (_unused, index) => {
      return `${runId}/${index}`;
    });
  }

  private async *run(
    request: EngineRunRequest,
    signal: AbortSignal,
    progressMilliseconds: number,
  ): AsyncGenerator<EngineEvent, void, undefined> {
    const fault = this.network.nextFault();
    const early = await this.failEarly(fault, request, progressMilliseconds);
    if (early !== undefined) {
      yield failed(early);
      return;
    }
    const {incarnation} = this;
    if (!request.resume) this.execute(request);
    if (fault.kind === 'crash') this.crash();
    if (fault.kind === 'crash' || fault.kind === 'lost_after') {
      yield failed(this.error('broken'));
      return;
    }
    const tokens = this.runs.get(request.runId);
    if (tokens === undefined) {
      const code = 'unknown_run';
      yield failed({...this.error('broken'), kind: 'rejected', code});
      return;
    }
    yield {kind: 'started', incarnation: String(incarnation)};
    for (let index = request.resumeFrom; index < tokens.length; index++) {
      await sleep(this.network.clock, TOKEN_MILLISECONDS, signal);
      if (signal.aborted) {
        yield failed(this.error('cancelled'));
        return;
      }
      if (this.incarnation !== incarnation) {
        yield failed(this.error('broken'));
        return;
      }
      if ('at' in fault && fault.at === index) {
        if (fault.kind === 'cut') {
          yield failed(this.error('broken'));
          return;
        }
        if (fault.kind === 'silent') {
          await sleep(this.network.clock, progressMilliseconds, signal);
          yield failed(this.error(signal.aborted ? 'cancelled' : 'silent'));
          return;
        }
        if (fault.kind === 'gap') continue;
        yield {kind: 'token', index, text: tokens[index]!};
      }
      yield {kind: 'token', index, text: tokens[index]!};
    }
    yield {
      kind: 'end',
      promptTokens: 1,
      completionTokens: tokens.length,
      finishReason: 'stop',
    };
  }

  private async failEarly(
    fault: ConnectionFault,
    request: EngineRunRequest,
    progressMilliseconds: number,
  ): Promise<EndpointError | undefined> {
    switch (fault.kind) {
      case 'unreachable':
        return {...this.error('broken'), kind: 'unreachable', refused: true};
      case 'lost_before':
        return this.error('broken');
      case 'arrives_late':
        if (!request.resume) {
          this.network.clock.startTimer(LATE_MILLISECONDS, () => {
            this.execute(request);
          });
        }
        return this.error('broken');
      case 'silent_before':
        await sleep(this.network.clock, progressMilliseconds);
        return this.error('silent');
      default:
        return undefined;
    }
  }

  private execute(request: EngineRunRequest): void {
    if (this.runs.has(request.runId)) return;
    this.executed.push(request.input as string);
    this.runs.set(request.runId, SimulatedEngine.tokensOf(request.runId));
  }

  private crash(): void {
    this.incarnation++;
    this.runs.clear();
  }

  private error(kind: 'broken' | 'silent' | 'cancelled'): EndpointError {
    return {kind, step: 'receive', peer: this.name, reason: kind};
  }
}

/** An instance of a service in memory that keeps account of its runs. */
export class SimulatedService {
  /** Request ids of all runs, in order. */
  readonly executed: string[] = [];

  constructor(
    private readonly name: string,
    private readonly network: SimulatedNetwork,
  ) {}

  readonly client: ServiceClient = {
    call: async (call, signal) => {
      const {clock} = this.network;
      const fault = this.network.nextFault();
      switch (fault.kind) {
        case 'unreachable':
          return failure({
            ...this.error('broken'),
            kind: 'unreachable',
            refused: true,
          });
        case 'lost_before':
          return failure(this.error('broken'));
        case 'silent_before':
          await sleep(clock, call.progressMilliseconds ?? 1000, signal);
          return failure(this.error(signal.aborted ? 'cancelled' : 'silent'));
        case 'arrives_late':
          clock.startTimer(LATE_MILLISECONDS, () => {
            this.executed.push(call.requestId);
          });
          return failure(this.error('broken'));
        default:
      }
      this.executed.push(call.requestId);
      await sleep(clock, TOKEN_MILLISECONDS, signal);
      if (signal.aborted) return failure(this.error('cancelled'));
      if (fault.kind === 'lost_after' || fault.kind === 'crash') {
        return failure(this.error('broken'));
      }
      const run = `${this.name} ${this.executed.length}`;
      const body = this.body(run, fault);
      return success({status: 200, headers: {}, body, close: () => {}});
    },
    probe: async () => success(undefined),
    close: () => {},
  };

  /** The parts of an answer; those of two runs differ. */
  static partsOf(run: string): string[] {
    return [`${run};`, `${run}.`];
  }

  private async *body(
    run: string,
    fault: ConnectionFault,
  ): AsyncGenerator<Uint8Array, void, undefined> {
    const [first, second] = SimulatedService.partsOf(run);
    yield Buffer.from(first!);
    await sleep(this.network.clock, TOKEN_MILLISECONDS);
    if ('at' in fault) throw new EndpointFailure(this.error('broken'));
    yield Buffer.from(second!);
  }

  private error(kind: 'broken' | 'silent' | 'cancelled'): EndpointError {
    return {kind, step: 'receive', peer: this.name, reason: kind};
  }
}

function failed(error: EndpointError): EngineEvent {
  return {kind: 'failed', error};
}
