import type {Clock} from '../time/mod.ts';
import type {ResumableStream} from './resumable_stream.ts';

/** Streams that are remembered; the oldest ones are forgotten first. */
const MAXIMUM_STREAMS = 20_000;

/** A stream and the software version at which it has begun. */
export interface RememberedStream {
  readonly key: string;
  /** Undefined if it is only recorded here, for a former process or for a peer. */
  readonly service: string | undefined;
  readonly version: string;
  /** Whether it was tried at other versions before, which peers may have recorded. */
  readonly isMoved: boolean;
  /** Monotonic time after which its caller does not come back. */
  readonly livesUntil: number;
}

/** Streams that have begun at this host and may still be taken up. */
export class OriginMemory {
  private readonly streams = new Map<string, RememberedStream>();

  constructor(private readonly clock: Clock) {}

  /** Adds a stream, or extends the time for which it is remembered. */
  add(
    {
      key,
      service,
      livesUntil,
    }: Omit<ResumableStream, 'service'> & {
      readonly service: string | undefined;
    },
    version: string,
  ): void {
    const known = this.streams.get(key);
    const isMoved =
      known !== undefined && (known.isMoved || known.version !== version);
    this.streams.delete(key);
    this.streams.set(key, {key, service, version, isMoved, livesUntil});
    this.removeOld();
  }

  /** Returns a stream that may still be taken up. */
  find(key: string): RememberedStream | undefined {
    return this.streams.get(key);
  }

  /** Streams that may still be taken up, the newest last. */
  living(): readonly RememberedStream[] {
    const now = this.clock.monotonicMilliseconds();
    return [...this.streams.values()].filter(
      ({livesUntil}) => livesUntil >= now,
    );
  }

  private removeOld(): void {
    const now = this.clock.monotonicMilliseconds();
    for (const [key, {livesUntil}] of this.streams) {
      if (this.streams.size <= MAXIMUM_STREAMS && livesUntil >= now) return;
      this.streams.delete(key);
    }
  }
}
