import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import type {PlatformStoreStandIn} from './platform_store_stand_in.ts';
import {readRequestBody} from './_read_request_body.ts';

/** What a stand-in of a platform endpoint does with its next requests. */
export type EndpointTrouble =
  | 'none'
  /** Answers 503 and says that the request did not run. */
  | 'sheds'
  /** Answers 500 with its signature. */
  | 'fails'
  /** Runs the request and closes the connection without an answer. */
  | 'loses_answer'
  /** Closes the connection in the middle of the body. */
  | 'cuts_body'
  /** Answers with the id of another request. */
  | 'answers_other'
  /** Answers without its signature. */
  | 'unsigned'
  /** Sends a second answer after the first. */
  | 'extra_answer'
  /** Rejects the first request, and answers later ones on its connection so as well. */
  | 'repeats_rejection'
  /** The same without the id of the request. */
  | 'repeats_unnamed_rejection'
  /** Sends the first event of a stream and closes the connection. */
  | 'cuts_stream'
  /** The same in a response without a length. */
  | 'cuts_unframed_stream'
  /** Answers only when told to. */
  | 'hangs'
  /** Sends the first event of a stream and no end. */
  | 'stalls'
  /** Sends a stream of `floodBytes` as fast as it is read. */
  | 'floods'
  /** Ends the body without a length and with a reset. */
  | 'unframed_reset'
  /** Ends the body without a length and in the middle. */
  | 'unframed_end';

/** Size of the events of a stream without an end. */
const FLOOD_EVENT_BYTES = 64 * 1024;

/** A request that an endpoint has run. */
export interface SeenRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: NodeJS.Dict<string | string[]>;
  readonly body: string;
}

/** Options of {@link PlatformEndpointStandIn}. */
export interface PlatformEndpointOptions {
  id: string;
  service: string;
  dataCentre?: string;
  /** Version of its software. @default v1 */
  softwareVersion?: string;
  /** Models in the accelerator at the start; the endpoint is an engine then. */
  models?: readonly string[];
  /** Milliseconds until a load has ended. @default 20 */
  loadMilliseconds?: number;
  /** Events of a stream. @default 3 */
  events?: number;
  /** Whether each event names the software version in a comment. @default false */
  eventsNameVersion?: boolean;
}

/** Stand-in of an engine or a plain service, after the platform's protocol page. */
export class PlatformEndpointStandIn {
  trouble: EndpointTrouble = 'none';
  /** Body of the answers that are no streams. */
  answerBody = 'the whole answer';
  /** Time for which the next row says that the endpoint is cold. */
  coldMilliseconds = 0;
  /** Size of the streams that flood; without an end by default. */
  floodBytes = Infinity;
  /** Time after which a flood that remains unread is cut off. */
  unreadMilliseconds = Infinity;
  /** Floods that were cut off. */
  cutOffs = 0;
  /** Time that a run takes. */
  runMilliseconds = 0;
  /** Delay before an answer that says that the request did not run. */
  shedMilliseconds = 0;
  /** Answers with which the trouble stops; unlimited when undefined. */
  troubles: number | undefined;
  /** Part of a prompt that ends the process as soon as it begins to answer. */
  deadlyPart: string | undefined;
  /** Headers that all answers to requests have, such as `Server-Limit`. */
  notices: Readonly<Record<string, string>> = {};
  /** Monotonic milliseconds at which requests arrived, run or not. */
  readonly arrivals: number[] = [];
  readonly ran: SeenRequest[] = [];
  /** Reports that were asked for. */
  reports = 0;
  readonly orders: {
    operation: string;
    model: string;
    adapter?: string;
    holder: string;
    fencing_token: number;
  }[] = [];
  /** Orders as they arrived, with the monotonic time in milliseconds. */
  readonly orderArrivals: {holder: string; token: number; at: number}[] = [];
  /** Connections on which a request was rejected, to be rejected once more. */
  private readonly rejectedOn = new WeakSet<Socket>();
  private hasRejected = false;
  private readonly held: Map<string, Set<string>>;
  private readonly born = Date.now();
  private readonly unanswered = new Set<ServerResponse>();
  private readonly hanging: (() => void)[] = [];
  private accepted = 0;
  private busy = false;
  private readonly server: Server;

  private constructor(
    private readonly options: PlatformEndpointOptions,
    private readonly store: PlatformStoreStandIn,
  ) {
    this.held = new Map(
      (options.models ?? []).map(model => [model, new Set<string>()]),
    );
    this.server = createServer((request, response) => {
      void this.answer(request, response);
    });
  }

  /** Starts an endpoint on a free loopback port and registers it. */
  static async start(
    options: PlatformEndpointOptions,
    store: PlatformStoreStandIn,
  ): Promise<PlatformEndpointStandIn> {
    const endpoint = new PlatformEndpointStandIn(options, store);
    await new Promise<void>(resolve =>
      endpoint.server.listen(0, '127.0.0.1', resolve),
    );
    endpoint.register();
    return endpoint;
  }

