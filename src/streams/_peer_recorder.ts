import {randomUUID} from 'node:crypto';
import type {PeerMessage, PeerMessageOf} from '../peers/mod.ts';
import {type Clock, sleep} from '../time/mod.ts';
import type {ResumableStream} from './resumable_stream.ts';

/** Options of {@link PeerRecorder}. */
export interface PeerRecorderOptions {
  clock: Clock;
  /** Ids of the hosts with a connection to this one. */
  connectedPeers: () => readonly string[];
  /** Sends a message; false if there is no connection. */
  send: (hostId: string, message: PeerMessage) => boolean;
  /** Returns a number in [0, 1). */
  random: () => number;
}

/** A stream that waits until a peer has recorded it. */
export interface PendingRecord {
  /** Settles when a peer has written the stream into its page. */
  readonly recorded: Promise<void>;
  /** Whether the peers that were asked remember the stream but cannot write either. */
  readonly isHeld: () => boolean;
  /** Stops asking peers. */
  readonly cancel: () => void;
}

interface Entry {
  readonly stream: ResumableStream;
  readonly version: string;
  readonly resolve: () => void;
  readonly asked: Set<string>;
  readonly heldBy: Set<string>;
  isDone: boolean;
}

/** Time in which streams are collected before a peer is asked to record them. */
const GROUP_MILLISECONDS = 15;

/** Peers that are asked at the same time, in case one of them has stopped responding. */
const PEERS_ASKED = 2;

/** Time after which further peers are asked. */
const ANSWER_TIMEOUT_MILLISECONDS = 100;

/** Streams in one message. */
const MAXIMUM_STREAMS = 800;

/** Questions that are remembered for late answers. */
const MAXIMUM_QUESTIONS = 1000;

/**
 * Has peers record the software versions of streams in their pages while this host
 * cannot write its own: the store may turn away single hosts and serve the others.
 */
export class PeerRecorder {
  private waiting: Entry[] = [];
  private isCollecting = false;
  private readonly questions = new Map<string, readonly Entry[]>();
  /** Peer that has recorded streams last. */
  private preferred: string | undefined;

  constructor(private readonly options: PeerRecorderOptions) {}

  /** Asks peers to record a stream. */
  record(stream: ResumableStream, version: string): PendingRecord {
    let resolve!: () => void;
    const recorded = new Promise<void>(settle => (resolve = settle));
    const entry: Entry = {
      ...{stream, version, resolve, isDone: false},
      ...{asked: new Set<string>(), heldBy: new Set<string>()},
    };
    this.enqueue([entry]);
    return {
      recorded,
      isHeld: () =>
        entry.heldBy.size > 0 &&
        entry.heldBy.size >= Math.min(PEERS_ASKED, entry.asked.size),
      cancel: () => {
        entry.isDone = true;
      },
    };
  }

  /** Handles the answer of a peer. */
  receive(hostId: string, {id, state}: PeerMessageOf<'origin_reply'>): void {
    for (const entry of this.questions.get(id) ?? []) {
      if (state === 'held') {
        entry.heldBy.add(hostId);
        continue;
      }
      entry.isDone = true;
      entry.resolve();
    }
    if (state === 'recorded') this.preferred = hostId;
  }

  private enqueue(entries: readonly Entry[]): void {
    this.waiting.push(...entries);
    if (this.isCollecting) return;
    this.isCollecting = true;
    void sleep(this.options.clock, GROUP_MILLISECONDS).then(() => {
      this.isCollecting = false;
      const collected = this.waiting.filter(({isDone}) => !isDone);
      this.waiting = [];
      // Streams that were sent to peers before need other peers than new ones.
      this.askAll(collected.filter(({asked}) => asked.size === 0));
      this.askAll(collected.filter(({asked}) => asked.size > 0));
    });
  }

  private askAll(entries: readonly Entry[]): void {
    for (let from = 0; from < entries.length; from += MAXIMUM_STREAMS)
      this.ask(entries.slice(from, from + MAXIMUM_STREAMS));
  }

  private ask(entries: readonly Entry[]): void {
    const {clock} = this.options;
    const now = clock.monotonicMilliseconds();
    const id = randomUUID();
    const request: PeerMessageOf<'origin_request'> = {
      kind: 'origin_request',
      id,
      streams: entries.map(({stream: {key, livesUntil}, version}) => ({
        key,
        softwareVersion: version,
        lifeMilliseconds: Math.max(0, livesUntil - now),
      })),
    };
    const peers = this.choosePeers(entries).filter(hostId =>
      this.options.send(hostId, request),
    );
    for (const {asked} of entries) {
      for (const hostId of peers) asked.add(hostId);
    }
    if (peers.length > 0) this.remember(id, entries);
    void sleep(clock, ANSWER_TIMEOUT_MILLISECONDS).then(() => {
      const left = entries.filter(({isDone}) => !isDone);
      if (left.length > 0) this.enqueue(left);
    });
  }

  /** Connected peers that none of the streams was sent to, the preferred one first. */
  private choosePeers(entries: readonly Entry[]): readonly string[] {
    const {connectedPeers, random} = this.options;
    const left = connectedPeers().filter(
      hostId => !entries.some(({asked}) => asked.has(hostId)),
    );
    const drawn = left
      .map(hostId => ({
        hostId,
        order: hostId === this.preferred ? -1 : random(),
      }))
      .sort((one, other) => one.order - other.order);
    return drawn.slice(0, PEERS_ASKED).map(({hostId}) => hostId);
  }

  private remember(id: string, entries: readonly Entry[]): void {
    this.questions.set(id, entries);
    const [oldest] = this.questions.keys();
    if (this.questions.size > MAXIMUM_QUESTIONS && oldest !== undefined)
      this.questions.delete(oldest);
  }
}
