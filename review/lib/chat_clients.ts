import {Agent, request} from 'node:http';
import {BUSY_MODEL, HOST_NAME, KEY, RARE_MODEL} from './configuration.ts';
import type {Recorder} from './deployment.ts';

/** A kind of streaming request of the site kaplama-ist. */
export interface StreamKind {
  readonly name: string;
  readonly path: string;
  readonly perSecond: number;
  readonly deadlineMilliseconds: number;
  /** Gap after which its clients give up. */
  readonly patienceMilliseconds: number;
  readonly model: string;
}

/** `grain-chat`: clients leave after a gap of two seconds. */
export const GRAIN_CHAT: StreamKind = {
  name: 'chat',
  path: '/chat/2f',
  perSecond: 20.7,
  deadlineMilliseconds: 12_000,
  patienceMilliseconds: 2000,
  model: BUSY_MODEL,
};

/** `species-tag`: clients leave after a gap of two seconds. */
export const SPECIES_TAG: StreamKind = {
  name: 'tag',
  path: '/tag/2f',
  perSecond: 3.87,
  deadlineMilliseconds: 3000,
  patienceMilliseconds: 2000,
  model: BUSY_MODEL,
};

/** `quote-draft`: clients leave after a gap of four times the objective of 2,500 ms. */
export const QUOTE_DRAFT: StreamKind = {
  name: 'draft',
  path: '/draft/2f',
  perSecond: 3.13,
  deadlineMilliseconds: 25_000,
  patienceMilliseconds: 10_000,
  model: RARE_MODEL,
};

/** Sessions of the clients, as on the site. */
const SESSIONS = 280;

/** A streaming request, and how it has ended. */
export interface SentStream {
  readonly id: string;
  /** Whether an earlier request on its connection was answered. */
  isOnKeptConnection: boolean;
  /** Whether the connection ended, not by the client, before any byte of an answer. */
  isUnanswered: boolean;
}

/** Clients that send streaming requests at a steady rate, on kept connections. */
export class StreamClients {
  readonly sent: SentStream[] = [];
  private readonly agent = new Agent({keepAlive: true});
  private readonly timers: NodeJS.Timeout[] = [];
  private nextId = 0;

  constructor(
    private readonly target: {host: string; port: number},
    private readonly host: string,
    private readonly recorder: Recorder,
  ) {}

  /** Starts to send a share of the requests of a kind. */
  start(kind: StreamKind, share: number): void {
    const interval = 1000 / (kind.perSecond * share);
    this.timers.push(setInterval(() => this.send(kind), interval));
  }

  /** Sends no more requests. */
  stop(): void {
    for (const timer of this.timers) clearInterval(timer);
  }

  private send(kind: StreamKind): void {
    const number = this.nextId++;
    const id = `${kind.name}-${number}-${this.host}`;
    // A part that many share, a session's, and the request's own.
    const parts = `a${number % 3}:119,b${number % SESSIONS}:79,c${number}:628`;
    const stream = {id, isOnKeptConnection: false, isUnanswered: false};
    this.sent.push(stream);
    this.recorder.add(`client sends ${id}`);
    const call = request({
      ...this.target,
      method: 'POST',
      path: kind.path,
      agent: this.agent,
      headers: {
        Host: HOST_NAME,
        'Request-Id': id,
        'X-Api-Key': KEY,
        Model: kind.model,
        'Token-Usage': '826,290',
        'Prompt-Prefix': parts,
        'Deadline-Ms': String(kind.deadlineMilliseconds),
      },
    });
    let hasGivenUp = false;
    let timer: NodeJS.Timeout | undefined;
    const waitFor = () => {
      clearTimeout(timer);
      timer = setTimeout(() => {
        this.recorder.add(`client gives up ${id}`);
        hasGivenUp = true;
        call.destroy();
      }, kind.patienceMilliseconds);
    };
    const finish = (line: string) => {
      clearTimeout(timer);
      this.recorder.add(line);
    };
    waitFor();
    let hasHead = false;
    call.once('response', response => {
      hasHead = true;
      response.on('data', waitFor);
      response.once('end', () =>
        finish(`client gets ${response.statusCode} for ${id}, whole`),
      );
      response.once('error', () => finish(`the answer to ${id} breaks off`));
    });
    call.on('error', () => {
      stream.isOnKeptConnection = call.reusedSocket;
      stream.isUnanswered = !hasGivenUp && !hasHead;
      finish(`no answer to ${id}`);
    });
    call.end('x'.repeat(1700));
  }
}
