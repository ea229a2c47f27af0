import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {readRequestBody} from './_read_request_body.ts';

/** How a stand-in of the platform's store answers its next calls. */
export type StoreTrouble =
  | 'none'
  /** Answers 503 to everything. */
  | 'busy'
  /** Closes connections without an answer. */
  | 'reset'
  /** Reads calls and never answers. */
  | 'silent'
  /** Performs writes and closes their connections without an answer. */
  | 'lost_writes';

interface StoredRow {
  readonly table: string;
  readonly part: string;
  readonly key: string;
  value: string;
  schema_version: number;
  deleted: boolean;
}

interface RowName {
  readonly table: string;
  readonly part: string;
  readonly key: string;
}

/** Content of a {@link PlatformStoreStandIn} at one time. */
export interface StoreBackup {
  readonly rows: ReadonlyMap<string, StoredRow>;
  readonly version: number;
}

/** Stand-in of the platform's metadata store, after its protocol page. */
export class PlatformStoreStandIn {
  trouble: StoreTrouble = 'none';
  /** Calls by their path, for tests that count them. */
  readonly calls = new Map<string, number>();
  private rows = new Map<string, StoredRow>();
  /** Rises each time the store comes back from an older copy. */
  private era = 0;
  private readonly waiting = new Set<() => void>();
  private version = 0;
  private historyStart = 0;
  private readonly server: Server;

  private constructor() {
    this.server = createServer((request, response) => {
      void this.answer(request, response);
    });
  }

  /** Starts a store on a free loopback port. */
  static async start(): Promise<PlatformStoreStandIn> {
    const store = new PlatformStoreStandIn();
    await new Promise<void>(resolve =>
      store.server.listen(0, '127.0.0.1', resolve),
    );
    return store;
  }

  /** IP number and port. */
  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Writes a row as the operator or an endpoint would. */
  put(table: string, key: string, value: unknown): number {
    this.version++;
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    this.rows.set(nameOf({table, part: '', key}), {
      table,
      part: '',
      key,
      value: Buffer.from(text).toString('base64'),
      schema_version: this.version,
      deleted: false,
    });
    this.wake();
    return this.version;
  }

  /** Removes a row as its writer would. */
  drop(table: string, key: string): void {
    const row = this.rows.get(nameOf({table, part: '', key}));
    if (row === undefined) return;
    this.version++;
    row.deleted = true;
    row.schema_version = this.version;
    this.wake();
  }

  /** Content of a row; undefined when there is none. */
  get(table: string, key: string): unknown {
    const row = this.rows.get(nameOf({table, part: '', key}));
    if (row === undefined || row.deleted) return undefined;
    return JSON.parse(Buffer.from(row.value, 'base64').toString());
  }

  /** Copies all rows, as a backup does. */
  backUp(): StoreBackup {
    return {rows: copyOf(this.rows), version: this.version};
  }

  /** Comes back from a backup in a new era: what was written since is gone. */
  restore(backup: StoreBackup): void {
    this.rows = copyOf(backup.rows);
    this.version = backup.version;
    this.historyStart = backup.version;
    this.era++;
    this.server.closeAllConnections();
    this.wake();
  }

  /** Drops the history, so that feeds must read their tables again. */
  dropHistory(): void {
    this.historyStart = this.version;
    for (const [name, row] of this.rows) {
      if (row.deleted) this.rows.delete(name);
    }
  }

  /** Closes the store. */
  async stop(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise(resolve => this.server.close(resolve));
  }

  private wake(): void {
    for (const resume of [...this.waiting]) resume();
  }

  private async answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const {pathname, searchParams} = new URL(
      request.url ?? '/',
      'http://store',
    );
    this.calls.set(pathname, (this.calls.get(pathname) ?? 0) + 1);
    const body = await readRequestBody(request);
    if (this.trouble === 'silent') return;
    if (this.trouble === 'reset') {
      request.socket.destroy();
      return;
    }
    if (this.trouble === 'busy') {
      response.writeHead(503).end();
      return;
    }
    switch (pathname) {
      case '/limpetdale/rows-get':
        return this.sendRows(response, this.tableRows(searchParams));
      case '/limpetdale/rows-feed':
        return this.follow(response, searchParams);
      case '/limpetdale/rows-tx':
        return this.transact(request, response, body);
      default:
        response.writeHead(404).end();
    }
  }

  private tableRows(query: URLSearchParams): StoredRow[] {
    const source = query.get('source') ?? '';
    return [...this.rows.values()]
      .filter(row => row.table === query.get('table') && !row.deleted)
      .filter(row => row.key >= source)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
  }

  private async follow(
    response: ServerResponse,
    query: URLSearchParams,
  ): Promise<void> {
    const after = Number(query.get('after'));
    if (after < this.historyStart || after > this.version) {
      response.writeHead(410, this.head).end();
      return;
    }
    const changed = () =>
      [...this.rows.values()]
        .filter(row => row.table === query.get('table'))
        .filter(row => row.schema_version > after)
        .sort((left, right) => left.schema_version - right.schema_version);
    if (changed().length === 0) {
      await this.waitForChange(Number(query.get('wait_ms')), changed);
    }
    this.sendRows(response, changed());
  }

  private waitForChange(
    milliseconds: number,
    changed: () => readonly StoredRow[],
  ): Promise<void> {
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

  private transact(
    request: IncomingMessage,
    response: ServerResponse,
    body: Buffer,
  ): void {
    const transaction = JSON.parse(body.toString()) as {
      if_revision: (RowName & {schema_version: number})[];
      set_keys: (RowName & {value: string})[];
      remove: RowName[];
    };
    const expected = transaction.if_revision;
    const current = expected.map(name => this.rows.get(nameOf(name)));
    const isMet = expected.every((name, index) => {
      const row = current[index];
      const version = row === undefined || row.deleted ? 0 : row.schema_version;
      return version === name.schema_version;
    });
    if (!isMet) {
      const rows = current.filter(row => row !== undefined && !row.deleted);
      this.send(response, 412, {rows, schema_version: this.version});
      return;
    }
    this.version++;
    for (const {table, part, key, value} of transaction.set_keys) {
      this.rows.set(nameOf({table, part, key}), {
        table,
        part,
        key,
        value,
        schema_version: this.version,
        deleted: false,
      });
    }
    for (const name of transaction.remove) {
      const row = this.rows.get(nameOf(name));
      if (row === undefined) continue;
      row.deleted = true;
      row.schema_version = this.version;
    }
    this.wake();
    if (this.trouble === 'lost_writes') {
      request.socket.destroy();
      return;
    }
    this.send(response, 200, {schema_version: this.version});
  }

  private get head(): Record<string, string> {
    return {
      'Content-Type': 'application/json',
      'Store-Era': String(this.era),
    };
  }

  private sendRows(response: ServerResponse, rows: readonly StoredRow[]): void {
    this.send(response, 200, {
      rows: rows.map(row =>
        row.deleted ? {...row, value: undefined} : {...row, deleted: undefined},
      ),
      has_more: false,
      schema_version: this.version,
    });
  }

  private send(response: ServerResponse, status: number, body: object): void {
    response.writeHead(status, this.head);
    response.end(
      JSON.stringify({...body, now_ms: Math.round(performance.now())}),
    );
  }
}

function nameOf({table, part, key}: RowName): string {
  return JSON.stringify([table, part, key]);
}

function copyOf(rows: ReadonlyMap<string, StoredRow>): Map<string, StoredRow> {
  return new Map([...rows].map(([name, row]) => [name, {...row}]));
}
