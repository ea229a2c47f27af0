import type {Container, ServiceIdentifier} from 'inversify';
import {ChangeLog} from '../contracts/mod.ts';
import {
  RateLimitedTableService,
  type HostList,
  HttpHostList,
  HttpObjectStore,
  HttpTableService,
  type ObjectStore,
  type TableService,
  TransactionWriter,
} from '../stores/mod.ts';
import type {HostContext} from './host_context.ts';

/** Binding identifiers of the platform's services, which are interfaces. */
export const PLATFORM = {
  /** Table access for leases, members, configuration and orders. */
  controlTable: Symbol('ControlTable') as ServiceIdentifier<TableService>,
  /**
   * Table access for idempotency claims, with its own budget so that requests
   * cannot exhaust the budget of the control plane.
   */
  requestTable: Symbol('RequestTable') as ServiceIdentifier<TableService>,
  objectStore: Symbol('ObjectStore') as ServiceIdentifier<ObjectStore>,
  hostList: Symbol('HostList') as ServiceIdentifier<HostList>,
  controlWriter: Symbol(
    'ControlWriter',
  ) as ServiceIdentifier<TransactionWriter>,
  requestWriter: Symbol(
    'RequestWriter',
  ) as ServiceIdentifier<TransactionWriter>,
} as const;

const TABLE_BUDGET = {
  /** Share of a host's table operations that is reserved for control data. */
  controlShare: 0.4,
} as const;

/** Binds the clients of the platform's services, and the change log. */
export function bindPlatform(container: Container, context: HostContext): void {
  const {clock, logger, settings} = context;
  const {platform} = settings;
  const {timeoutMilliseconds} = platform;
  const {controlShare} = TABLE_BUDGET;
  container
    .bind(PLATFORM.controlTable)
    .toDynamicValue(() => createTable(context, 'control', controlShare));
  container
    .bind(PLATFORM.requestTable)
    .toDynamicValue(() => createTable(context, 'requests', 1 - controlShare));
  container.bind(PLATFORM.objectStore).toDynamicValue(
    () =>
      new HttpObjectStore({
        address: platform.objectStore,
        timeoutMilliseconds,
      }),
  );
  container
    .bind(PLATFORM.hostList)
    .toDynamicValue(
      () => new HttpHostList({address: platform.hostList, timeoutMilliseconds}),
    );
  container
    .bind(PLATFORM.controlWriter)
    .toResolvedValue(
      (table: TableService) => new TransactionWriter({table, clock, logger}),
      [PLATFORM.controlTable],
    );
  container
    .bind(PLATFORM.requestWriter)
    .toResolvedValue(
      (table: TableService) => new TransactionWriter({table, clock, logger}),
      [PLATFORM.requestTable],
    );
  container
    .bind(ChangeLog)
    .toResolvedValue(
      (
        table: TableService,
        objectStore: ObjectStore,
        writer: TransactionWriter,
      ) => new ChangeLog({table, objectStore, writer, clock, logger}),
      [PLATFORM.controlTable, PLATFORM.objectStore, PLATFORM.controlWriter],
    );
}

function createTable(
  context: HostContext,
  purpose: string,
  share: number,
): TableService {
  const {clock, metrics, settings} = context;
  const {platform} = settings;
  return new RateLimitedTableService({
    table: new HttpTableService({
      address: platform.table,
      timeoutMilliseconds: platform.timeoutMilliseconds,
    }),
    clock,
    metrics,
    purpose,
    readsPerSecond: platform.tableReadsPerSecond * share,
    writesPerSecond: platform.tableWritesPerSecond * share,
  });
}
