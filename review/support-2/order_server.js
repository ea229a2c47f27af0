/**
 * Stand-in of a server of a plain service. It runs up to 6 requests at once, queues 24
 * and rejects others. `extraBytes` may follow a complete answer late.
 */
import {createServer} from 'node:net';
import {clearInterval, setInterval, setTimeout} from 'node:timers';

const HEARTBEAT_MILLISECONDS = 1200;
const SLOTS = 6;
const QUEUE = 24;
/** Time after the next request on the connection at which extra bytes are sent. */
const LATE_MILLISECONDS = 2;
/** Time after which they are sent without a further request. */
const LATEST_MILLISECONDS = 50;

export class OrderServer {
  constructor({id, service, workMilliseconds, store, record, isSpoilt}) {
    Object.assign(this, {id, service, workMilliseconds, store, record});
    /** Whether extra bytes follow the answer. */
    this.isSpoilt = isSpoilt ?? (() => false);
    this.running = 0;
    this.queue = [];
    this.answers = 0;
    this.spoilt = 0;
    /** Ids of the requests that it began to run. */
    this.runs = [];
    this.sockets = new Set();
    this.server = createServer({noDelay: true}, socket => this.accept(socket));
  }

  async listen(host) {
    await new Promise(resolve => this.server.listen(0, host, resolve));
    this.address = `${host}:${this.server.address().port}`;
    this.beat();
    this.timer = setInterval(() => this.beat(), HEARTBEAT_MILLISECONDS);
  }

  stop() {
    clearInterval(this.timer);
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  beat() {
    this.store.put('servers', this.id, {
      service: this.service,
      address: this.address,
      zone: 'ist-a',
      version: 'v1',
      slots: SLOTS,
      state: 'ready',
      cold_remaining_ms: 0,
      sequence: 0,
      born: 1,
    });
  }

  accept(socket) {
    this.sockets.add(socket);
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('error', () => undefined);
    let text = '';
    socket.on('data', chunk => {
      text += chunk.toString('latin1');
      for (;;) {
        const end = text.indexOf('\r\n\r\n');
        if (end < 0) return;
        const head = text.slice(0, end);
        const length = Number(/^content-length: (\d+)/im.exec(head)?.[1] ?? 0);
        if (text.length < end + 4 + length) return;
        text = text.slice(end + 4 + length);
        this.receive(socket, head);
      }
    });
  }

  receive(socket, head) {
    if (socket.sendExtra !== undefined)
      setTimeout(socket.sendExtra, LATE_MILLISECONDS);
    const header = name =>
      new RegExp(`^${name}: (.*)$`, 'im').exec(head)?.[1]?.trim() ?? '';
    const id = header('request-id');
    const expected = header('expect-instance');
    if (expected !== '' && expected !== this.id) {
      this.reject(socket, id, '421 Misdirected Request');
    } else if (this.running < SLOTS) {
      this.begin(socket, id);
    } else if (this.queue.length < QUEUE) {
      this.queue.push({socket, id});
    } else {
      this.reject(socket, id, '503 Service Unavailable');
    }
  }

  reject(socket, id, status) {
    socket.write(
      `HTTP/1.1 ${status}\r\nRequest-Id: ${id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n`,
    );
  }

  begin(socket, id) {
    this.running++;
    this.runs.push(id);
    this.record.add(`${this.id}: runs ${id}`);
    setTimeout(() => this.end(socket, id), this.workMilliseconds);
  }

  end(socket, id) {
    this.running--;
    this.answers++;
    socket.write(
      `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nServer-Signature: ${this.id}.${id}\r\nContent-Length: 8\r\n\r\naccepted`,
    );
    if (this.isSpoilt(this)) this.spoil(socket, id);
    const next = this.queue.shift();
    if (next !== undefined) this.begin(next.socket, next.id);
  }
  /** Sends bytes that belong to no request at the point of the next answer. */
  spoil(socket, id) {
    this.spoilt++;
    socket.sendExtra = () => {
      if (socket.sendExtra === undefined) return;
      socket.sendExtra = undefined;
      this.record.add(
        `${this.id}: sends bytes that belong to no request after its answer to ${id}`,
      );
      socket.write(
        'HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n',
      );
    };
    setTimeout(() => socket.sendExtra?.(), LATEST_MILLISECONDS);
  }
}
