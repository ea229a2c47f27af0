import type {ServerResponse} from 'node:http';
import {ByteCollector, type ByteReservation} from '../bytes/mod.ts';
import {breakOff} from '../exchange/mod.ts';
import type {CancelTimer} from '../time/mod.ts';
import {unsentBytes} from './_unsent_bytes.ts';
import type {RequestRelayOptions} from './relay_options.ts';

/**
 * Maximum number of bytes that are held for one caller; as many as a response that
 * is buffered may have.
 */
const MAXIMUM_HELD_BYTES = 8 * 1024 * 1024;

/**
 * Time without any progress after which a response is broken off. Engines cut off a
 * response that remains unread for some seconds; a caller that pauses for a second
 * must keep its response.
 */
const STALL_MILLISECONDS = 2000;

/** Interval between checks for progress; adds at most an eighth to the limit. */
const CHECK_MILLISECONDS = 250;

/** Name under which the bytes are counted, so that they use half of the budget at most. */
const HOLDER = 'callers';

/** Why a caller that does not read may not keep its response. */
export type SlowReaderReason =
  /** The buffer or the budget is full, so the endpoint's response remains unread. */
  | 'endpoint_blocked'
  /** Half of the byte budget is in use. */
  | 'memory'
  /** The endpoint has finished, and the deadline has passed. */
  | 'deadline';

/** The response to write to, and what is needed to end it. */
export interface CallerContext {
  readonly response: ServerResponse;
  /** Monotonic time of its deadline. */
  readonly request: {readonly deadlineAt: number};
  /** Logs that the response is broken off. */
  readonly log: {
    readerTooSlow(reason: SlowReaderReason, heldBytes: number): void;
  };
}

/**
 * Writes a response to a caller, and holds what the caller does not read yet, within
 * the byte budget. A caller that makes no progress for {@link STALL_MILLISECONDS}
 * while it delays an endpoint, or while memory is scarce, gets its response broken
 * off. Handles slow callers, one or many at a time.
 */
export class CallerWriter {
  private readonly collector = new ByteCollector();
  private reservation: ByteReservation | undefined;
  /** Bytes that count in the reservation. */
  private heldBytes = 0;
  /** Bytes of {@link heldBytes} that the response has got already. */
  private writtenBytes = 0;
  /** Whether the response asks for no more bytes. */
  private isBlocked = false;
  /** Whether the reading of the endpoint's response has stopped. */
  private isPaused = false;
  private isEnded = false;
  private onRoom: (() => void) | undefined;
  private cancelCheck: CancelTimer | undefined;
  private progressAt = 0;
  private progress = '';

  constructor(
    private readonly options: Pick<
      RequestRelayOptions,
      'byteBudget' | 'clock' | 'metrics'
    >,
    private readonly context: CallerContext,
  ) {}

  /**
   * Sets the source of the next bytes.
   *
   * @param onRoom Called when the source may go on after {@link write} stopped it.
   */
  attach(onRoom: (() => void) | undefined): void {
    this.onRoom = onRoom;
    this.isPaused = false;
  }

  /** Writes or holds bytes. @returns False if the source must stop until there is room. */
  write(bytes: Buffer): boolean {
    const {response} = this.context;
    // The end of its connection ends the request; nothing can be written until then.
    if (response.destroyed) return true;
    if (this.isBlocked) {
      this.collector.append(bytes);
    } else {
      if (response.write(bytes)) return true;
      this.isBlocked = true;
      this.writtenBytes = bytes.length;
    }
    const hasRoom = this.hold(bytes.length);
    if (!hasRoom && !this.isPaused) {
      this.isPaused = true;
      // The endpoint has waited for the caller only from now on.
      this.progressAt = this.options.clock.monotonicMilliseconds();
    }
    return hasRoom;
  }