  /** Id of the endpoint. */
  get id(): string {
    return this.options.id;
  }

  /** IP number and port. */
  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Models in the accelerator. */
  get models(): readonly string[] {
    return [...this.held.keys()];
  }

  /** Connections with a request that has no answer yet. */
  get requestsUnderWay(): number {
    return this.unanswered.size;
  }

  /** Whether the process has ended. */
  get hasEnded(): boolean {
    return !this.server.listening;
  }

  /** Writes the endpoint's row. */
  register(state: 'ready' | 'draining' = 'ready'): void {
    const {id, service, dataCentre, softwareVersion} = this.options;
    this.store.put('servers', id, {
      service,
      address: this.address,
      zone: dataCentre ?? 'zone-a',
      version: softwareVersion ?? 'v1',
      slots: 4,
      state,
      cold_remaining_ms: this.coldMilliseconds,
      stage: 'combined',
      models: this.heldModels(),
      available: {in_memory: [], on_disk: []},
      sequence: 1,
      born: this.born,
    });
  }

  /** Answers the requests that hang. */
  answerHanging(): void {
    for (const answer of this.hanging.splice(0)) answer();
  }

  /** Ends the process; its row stays until it lapses. */
  async stop(): Promise<void> {
    this.server.closeAllConnections();
    if (this.hasEnded) return;
    await new Promise(resolve => this.server.close(resolve));
  }

  private heldModels() {
    return [...this.held].map(([name, adapters]) => ({
      name,
      version: 1,
      adapters: [...adapters],
    }));
  }

