import {Agent} from 'node:http';
import {failure, type Result, success} from '../errors/mod.ts';
import {callHttp, type HttpResponse} from '../exchange/mod.ts';
import type {
  CommitOutcome,
  FollowOptions,
  Row,
  RowChange,
  RowPage,
  RowStore,
  RowStoreError,
} from '../stores/mod.ts';
import {
  isWireObject,
  numberOf,
  objectsOf,
  stringOf,
  type WireObject,
} from './_wire_value.ts';

/** Options of {@link StoreClient}. */
export interface StoreClientOptions {
  /** IP address and port of the store. */
  address: string;
  /** Time-out of a call, in addition to the wait time of a feed request. */
  timeoutMilliseconds: number;
}

/** Maximum connections to the store: one per followed table, and some for other calls. */
const MAXIMUM_CONNECTIONS = 8;

/** Client for the platform's metadata store. */
export class StoreClient implements RowStore {
  private readonly agent = new Agent({
    keepAlive: true,
    maxSockets: MAXIMUM_CONNECTIONS,
  });

  constructor(private readonly options: StoreClientOptions) {}

  async readTable(table: string): Promise<Result<RowPage, RowStoreError>> {
    const rows: Row[] = [];
    let first: DecodedPage | undefined;
    let startKey = '';
    for (;;) {
      const from =
        startKey === '' ? '' : `&source=${encodeURIComponent(startKey)}`;
      const path = `/limpetdale/rows-get?table=${table}&part=${from}`;
      const response = await this.call('read', 'GET', path);
      if (!response.ok) return response;
      const {page} = response.value;
      if (first !== undefined && first.era !== page.era) {
        // The pages before this one are of a store that has lost some rows since.
        rows.length = 0;
        first = undefined;
        startKey = '';
        continue;
      }
      rows.push(...page.rows);
      // Rows of this page can change before the next one is read.
      first ??= page;
      if (!page.hasMore || page.rows.length === 0) {
        return success({...page, rows, version: first.version});
      }
      // `source` is an inclusive lower bound; appending a zero byte to the last
      // key gives the next possible key.
      startKey = `${page.rows.at(-1)?.key ?? ''}\0`;
    }
  }

  async followTable(
    table: string,
    afterVersion: number,
    {waitMilliseconds, timeoutMilliseconds}: FollowOptions,
  ): Promise<Result<RowPage, RowStoreError>> {
    const path =
      `/limpetdale/rows-feed?table=${table}` +
      `&after=${afterVersion}&wait_ms=${waitMilliseconds}`;
    const timeout = timeoutMilliseconds ?? this.options.timeoutMilliseconds;
    const response = await this.call('follow', 'GET', path, {
      timeoutMilliseconds: timeout + waitMilliseconds,
    });
    return response.ok ? success(response.value.page) : response;
  }

  async commit(
    changes: readonly RowChange[],
  ): Promise<Result<CommitOutcome, RowStoreError>> {
    const body = {
      // Here `if_revision` lists the expected row versions; in engine orders the
      // field of this name is a single number.
      if_revision: changes
        .filter(change => change.expectedVersion !== undefined)
        .map(change => ({
          table: change.table,
          part: '',
          key: change.key,
          schema_version: change.expectedVersion,
        })),
      set_keys: changes
        .filter(change => change.value !== undefined)
        .map(change => ({
          table: change.table,
          part: '',
          key: change.key,
          value: change.value?.toString('base64'),
        })),
      remove: changes
        .filter(change => change.value === undefined)
        .map(change => ({table: change.table, part: '', key: change.key})),
    };
    const path = '/limpetdale/rows-tx';
    const response = await this.call('commit', 'POST', path, {body});
    if (!response.ok) return response;
    const {status, page} = response.value;
    return success(
      status === STATUS_CONFLICT
        ? {kind: 'conflict', rows: page.rows, era: page.era}
        : {
            kind: 'committed',
            version: page.version,
            era: page.era,
            storeMilliseconds: page.storeMilliseconds,
          },
    );
  }

  private async call(
    step: RowStoreError['step'],
    method: 'GET' | 'POST',
    path: string,
    options: CallOptions = {},
  ): Promise<Result<StoreResponse, RowStoreError>> {
    const {address} = this.options;
    const fail = (
      kind: RowStoreError['kind'],
      reason: string,
      mayHaveHappened: boolean,
    ) => failure({kind, step, peer: address, reason, mayHaveHappened});
    const response = await callHttp({
      address,
      method,
      path,
      agent: this.agent,
      timeoutMilliseconds: this.options.timeoutMilliseconds,
      ...options,
    });
    if (!response.ok) {
      const {reason, mayHaveArrived} = response.error;
      return fail('unavailable', reason, mayHaveArrived);
    }
    const {status} = response.value;
    if (status === 200 || status === STATUS_CONFLICT) {
      const page = decodePage(response.value);
      if (page !== undefined) return success({status, page});
      // A transaction was executed even if its response cannot be parsed.
      return fail('malformed', `${method} ${path}: invalid answer`, true);
    }
    const reason = `${method} ${path}: status ${status}`;
    if (status === STATUS_HISTORY_GONE)
      return fail('history_lost', reason, false);
    return fail('refused', reason, false);
  }
}

/** Options of one call. */
interface CallOptions {
  readonly body?: unknown;
  readonly timeoutMilliseconds?: number;
}

/**
 * Header that rises each time the store comes back from an older copy. Stores without
 * it have one era, 0.
 */
const ERA_HEADER = 'store-era';

const STATUS_CONFLICT = 412;
const STATUS_HISTORY_GONE = 410;

interface DecodedPage extends RowPage {
  readonly hasMore: boolean;
}

interface StoreResponse {
  readonly status: number;
  readonly page: DecodedPage;
}

/**
 * Decodes a page of rows; undefined if it is invalid. `schema_version` is the version of the store or of a
 * row, not of a schema.
 */
function decodePage(response: HttpResponse): DecodedPage | undefined {
  let page: unknown;
  try {
    page = JSON.parse(response.body.toString());
  } catch {
    return undefined;
  }
  if (!isWireObject(page)) return undefined;
  const era = Number(response.headers[ERA_HEADER] ?? 0);
  // Versions of an unknown era can't be compared with any other.
  if (!Number.isSafeInteger(era) || era < 0) return undefined;
  return {
    rows: objectsOf(page['rows']).map(decodeRow),
    version: numberOf(page['schema_version']),
    era,
    storeMilliseconds: numberOf(page['now_ms']),
    hasMore: page['has_more'] === true,
  };
}

function decodeRow(row: WireObject): Row {
  return {
    key: stringOf(row['key']),
    value:
      row['deleted'] === true
        ? undefined
        : Buffer.from(stringOf(row['value']), 'base64'),
    version: numberOf(row['schema_version']),
  };
}
