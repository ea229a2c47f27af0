import {z} from 'zod';
import {addressSchema, nameSchema} from '../contracts/mod.ts';

const listenSchema = z.strictObject({
  /** IP address to listen on. */
  address: z.union([z.ipv4(), z.ipv6()]),
  /** Port to listen on; 0 for any free port. */
  port: z.number().int().min(0).max(65_535),
});

const milliseconds = z.number().int().positive();

const webSocketAddressSchema = z
  .string()
  .regex(
    /^wss?:\/\/[^/\s]+$/,
    'must be an address such as "ws://10.0.0.1:7200"',
  );

/** Schema of {@link Settings}. */
export const settingsSchema = z.strictObject({
  hostId: nameSchema.describe('Unique name of the host.'),
  deployment: nameSchema.describe(
    'Name of the deployment; peers of other deployments are rejected.',
  ),
  dataCentre: nameSchema.describe('Data centre in which the host runs.'),
  callers: z
    .strictObject({
      listen: listenSchema,
      advertise: addressSchema
        .optional()
        .describe(
          'Address announced to callers. Default: from `listen` and the bound port.',
        ),
      maximumBodyBytes: z
        .number()
        .int()
        .positive()
        .default(4_194_304)
        .describe('Maximum body size of a model request, in bytes.'),
      maximumConcurrentRuns: z
        .number()
        .int()
        .positive()
        .default(512)
        .describe(
          'Maximum number of concurrent model requests of this host per pool; further requests are queued fairly between teams.',
        ),
      requestTimeoutMilliseconds: milliseconds
        .default(60_000)
        .describe('Default timeout of a model request, in milliseconds.'),
      addressTimeToLiveMilliseconds: milliseconds
        .default(10_000)
        .describe(
          'Time for which callers may cache an address response, in ms.',
        ),
    })
    .describe('HTTP interface for callers.'),
  operators: z
    .strictObject({
      listen: listenSchema,
      tokenDigests: z
        .array(z.string().regex(/^[0-9a-f]{64}$/, 'must be SHA-256 in hex'))
        .min(1)
        .describe('SHA-256 digests of the operators’ tokens.'),
    })
    .describe('HTTP interface for operators.'),
  peers: z
    .strictObject({
      listen: listenSchema,
      advertise: webSocketAddressSchema
        .optional()
        .describe(
          'Address announced to peers. Default: from `listen` and the bound port.',
        ),
      seeds: z
        .array(webSocketAddressSchema)
        .default([])
        .describe(
          'Addresses of some other hosts, from which all hosts are discovered.',
        ),
    })
    .describe('Connections to the other hosts.'),
  platform: z
    .strictObject({
      table: addressSchema.describe('Address of the table service.'),
      objectStore: addressSchema.describe('Address of the object store.'),
      weightStore: addressSchema.describe('Address of the weight store.'),
      hostList: addressSchema.describe('Address of the host list.'),
      timeoutMilliseconds: milliseconds
        .default(3000)
        .describe(
          'Timeout of a request to a platform service, in milliseconds.',
        ),
      tableReadsPerSecond: z
        .number()
        .positive()
        .default(250)
        .describe(
          'Maximum number of table rows that this host reads per second.',
        ),
      tableWritesPerSecond: z
        .number()
        .positive()
        .default(60)
        .describe(
          'Maximum number of table rows that this host writes per second.',
        ),
    })
    .describe('The platform’s services.'),
  viewTimeoutMilliseconds: z
    .number()
    .int()
    .min(500)
    .max(5000)
    .default(3000)
    .describe(
      'Time for which evidence confirms a view, in ms; T in docs/design.md.',
    ),
  endpoints: z
    .strictObject({
      connectMilliseconds: milliseconds
        .default(1000)
        .describe('Timeout for connecting to an endpoint, in ms.'),
      progressMilliseconds: milliseconds
        .default(1500)
        .describe(
          'Time without received data after which a connection to an endpoint is closed, in ms.',
        ),
    })
    .default({connectMilliseconds: 1000, progressMilliseconds: 1500})
    .describe('Connections to endpoints.'),
  drainTimeoutMilliseconds: milliseconds
    .default(120_000)
    .describe('Maximum duration of a graceful shutdown, in milliseconds.'),
  log: z
    .strictObject({
      level: z
        .enum(['debug', 'info', 'warn', 'error'])
        .default('info')
        .describe('Minimum level of events that are written.'),
    })
    .default({level: 'info'})
    .describe('Event log on standard error.'),
});

/** Settings of one host, from its JSON file. */
export type Settings = z.infer<typeof settingsSchema>;