  /** Ends the response with the bytes that are held, and `body` if it is given. */
  end(body?: Buffer): void {
    const {response} = this.context;
    this.attach(undefined);
    this.isEnded = true;
    if (response.destroyed) return;
    for (let block = this.takeBlock(); block !== undefined;) {
      response.write(block);
      block = this.takeBlock();
    }
    if (body === undefined) response.end();
    else response.end(body);
    if (unsentBytes(response) === 0) return;
    if (body === undefined) {
      this.watch();
    } else {
      this.writtenBytes += body.length;
      this.hold(body.length);
    }
  }

  private hold(bytes: number): boolean {
    this.heldBytes += bytes;
    const hasRoom = this.openReservation().add(bytes);
    this.watch();
    return hasRoom && this.heldBytes < MAXIMUM_HELD_BYTES;
  }

  private openReservation(): ByteReservation {
    if (this.reservation === undefined) {
      const {response} = this.context;
      this.reservation = this.options.byteBudget.open(HOLDER);
      response.on('drain', () => this.onDrain());
      response.once('close', () => this.onClose());
    }
    return this.reservation;
  }

  private takeBlock(): Buffer | undefined {
    const block = this.collector.takeBlock();
    this.writtenBytes += block?.length ?? 0;
    return block;
  }

  private onDrain(): void {
    const {response} = this.context;
    if (this.isEnded || response.destroyed) return;
    this.isBlocked = false;
    this.giveBack(this.writtenBytes);
    for (;;) {
      const block = this.takeBlock();
      if (block === undefined) break;
      if (!response.write(block)) {
        this.isBlocked = true;
        break;
      }
      this.giveBack(block.length);
    }
    if (!this.isPaused || this.heldBytes >= MAXIMUM_HELD_BYTES) return;
    // While the budget is full, this lets in one read for each that the caller took.
    this.isPaused = false;
    this.onRoom?.();
  }

  private onClose(): void {
    this.cancelCheck?.();
    this.collector.clear();
    this.reservation?.release();
    this.reportHeldBytes();
  }

  private giveBack(bytes: number): void {
    this.reservation?.shrink(bytes);
    this.heldBytes -= bytes;
    this.writtenBytes -= bytes;
  }

  private watch(): void {
    if (this.cancelCheck !== undefined) return;
    this.progress = this.readProgress();
    this.progressAt = this.options.clock.monotonicMilliseconds();
    this.startCheck();
  }

  private startCheck(): void {
    this.cancelCheck = this.options.clock.startTimer(CHECK_MILLISECONDS, () => {
      this.cancelCheck = undefined;
      this.check();
    });
  }

  private check(): void {
    const {response, log} = this.context;
    if (response.destroyed || response.writableFinished) return;
    const now = this.options.clock.monotonicMilliseconds();
    const progress = this.readProgress();
    // Without a socket, it waits for an earlier response on its connection.
    if (response.socket === null || progress !== this.progress) {
      this.progress = progress;
      this.progressAt = now;
    }
    this.reportHeldBytes();
    const reason = this.reasonToBreakOff(now);
    if (reason !== undefined && now - this.progressAt >= STALL_MILLISECONDS) {
      log.readerTooSlow(reason, this.heldBytes);
      // The operating system holds more, which only a reset discards.
      response.socket?.resetAndDestroy();
      breakOff(response);
    } else if (this.isBlocked || this.isEnded) {
      this.startCheck();
    }
  }

  /** Value that changes when the operating system has taken bytes. */
  private readProgress(): string {
    const {response} = this.context;
    const {socket} = response;
    if (socket === null) return '';
    const completed = socket.bytesWritten - socket.writableLength;
    return `${completed} ${unsentBytes(response)}`;
  }

  private reasonToBreakOff(now: number): SlowReaderReason | undefined {
    if (this.isPaused) return 'endpoint_blocked';
    if (this.options.byteBudget.isScarce) return 'memory';
    return now >= this.context.request.deadlineAt ? 'deadline' : undefined;
  }

  private reportHeldBytes(): void {
    const {byteBudget, metrics} = this.options;
    metrics.setGauge(
      'limpetdale_held_for_callers_bytes',
      byteBudget.heldBy(HOLDER),
    );
  }
}
