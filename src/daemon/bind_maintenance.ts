import type {Container} from 'inversify';
import {CHANGE_PREFIX, ChangeLog, LogCompactor} from '../contracts/mod.ts';
import {Membership} from '../membership/mod.ts';
import type {TransactionWriter} from '../stores/mod.ts';
import {
  TRANSACTION_MARKER_PREFIX,
  type ObjectStore,
  ExpiredRowRemover,
  type TableService,
} from '../stores/mod.ts';
import {RequestPath} from '../requests/mod.ts';
import {PLATFORM} from './bind_platform.ts';
import type {HostContext} from './host_context.ts';
import {Maintenance} from './maintenance.ts';

/** Time during which an operator may resend a change under the same id. */
const CHANGE_ID_RETENTION_MILLISECONDS = 86_400_000;

/** Binds the periodic compaction of the log and clean-up of the table. */
export function bindMaintenance(
  container: Container,
  context: HostContext,
): void {
  const {clock, logger, self} = context;
  container.bind(Maintenance).toResolvedValue(
    (
      changeLog: ChangeLog,
      table: TableService,
      objectStore: ObjectStore,
      writer: TransactionWriter,
      membership: Membership,
      requestPath: RequestPath,
    ) =>
      new Maintenance({
        context,
        changeLog,
        membership,
        compactor: new LogCompactor({
          hostId: self.hostId,
          changeLog,
          table,
          objectStore,
          writer,
          clock,
          logger,
        }),
        removers: [
          new ExpiredRowRemover({
            table,
            clock,
            prefix: TRANSACTION_MARKER_PREFIX,
          }),
          new ExpiredRowRemover({
            table,
            clock,
            prefix: CHANGE_PREFIX,
            ageMilliseconds: CHANGE_ID_RETENTION_MILLISECONDS,
          }),
        ],
        requestPath,
      }),
    [
      ChangeLog,
      PLATFORM.controlTable,
      PLATFORM.objectStore,
      PLATFORM.controlWriter,
      Membership,
      RequestPath,
    ],
  );
}
