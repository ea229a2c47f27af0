/**
 * Operators' client.
 *
 * @module
 */
export {
  CLIENT_EXIT_CODES,
  type OperatorClientOptions,
  runOperatorClient,
} from './operator_client.ts';
export {
  type OperatorResponse,
  OperatorConnection,
  type OperatorConnectionOptions,
} from './operator_connection.ts';
