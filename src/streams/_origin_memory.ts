import type {Clock} from '../time/mod.ts';
import type {ResumableStream} from './stream_origins.ts';

/** Streams that are remembered; the oldest ones are forgotten first. */
const MAXIMUM_STREAMS = 20_000;

/** A stream and the software version at which it has begun. */
export interface RememberedStream {
  readonly key: string;
  /** Undefined if a former process of this host has recorded it. */
  readonly service: string | undefined;
  readonly version: string;
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
    this.streams.delete(key);
    this.streams.set(key, {key, service, version, livesUntil});
    this.removeOld();
  }

  /** Returns the version of a stream that may still be taken up. */
  find(key: string): string | undefined {
    return this.streams.get(key)?.version;
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
