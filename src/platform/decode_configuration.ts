import {
  callerTimeout,
  type ColdStartConfiguration,
  type DeploymentConfiguration,
  type EnginePoolConfiguration,
  type Route,
  type RouteKind,
  type RouteTarget,
  type ServiceConfiguration,
  type TeamConfiguration,
} from '../deployment/mod.ts';
import {
  coldMillisecondsOf,
  isWireObject,
  numberOf,
  objectsOf,
  stringOf,
  stringsOf,
  type WireObject,
} from './_wire_value.ts';

const ROUTE_KINDS: ReadonlySet<string> = new Set([
  'idempotent',
  'non_idempotent',
  'streaming',
] satisfies RouteKind[]);

/**
 * Decodes the operator's configuration row.
 *
 * @param value Parsed JSON of the row.
 * @returns The configuration; undefined when the document has no version.
 */
export function decodeConfiguration(
  value: unknown,
): DeploymentConfiguration | undefined {
  if (!isWireObject(value) || typeof value['version'] !== 'number') {
    return undefined;
  }
  const limits = isWireObject(value['limits']) ? value['limits'] : {};
  return {
    version: value['version'],
    routes: objectsOf(value['routes']).map(decodeRoute),
    services: new Map(
      objectsOf(value['services']).map(service => [
        stringOf(service['name']),
        decodeService(service),
      ]),
    ),
    limits: {
      bodyBytes: numberOf(limits['max_body_bytes'], 4_194_304),
      headerMilliseconds: numberOf(limits['header_timeout_ms'], 3000),
      idleMilliseconds: numberOf(limits['idle_timeout_ms'], 15_000),
    },
    teams: Array.isArray(value['tenants'])
      ? objectsOf(value['tenants']).map(decodeTeam)
      : undefined,
  };
}

function decodeRoute(route: WireObject): Route {
  const kind = stringOf(route['kind']);
  return {
    name: stringOf(route['name']),
    hostName: stringOf(route['host']).toLowerCase(),
    prefix: stringOf(route['prefix']),
    // Requests of an unknown kind are never retried, which is always safe.
    kind: ROUTE_KINDS.has(kind) ? (kind as RouteKind) : 'non_idempotent',
    timeoutMilliseconds: numberOf(route['timeout_ms'], 30_000),
    objectiveMilliseconds: numberOf(route['target_latency_ms'], 1000),
    priority: numberOf(route['priority'], 5),
    targets: decodeTargets(route),
    maximumAttempts: Math.max(1, numberOf(route['max_attempts'], 1)),
    open: route['public'] === true,
    resumable: route['resumable'] === true,
    callerTimeoutMilliseconds: callerTimeout({
      isStream: kind === 'streaming',
      timeoutMilliseconds: numberOf(route['timeout_ms'], 30_000),
      objectiveMilliseconds: numberOf(route['target_latency_ms']),
      pauseMilliseconds: numberOf(route['gap_target_ms']),
    }),
  };
}

/** A route has either a single `service` or a weighted `traffic_split`. */
function decodeTargets(route: WireObject): readonly RouteTarget[] {
  const split = objectsOf(route['traffic_split']);
  if (split.length === 0) {
    return [{service: stringOf(route['service']), weight: 1}];
  }
  return split.map(target => ({
    service: stringOf(target['service']),
    weight: numberOf(target['weight']),
  }));
}

function decodeService(service: WireObject): ServiceConfiguration {
  const engine = service['engine'];
  return {
    name: stringOf(service['name']),
    connectionLimit: numberOf(service['connection_limit'], 100),
    engines: isWireObject(engine) ? decodeEnginePool(engine) : undefined,
    coldStart: decodeColdStart(service),
  };
}

function decodeColdStart(
  service: WireObject,
): ColdStartConfiguration | undefined {
  const durationMilliseconds = coldMillisecondsOf(
    numberOf(service['cold_start_s']) * 1000,
  );
  const requestsPerSecond = numberOf(service['cold_per_s']);
  return durationMilliseconds > 0 && requestsPerSecond > 0
    ? {durationMilliseconds, requestsPerSecond}
    : undefined;
}

function decodeEnginePool(engine: WireObject): EnginePoolConfiguration {
  return {
    slots: numberOf(engine['slots'], 1),
    weightsMegabytes: numberOf(engine['weights_mb']),
    adapterCapacity: numberOf(engine['adapter_capacity']),
    loadsPerSecond: numberOf(engine['loads_per_s'], 1),
    models: new Map(
      objectsOf(engine['models']).map(model => {
        const remoteLoadMilliseconds =
          numberOf(model['load_time_s'], 10) * 1000;
        return [
          stringOf(model['name']),
          {
            name: stringOf(model['name']),
            weightsMegabytes: numberOf(model['weights_mb']),
            adapterMegabytes: numberOf(model['adapter_mb']),
            remoteLoadMilliseconds,
            diskLoadMilliseconds:
              numberOf(model['disk_s'], remoteLoadMilliseconds / 1000) * 1000,
            // `warm_s` is the time to load from main memory; it does not refer
            // to a replica that is already running.
            memoryLoadMilliseconds:
              numberOf(model['warm_s'], remoteLoadMilliseconds / 1000) * 1000,
          },
        ];
      }),
    ),
  };
}

function decodeTeam(team: WireObject): TeamConfiguration {
  return {
    name: stringOf(team['name']),
    keys: stringsOf(team['api_keys']),
    priority:
      typeof team['priority'] === 'number' ? team['priority'] : undefined,
    unit: team['unit'] === 'tokens' ? 'tokens' : 'requests',
    // Despite its name, `plain_tokens` is the cost of any request that states
    // no token counts.
    defaultTokens: numberOf(team['plain_tokens'], 1),
    ratePerSecond: numberOf(team['rate_per_s']),
    burst: numberOf(team['burst']),
  };
}
