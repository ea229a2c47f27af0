/**
 * HTTP applications for callers and operators.
 *
 * @module
 */
export {
  type AddressOrderOptions,
  type HostAddress,
  orderAddresses,
} from './order_addresses.ts';
export {
  type CallerApplicationOptions,
  createCallerApplication,
} from './caller_application.ts';
export {
  closeGracefully,
  type CloseOptions,
  trackConnections,
} from './close_gracefully.ts';
export {
  createOperatorApplication,
  type OperatorApplicationOptions,
  type OperatorChangeResult,
} from './operator_application.ts';
