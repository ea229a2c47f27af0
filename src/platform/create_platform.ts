import type {AddressQuery, PlatformAdapter} from '../entry/mod.ts';
import {decodeConfiguration} from './decode_configuration.ts';
import {decodeEndpoint} from './decode_endpoint.ts';
import {EngineClient} from './engine_client.ts';
import {PLATFORM_WIRE_FORMAT} from './platform_wire_format.ts';
import {StoreClient, type StoreClientOptions} from './store_client.ts';

const ADDRESS_PATH = '/limpetdale/resolution';

/** Prefix of the operator's rows that evacuate a data centre. */
const EVACUATION_PREFIX = 'evacuate/';

/** Creates the adapter for a platform; `options` locate its store. */
export function createPlatform(options: StoreClientOptions): PlatformAdapter {
  return {
    store: new StoreClient(options),
    engines: new EngineClient(),
    wireFormat: PLATFORM_WIRE_FORMAT,
    configurationTable: 'op',
    configurationKey: 'config',
    decodeEvacuation,
    endpointTable: 'servers',
    readinessPath: '/limpetdale/readiness',
    decodeConfiguration: value => decodeConfiguration(parse(value)),
    decodeEndpoint: (id, version, value) =>
      decodeEndpoint(id, version, parse(value)),
    parseAddressQuery,
    // `ttl_s` is in seconds, unlike most times on the wire.
    createAddressResponse: (addresses, lifetimeMilliseconds) => ({
      addresses,
      ttl_s: lifetimeMilliseconds / 1000,
    }),
  };
}

function decodeEvacuation(key: string): string | undefined {
  if (!key.startsWith(EVACUATION_PREFIX)) return undefined;
  const dataCentre = key.slice(EVACUATION_PREFIX.length);
  return dataCentre === '' ? undefined : dataCentre;
}

function parseAddressQuery(url: string): AddressQuery | undefined {
  const {pathname, searchParams} = new URL(url, 'http://host');
  if (pathname !== ADDRESS_PATH) return undefined;
  return {
    // `name` is the host name to resolve, not the name of the caller.
    hostName: searchParams.get('name') ?? '',
    dataCentre: searchParams.get('zone') ?? '',
  };
}

/** Parses JSON; undefined if other writers of the table left invalid JSON. */
function parse(value: Buffer): unknown {
  try {
    return JSON.parse(value.toString()) as unknown;
  } catch {
    return undefined;
  }
}
