import type {
  DeploymentConfiguration,
  EndpointRecord,
} from '../deployment/mod.ts';
import type {EngineControl} from '../engines/mod.ts';
import type {WireFormat} from '../relay/mod.ts';
import type {RowStore} from '../stores/mod.ts';

/** A query for the addresses of hosts. */
export interface AddressQuery {
  /** Host name to resolve. */
  readonly hostName: string;
  readonly dataCentre: string;
}

/** Everything that differs between platforms: names, formats and calls. */
export interface PlatformAdapter {
  readonly store: RowStore;
  readonly engines: EngineControl;
  readonly wireFormat: WireFormat;
  /** Table with the operator's configuration, and its row key below. */
  readonly configurationTable: string;
  readonly configurationKey: string;
  /**
   * Returns the data centre that a row of the configuration table evacuates, whatever
   * its value; undefined if the row is not about an evacuation.
   */
  decodeEvacuation(key: string): string | undefined;
  /** Table in which endpoints register. */
  readonly endpointTable: string;
  /** Path of the readiness check. */
  readonly readinessPath: string;
  /** @returns Undefined if the row contains no valid configuration. */
  decodeConfiguration(value: Buffer): DeploymentConfiguration | undefined;
  /** @returns Undefined if the row describes no usable endpoint. */
  decodeEndpoint(
    id: string,
    version: number,
    value: Buffer,
  ): EndpointRecord | undefined;
  /** @returns Undefined if the URL is not an address query. */
  parseAddressQuery(url: string): AddressQuery | undefined;
  /** Returns the response to an address query; it is sent as JSON. */
  createAddressResponse(
    addresses: readonly string[],
    lifetimeMilliseconds: number,
  ): unknown;
}
