import type {
  DeploymentConfiguration,
  EndpointRecord,
} from '../deployment/mod.ts';
import type {EngineControl} from '../engines/mod.ts';
import type {WireFormat} from '../relay/mod.ts';
import type {RowStore} from '../stores/mod.ts';

/** A call of the address look-up. */
export interface AddressQuery {
  /** Host name that the caller wants to reach. */
  readonly hostName: string;
  readonly dataCentre: string;
}

/** Everything that differs between platforms: names, formats and calls. */
export interface PlatformAdapter {
  readonly store: RowStore;
  readonly engines: EngineControl;
  readonly wireFormat: WireFormat;
  /** Table and key of the operator's configuration. */
  readonly configurationTable: string;
  readonly configurationKey: string;
  /** Table in which endpoints register themselves. */
  readonly endpointTable: string;
  /** Path of the readiness check. */
  readonly readinessPath: string;
  /** @returns Undefined when the row holds no configuration. */
  decodeConfiguration(value: Buffer): DeploymentConfiguration | undefined;
  /** @returns Undefined when the row names no usable endpoint. */
  decodeEndpoint(
    id: string,
    version: number,
    value: Buffer,
  ): EndpointRecord | undefined;
  /** @returns Undefined when the path is no address look-up. */
  parseAddressQuery(url: string): AddressQuery | undefined;
  /** Answer of the address look-up. */
  createAddressResponse(
    addresses: readonly string[],
    lifetimeMilliseconds: number,
  ): unknown;
}
