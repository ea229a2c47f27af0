import {connect, type Socket} from 'node:net';
import {HOST_NAME, KEY, ORDER_TIMEOUT_MILLISECONDS} from './configuration.ts';
import {pause, type Recorder} from './deployment.ts';

/** A request of a client, and what it has got for it. */
export interface SentOrder {
  readonly id: string;
  readonly sentAt: number;
  /** Whether an earlier request on its connection was answered. */
  readonly isOnKeptConnection: boolean;
  /** Status of the answer; undefined if there was none. */
  status?: number;
  answeredAt?: number;
  /** Whether the connection ended, not by the client, without an answer. */
  isUnanswered: boolean;
}

/** Time after the end of its deadline at which a client stops waiting. */
const GIVE_UP_MILLISECONDS = 4000;

/** Pause between two requests on a connection. */
const THINK_MILLISECONDS = 20;

/** Clients that place orders on kept connections, one request at a time on each. */
export class OrderClients {
  readonly orders: SentOrder[] = [];
  private isStopped = false;
  private nextId = 0;

  constructor(
    private readonly target: {host: string; port: number},
    private readonly name: string,
    private readonly recorder: Recorder,
  ) {}

  /** Starts the clients. */
  start(count: number): void {
    for (let index = 0; index < count; index++) void this.run();
  }

  /** Ends them after their current request. */
  stop(): void {
    this.isStopped = true;
  }

  private async run(): Promise<void> {
    while (!this.isStopped) {
      const connection = await openConnection(this.target);
      if (connection === undefined) {
        await pause(200);
        continue;
      }
      let isKept = false;
      while (!this.isStopped && !connection.destroyed) {
        const order = await this.send(connection, isKept);
        if (order.status === undefined) break;
        isKept = true;
        await pause(THINK_MILLISECONDS);
      }
      connection.destroy();
    }
  }

  private send(connection: Socket, isKept: boolean): Promise<SentOrder> {
    const id = `order-${this.nextId++}-${this.name}`;
    const order: SentOrder = {
      id,
      sentAt: performance.now(),
      isOnKeptConnection: isKept,
      isUnanswered: false,
    };
    this.orders.push(order);
    this.recorder.add(`client sends ${id}`);
    return new Promise(resolve => {
      let received = '';
      const finish = () => {
        clearTimeout(timer);
        connection.removeListener('data', onData);
        connection.removeListener('close', onClose);
        resolve(order);
      };
      const onData = (bytes: Buffer) => {
        received += bytes.toString('latin1');
        const end = received.indexOf('\r\n\r\n');
        if (end < 0) return;
        const length = /content-length: *(\d+)/i.exec(received)?.[1] ?? '0';
        if (received.length < end + 4 + Number(length)) return;
        order.status = Number(received.slice(9, 12));
        order.answeredAt = performance.now();
        this.recorder.add(`client gets ${order.status} for ${id}`);
        finish();
      };
      const onClose = () => {
        order.isUnanswered = true;
        this.recorder.add(`client's connection ends, no answer to ${id}`);
        finish();
      };
      const timer = setTimeout(() => {
        this.recorder.add(`client gives up ${id}`);
        finish();
      }, ORDER_TIMEOUT_MILLISECONDS + GIVE_UP_MILLISECONDS);
      connection.on('data', onData);
      connection.once('close', onClose);
      connection.write(
        `POST /order/2f HTTP/1.1\r\nHost: ${HOST_NAME}\r\nRequest-Id: ${id}\r\n` +
          `X-Api-Key: ${KEY}\r\n` +
          `Deadline-Ms: ${ORDER_TIMEOUT_MILLISECONDS}\r\n` +
          'Content-Length: 4\r\n\r\nbody',
      );
    });
  }
}

function openConnection(target: {
  host: string;
  port: number;
}): Promise<Socket | undefined> {
  return new Promise(resolve => {
    const connection = connect(target);
    connection.once('connect', () => resolve(connection));
    connection.on('error', () => resolve(undefined));
  });
}

/** Time that the rule allows after the route's time-out. */
const EXTRA_MILLISECONDS = 500;

/** Orders without an answer at their route's time-out, and half a second later. */
export function findLateOrders(
  orders: readonly SentOrder[],
  recorder: Recorder,
): {late: readonly SentOrder[]; later: readonly SentOrder[]} {
  const waits = ({sentAt, answeredAt = Infinity}: SentOrder) =>
    answeredAt - sentAt;
  const late = orders.filter(
    order => waits(order) > ORDER_TIMEOUT_MILLISECONDS,
  );
  const later = late.filter(
    order => waits(order) > ORDER_TIMEOUT_MILLISECONDS + EXTRA_MILLISECONDS,
  );
  recorder.add(
    `${orders.length} orders sent, ${late.length} unanswered at the time-out of ` +
      `their route, ${later.length} of them half a second later`,
  );
  const shown = later.map(order =>
    order.answeredAt === undefined ? 'none' : Math.round(waits(order)),
  );
  recorder.add(`milliseconds until their answers: ${shown.join(', ')}`);
  return {late, later};
}