  private async answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readRequestBody(request);
    const path = request.url ?? '/';
    if (path === '/limpetdale/order') {
      this.takeOrder(response, body);
      return;
    }
    if (path === '/limpetdale/report') {
      this.reports++;
      const report = {
        stage: 'combined',
        models: this.heldModels(),
        busy: this.busy,
        sequence: this.accepted,
        pending: [],
      };
      response.writeHead(200).end(JSON.stringify(report));
      return;
    }
    this.run(request, response, body);
  }

  private run(
    request: IncomingMessage,
    response: ServerResponse,
    body: Buffer,
  ): void {
    const trouble = this.nextTrouble();
    const {headers} = request;
    const rejection = {
      'Not-Executed': '1',
      'Request-Id': headers['request-id'] ?? '',
    };
    this.arrivals.push(performance.now());
    for (const [name, value] of Object.entries(this.notices)) {
      response.setHeader(name, value);
    }
    this.unanswered.add(response);
    response.once('close', () => this.unanswered.delete(response));
    const target = String(headers['model'] ?? '');
    const [model = '', adapter] = target.split('/');
    const isMissing =
      target !== '' &&
      (!this.held.has(model) ||
        (adapter !== undefined && !this.held.get(model)?.has(adapter)));
    const expected = headers['expect-instance'];
    if (isMissing || (expected !== undefined && expected !== this.options.id)) {
      response.writeHead(421, rejection).end();
      return;
    }
    if (trouble === 'sheds') {
      setTimeout(
        () => response.writeHead(503, rejection).end(),
        this.shedMilliseconds,
      );
      return;
    }
    const isUnnamed = trouble === 'repeats_unnamed_rejection';
    const repeats = isUnnamed || trouble === 'repeats_rejection';
    const head = isUnnamed ? {'Not-Executed': '1'} : rejection;
    if (repeats && !this.hasRejected) {
      this.hasRejected = true;
      this.rejectedOn.add(request.socket);
      response.writeHead(503, head).end();
      return;
    }
    this.ran.push({
      method: request.method ?? '',
      path: request.url ?? '',
      headers,
      body: body.toString(),
    });
    if (repeats && this.rejectedOn.has(request.socket)) {
      response.writeHead(503, head).end();
      return;
    }
    setTimeout(
      () => this.respond(request, response, trouble, target !== ''),
      this.runMilliseconds,
    );
  }

  private respond(
    request: IncomingMessage,
    response: ServerResponse,
    trouble: EndpointTrouble,
    isStream: boolean,
  ): void {
    const own = {
      'Request-Id': request.headers['request-id'] ?? '',
      'Server-Signature': `signature-of-${this.options.id}`,
    };
    const whole = this.answerBody;
    const parts = String(request.headers['prompt-prefix'] ?? '').split(',');
    if (parts.some(part => part.split(':')[0] === this.deadlyPart)) {
      response.writeHead(200, own).flushHeaders();
      setTimeout(() => void this.stop(), 10);
      return;
    }
    switch (trouble) {
      case 'hangs':
        this.hanging.push(() => response.writeHead(200, own).end(whole));
        return;
      case 'stalls':
        response.writeHead(200, own).write('id: 1\ndata: event 1\n\n');
        return;
      case 'floods':
        response.writeHead(200, own);
        this.flood(response);
        return;
      case 'loses_answer':
        request.socket.destroy();
        return;
      case 'fails':
        response.writeHead(500, own).end('failed');
        return;
      case 'unsigned':
        response.writeHead(200, {'Request-Id': own['Request-Id']}).end(whole);
        return;
      case 'answers_other':
        response.writeHead(200, {...own, 'Request-Id': 'another'}).end(whole);
        return;
      case 'cuts_body':
        response.writeHead(200, {...own, 'Content-Length': 100});
        response.write('half of');
        setTimeout(() => request.socket.destroy(), 10);
        return;
      case 'cuts_stream':
        response.writeHead(200, own).write(this.event(firstEventOf(request)));
        setTimeout(() => request.socket.destroy(), 10);
        return;
      case 'cuts_unframed_stream':
        request.socket.write(
          `HTTP/1.1 200 OK\r\nRequest-Id: ${String(own['Request-Id'])}\r\n` +
            'Server-Signature: s\r\nConnection: close\r\n\r\n' +
            'id: 1\ndata: event 1\n\n',
        );
        setTimeout(() => request.socket.resetAndDestroy(), 10);
        return;
      case 'unframed_reset':
      case 'unframed_end':
        request.socket.write(
          `HTTP/1.1 200 OK\r\nRequest-Id: ${String(own['Request-Id'])}\r\n` +
            `Server-Signature: s\r\nConnection: close\r\n\r\nhalf of`,
        );
        setTimeout(() => {
          if (trouble === 'unframed_end') request.socket.end();
          else request.socket.resetAndDestroy();
        }, 10);
        return;
      case 'extra_answer':
        response.writeHead(200, {...own, 'Content-Length': whole.length});
        response.end(whole, () => {
          request.socket.write(
            'HTTP/1.1 200 OK\r\nRequest-Id: another\r\nServer-Signature: s\r\n' +
              'Content-Length: 5\r\n\r\nextra',
          );
        });
        return;
      default:
        if (isStream) this.stream(request, response, own);
        else response.writeHead(200, own).end(whole);
    }
  }

  private flood(response: ServerResponse, sentBytes = 0): void {
    if (response.closed) return;
    if (sentBytes >= this.floodBytes) {
      response.end();
      return;
    }
    const event = `data: ${'x'.repeat(FLOOD_EVENT_BYTES)}\n\n`;
    const goOn = () => this.flood(response, sentBytes + event.length);
    if (response.write(event)) {
      setImmediate(goOn);
      return;
    }
    const timer =
      this.unreadMilliseconds === Infinity
        ? undefined
        : setTimeout(() => {
            this.cutOffs++;
            response.socket?.resetAndDestroy();
          }, this.unreadMilliseconds);
    const cancel = () => clearTimeout(timer);
    response.once('close', cancel);
    response.once('drain', () => {
      cancel();
      response.removeListener('close', cancel);
      goOn();
    });
  }

  private stream(
    request: IncomingMessage,
    response: ServerResponse,
    own: Record<string, string | string[]>,
  ): void {
    response.writeHead(200, {...own, 'Content-Type': 'text/event-stream'});
    const events = this.options.events ?? 3;
    for (let id = firstEventOf(request); id <= events; id++) {
      response.write(this.event(id));
    }
    response.end();
  }

  private event(id: number): string {
    const {eventsNameVersion, softwareVersion} = this.options;
    const comment = eventsNameVersion === true ? `: ${softwareVersion}\n` : '';
    return `id: ${id}\n${comment}data: event ${id}\n\n`;
  }

  private takeOrder(response: ServerResponse, body: Buffer): void {
    const order = JSON.parse(body.toString()) as {
      operation: 'load' | 'unload';
      model: string;
      adapter?: string;
      if_revision?: number;
      holder: string;
      fencing_token: number;
    };
    this.orderArrivals.push({
      holder: order.holder,
      token: order.fencing_token,
      at: performance.now(),
    });
    if (
      this.busy ||
      (order.if_revision !== undefined && order.if_revision !== this.accepted)
    ) {
      response.writeHead(409).end();
      return;
    }
    this.accepted++;
    this.orders.push(order);
    const adapters = this.held.get(order.model);
    if (order.adapter !== undefined) {
      if (order.operation === 'load') adapters?.add(order.adapter);
      else adapters?.delete(order.adapter);
      response.writeHead(order.operation === 'load' ? 202 : 200).end();
      return;
    }
    this.busy = true;
    response.writeHead(202).end();
    setTimeout(() => {
      if (this.hasEnded) return;
      if (order.operation === 'load') this.held.set(order.model, new Set());
      else this.held.delete(order.model);
      this.busy = false;
      this.register();
    }, this.options.loadMilliseconds ?? 20);
  }

  private nextTrouble(): EndpointTrouble {
    if (this.troubles === undefined) return this.trouble;
    if (this.troubles === 0) return 'none';
    this.troubles--;
    return this.trouble;
  }
}

/** Id of the first event that a caller has not got yet. */
function firstEventOf({headers}: IncomingMessage): number {
  return Number(headers['last-event-id'] ?? 0) + 1;
}
