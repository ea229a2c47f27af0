import type {Change} from '../src/contracts/mod.ts';

/** Addresses of the demo's endpoints. */
export interface DemoEndpoints {
  readonly engines: readonly string[];
  readonly services: readonly string[];
}

const DATA_CENTRES = ['istanbul-1', 'istanbul-2', 'istanbul-3'] as const;

/** Returns the changes that configure the demo's deployment, without keys. */
export function demoChanges(endpoints: DemoEndpoints): Change[] {
  return [
    {
      kind: 'put_pool',
      pool: {
        name: 'serving',
        kind: 'engine',
        storeLoadsPerSecond: 3,
        storeConcurrentLoads: 4,
        adapterConcurrentLoads: 32,
      },
    },
    {
      kind: 'put_pool',
      pool: {
        name: 'catalogue',
        kind: 'service',
        storeLoadsPerSecond: 3,
        storeConcurrentLoads: 4,
        adapterConcurrentLoads: 32,
      },
    },
    ...endpoints.engines.map((address, index): Change => ({
      kind: 'put_endpoint',
      endpoint: {
        name: `engine-${index + 1}`,
        pool: 'serving',
        protocol: 'limpet-engine-1',
        address,
        dataCentre: DATA_CENTRES[index % DATA_CENTRES.length]!,
        memoryMegabytes: 80_000,
        checksFencing: true,
        leaving: false,
      },
    })),
    ...endpoints.services.map((address, index): Change => ({
      kind: 'put_endpoint',
      endpoint: {
        name: `catalogue-${index + 1}`,
        pool: 'catalogue',
        protocol: 'http',
        address,
        dataCentre: DATA_CENTRES[index % DATA_CENTRES.length]!,
        memoryMegabytes: 0,
        checksFencing: false,
        leaving: false,
      },
    })),
    {
      kind: 'put_model',
      model: {
        name: 'veneer-assistant',
        pool: 'serving',
        version: '1',
        memoryMegabytes: 30_000,
        loadMilliseconds: {memory: 60, disk: 300, remote: 1000},
        maximumReplicas: 2,
      },
    },
    {
      kind: 'put_adapter',
      adapter: {
        name: 'walnut-figure',
        baseModel: 'veneer-assistant',
        version: '1',
        memoryMegabytes: 200,
        loadMilliseconds: 8,
      },
    },
    {
      kind: 'put_route',
      route: {
        name: 'catalogue',
        pool: 'catalogue',
        open: false,
        rules: [{methods: ['POST'], pathPrefix: '/stock', repeatable: true}],
        timeoutMilliseconds: 10_000,
        maximumBodyBytes: 1_048_576,
        tokensPerCall: 1,
      },
    },
    {
      kind: 'put_contract',
      contract: {
        team: 'workshop',
        models: ['veneer-assistant'],
        adapters: ['walnut-figure'],
        services: ['catalogue'],
        tokensPerSecond: 1000,
        burstTokens: 5000,
        weight: 1,
        maximumReplicas: 2,
        endsAt: null,
      },
    },
  ];
}
