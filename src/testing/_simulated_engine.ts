import {LruSet} from '../fleet/mod.ts';

/** Time until the first token on an engine of speed 1, by whether it has the prompt. */
export const PROMPT_MILLISECONDS = {whole: 300, kept: 60} as const;

/** Prompts that an engine keeps. */
const KEPT_PROMPTS = 200;

/** Requests that an engine queues for each of its slots; 36 for 12 slots. */
const QUEUE_PER_SLOT = 3;

/** A request that an engine has accepted. */
export interface SimulatedRequest {
  /** Session that the request continues. */
  readonly session: string | undefined;
  /** Duration after the first token on an engine of speed 1. */
  readonly milliseconds: number;
  readonly arrivedAt: number;
  /** Index of the host that has sent it. */
  readonly host: number;
}

/** Start of a run. */
export interface SimulatedStart {
  readonly request: SimulatedRequest;
  readonly firstTokenAt: number;
  /** Whether the engine had the prompt of the session. */
  readonly isKept: boolean;
}

/** Engine of a balancing simulation, with its actual unfinished requests. */
export class SimulatedEngine {
  private running: {endsAt: number; host: number}[] = [];
  private readonly queue: SimulatedRequest[] = [];
  private readonly prompts = new LruSet(KEPT_PROMPTS);
  /** Sum of the measured occupancies. */
  occupancySum = 0;

  /** @param factor Duration of runs relative to an engine of speed 1. */
  constructor(
    readonly slots: number,
    readonly factor: number,
  ) {}

  /** Unfinished requests as a share of the slots. */
  get occupancy(): number {
    return (this.running.length + this.queue.length) / this.slots;
  }

  /** Accepts a request, unless the queue is full. */
  accept(request: SimulatedRequest): boolean {
    if (this.occupancy >= 1 + QUEUE_PER_SLOT) return false;
    this.queue.push(request);
    return true;
  }

  /** Ends runs and returns the hosts that had sent their requests. */
  end(now: number): readonly number[] {
    const ended = this.running.filter(({endsAt}) => endsAt <= now);
    this.running = this.running.filter(({endsAt}) => endsAt > now);
    return ended.map(({host}) => host);
  }

  /** Starts queued requests in free slots. */
  start(now: number): readonly SimulatedStart[] {
    const free = Math.max(0, this.slots - this.running.length);
    return this.queue.splice(0, free).map(request => {
      const {session, milliseconds, host} = request;
      const isKept = session !== undefined && this.prompts.has(session);
      if (session !== undefined) this.prompts.add(session);
      const prompt = PROMPT_MILLISECONDS[isKept ? 'kept' : 'whole'];
      const firstTokenAt = now + prompt * this.factor;
      const endsAt = firstTokenAt + milliseconds * this.factor;
      this.running.push({endsAt, host});
      return {request, firstTokenAt, isKept};
    });
  }
}
