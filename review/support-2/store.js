/**
 * Stand-in of the platform's metadata store: rows, conditional transactions, feeds and
 * the drill in which it comes back from an older copy.
 */
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {clearTimeout, setTimeout} from 'node:timers';
import {Buffer} from 'node:buffer';
import {URL} from 'node:url';

const nameOf = ({table, part, key}) => JSON.stringify([table, part ?? '', key]);

export class Store {
  constructor() {
    this.rows = new Map();
    this.version = 0;
    this.era = 0;
    this.isAway = false;
    this.historyStart = 0;
    this.waiting = new Set();
    this.writes = [];
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
    this.address = `${host}:${this.server.address().port}`;
  }

  stop() {
    this.server.closeAllConnections();
    this.server.close();
  }

  put(table, key, value) {
    this.write([{table, part: '', key, value: encode(value)}], []);
  }

  drop(table, key) {
    this.write([], [{table, part: '', key}]);
  }

  get(table, key) {
    const row = this.rows.get(nameOf({table, key}));
    if (row === undefined || row.deleted) return undefined;
    return JSON.parse(Buffer.from(row.value, 'base64').toString());
  }

  /** Copies all rows, as a backup does. */
  copy() {
    return {
      version: this.version,
      rows: [...this.rows].map(([name, row]) => [name, {...row}]),
    };
  }

  /** Comes back from a copy: what was written since is gone. */
  restore(copy) {
    this.rows = new Map(copy.rows.map(([name, row]) => [name, {...row}]));
    this.version = copy.version;
    this.historyStart = copy.version;
    this.era++;
    this.isAway = false;
    this.wake();
  }

  /** Answers nothing until {@link restore}. */
  goAway() {
    this.isAway = true;
    this.server.closeAllConnections();
  }

  write(setKeys, remove) {
    this.version++;
    for (const {table, part, key, value} of setKeys)
      this.rows.set(nameOf({table, part, key}), {
        table,
        part: part ?? '',
        key,
        value,
        schema_version: this.version,
        deleted: false,
      });
    for (const name of remove) {
      const row = this.rows.get(nameOf(name));
      if (row === undefined || row.deleted) continue;
      row.deleted = true;
      row.schema_version = this.version;
    }
    this.wake();
  }

  wake() {
    for (const resume of [...this.waiting]) resume();
  }

  answer(request, response, body) {
    if (this.isAway) {
      request.socket.destroy();
      return;
    }
    const {pathname, searchParams} = new URL(request.url, 'http://store');
    if (pathname === '/limpetdale/rows-get') this.read(response, searchParams);
    else if (pathname === '/limpetdale/rows-feed')
      void this.follow(response, searchParams);
    else if (pathname === '/limpetdale/rows-tx')
      this.transact(response, JSON.parse(body));
    else response.writeHead(404).end();
  }

  read(response, query) {
    const source = query.get('source') ?? '';
    const rows = [...this.rows.values()]
      .filter(row => row.table === query.get('table') && !row.deleted)
      .filter(row => row.part === (query.get('part') ?? ''))
      .filter(row => row.key >= source)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    this.send(response, 200, {rows: rows.map(describe), has_more: false});
  }

  async follow(response, query) {
    const after = Number(query.get('after'));
    const changed = () =>
      [...this.rows.values()]
        .filter(row => row.table === query.get('table'))
        .filter(row => row.schema_version > after)
        .sort((left, right) => left.schema_version - right.schema_version);
    if (after < this.historyStart || after > this.version) {
      this.send(response, 410, {});
      return;
    }
    if (changed().length === 0)
      await this.waitForChange(Number(query.get('wait_ms')), changed);
    if (after < this.historyStart || after > this.version) {
      this.send(response, 410, {});
      return;
    }
    this.send(response, 200, {rows: changed().map(describe)});
  }

  waitForChange(milliseconds, changed) {
    return new Promise(resolve => {
      const finish = () => {
        clearTimeout(timer);
        this.waiting.delete(check);
        resolve();
      };
      const check = () => {
        if (changed().length > 0) finish();
      };
      const timer = setTimeout(finish, milliseconds);
      this.waiting.add(check);
    });
  }

  transact(response, {if_revision: expected, set_keys: setKeys, remove}) {
    const current = expected.map(name => this.rows.get(nameOf(name)));
    const isMet = expected.every((name, index) => {
      const row = current[index];
      const version = row === undefined || row.deleted ? 0 : row.schema_version;
      return version === name.schema_version;
    });
    if (!isMet) {
      const rows = current.filter(row => row !== undefined && !row.deleted);
      this.send(response, 412, {rows: rows.map(describe)});
      return;
    }
    this.write(setKeys, remove);
    this.send(response, 200, {});
  }

  send(response, status, body) {
    if (response.destroyed) return;
    response.writeHead(status, {
      'Content-Type': 'application/json',
      'Store-Era': String(this.era),
    });
    response.end(
      JSON.stringify({
        ...body,
        schema_version: this.version,
        now_ms: Math.round(performance.now()),
      }),
    );
  }
}

function describe({table, part, key, value, schema_version, deleted}) {
  return deleted
    ? {table, part, key, schema_version, deleted: true}
    : {table, part, key, value, schema_version};
}

function encode(value) {
  return Buffer.from(JSON.stringify(value)).toString('base64');
}

/** Whether the disruption of the case is left out. */
export const isCalm = process.env.TROUBLE === '0';
