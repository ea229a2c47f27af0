/** Stand-in of a model engine that records the orders and the requests it gets. */
import {createServer} from 'node:http';
import {setInterval, clearInterval, setTimeout} from 'node:timers';
import {Buffer} from 'node:buffer';
import {now} from './deployment.js';

const HEARTBEAT_MILLISECONDS = 1200;

export class ModelEngine {
  /** @param models Names of the models that it holds at its start. */
  constructor({id, service, models, onDisk, loadMilliseconds, store, record}) {
    Object.assign(this, {id, service, loadMilliseconds, store, record});
    this.models = new Set(models);
    this.onDisk = new Set([...models, ...onDisk]);
    this.sequence = 0;
    this.isBusy = false;
    this.born = Date.now();
    this.orders = [];
    this.server = createServer((request, response) => {
      const chunks = [];
      request.on('data', chunk => chunks.push(chunk));
      request.on('end', () =>
        this.answer(request, response, Buffer.concat(chunks).toString()),
      );
    });
  }

  async listen(host) {
    await new Promise(resolve => this.server.listen(0, host, resolve));
    this.address ??= `${host}:${this.server.address().port}`;
    this.ownAddress = `${host}:${this.server.address().port}`;
    this.beat();
    this.timer = setInterval(() => this.beat(), HEARTBEAT_MILLISECONDS);
  }

  stop() {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Writes the row of the engine; it does so again after the store has come back. */
  beat() {
    if (this.store.isAway) return;
    this.store.put('servers', this.id, {
      service: this.service,
      address: this.address,
      zone: 'ist-a',
      version: 'v1',
      slots: 64,
      state: 'ready',
      cold_remaining_ms: 0,
      stage: 'combined',
      models: this.describeModels(),
      available: {in_memory: [], on_disk: [...this.onDisk]},
      sequence: this.sequence,
      born: this.born,
    });
  }

  describeModels() {
    return [...this.models].map(name => ({name, version: 1, adapters: []}));
  }

  answer(request, response, body) {
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      this.reply(request, response, 421, {'Instance-Id': this.id});
    } else if (request.url === '/limpetdale/report') {
      this.reply(
        request,
        response,
        200,
        {},
        {
          stage: 'combined',
          models: this.describeModels(),
          busy: this.isBusy,
          sequence: this.sequence,
          queued: 0,
          active: 0,
          kv_cache_used: 0,
          kv_cache_total: 167_977,
          handles: 0,
          available: {in_memory: [], on_disk: [...this.onDisk]},
          born: this.born,
        },
      );
    } else if (request.url === '/limpetdale/order') {
      const order = JSON.parse(body);
      const status = this.obey(order);
      this.orders.push({...order, status, arrivedAt: now()});
      this.record.add(
        `${this.id}: order ${order.operation} ${order.model} from ${order.holder}` +
          ` with fencing_token ${order.fencing_token}: ${status}`,
      );
      this.reply(request, response, status, {});
    } else {
      this.run(request, response);
    }
  }

  /** @returns The status of the answer to an order. */
  obey({operation, model, if_revision: expected}) {
    if (this.isBusy || (expected ?? this.sequence) !== this.sequence)
      return 409;
    if ((operation === 'load') === this.models.has(model)) return 200;
    this.sequence++;
    this.isBusy = true;
    setTimeout(
      () => {
        if (operation === 'load') this.models.add(model);
        else this.models.delete(model);
        this.isBusy = false;
        this.beat();
      },
      operation === 'load' ? this.loadMilliseconds : 50,
    );
    return 202;
  }

  /** Serves a request with a short stream. */
  run(request, response) {
    const model = request.headers['model'];
    if (!this.models.has(model)) {
      this.reply(request, response, 421, {'Not-Executed': '1'});
      return;
    }
    response.writeHead(200, {
      'Request-Id': request.headers['request-id'] ?? '',
      'Server-Signature': `${this.id}.1`,
      'Content-Type': 'text/event-stream',
    });
    for (let id = 1; id <= 3; id++) response.write(`id: ${id}\ndata: x\n\n`);
    response.end();
  }

  reply(request, response, status, headers, body) {
    const id = request.headers['request-id'];
    response.writeHead(status, {
      ...(id === undefined ? {} : {'Request-Id': id}),
      ...(body === undefined ? {} : {'Content-Type': 'application/json'}),
      ...headers,
    });
    response.end(body === undefined ? undefined : JSON.stringify(body));
  }
}
