import {z} from 'zod';
import {isSocketAddress} from '../exchange/mod.ts';

const addressSchema = z
  .string()
  .refine(isSocketAddress, 'must be an IP address and a port');

const milliseconds = z.number().int().nonnegative();

/** Schema of {@link EntrySettings}. */
export const entrySettingsSchema = z.object({
  hostId: z.string().min(1).describe('Unique name of the host.'),
  dataCentre: z.string().describe('Data centre of the host.'),
  address: z.ipv4().describe('IP address of the host.'),
  callers: addressSchema.describe('Address on which callers connect.'),
  readiness: addressSchema.describe('Address of the readiness check.'),
  directory: addressSchema.describe(
    'Address on which callers look up the addresses of hosts.',
  ),
  peerPort: z
    .number()
    .int()
    .min(1)
    .max(65_535)
    .describe('Port for connections between hosts.'),
  metricsPort: z
    .number()
    .int()
    .min(0)
    .max(65_535)
    .default(9464)
    .describe('Port of the metrics page; 0 for any.'),
  isFirstStart: z
    .boolean()
    .describe('Whether the whole deployment starts for the first time.'),
  registrationMilliseconds: milliseconds
    .default(900)
    .describe(
      'Time for all hosts of a new deployment to register before their list is read; they start within 0.3 s of each other.',
    ),
  store: addressSchema.describe('Address of the metadata store.'),
  storeTimeoutMilliseconds: milliseconds
    .default(900)
    .describe('Time-out of calls to the store.'),
  graceSeconds: z
    .number()
    .positive()
    .describe('Time between the signal to stop and the kill.'),
  addressLifetimeMilliseconds: milliseconds
    .default(1000)
    .describe('Time for which callers may cache the addresses of hosts.'),
  orderTurnMilliseconds: milliseconds.describe(
    'Time that must pass between the orders of two hosts to one engine.',
  ),
  drainMilliseconds: milliseconds
    .default(2000)
    .describe('Time within which a leaving endpoint must get no new requests.'),
  configurationMilliseconds: milliseconds
    .default(2000)
    .describe('Time within which a new configuration must be applied.'),
  balancing: z
    .enum(['least_loaded', 'even'])
    .optional()
    .describe(
      'How endpoints are chosen: `least_loaded` takes the one with the lowest known load, `even` also takes into account what other hosts have probably sent since. `least_loaded` unless the deployment calls for `even`.',
    ),
  processor: z
    .object({share: z.number().positive(), speed: z.number().positive()})
    .default({share: 1, speed: 1})
    .describe(
      'Share of a core that the host may use, and the speed of the core relative to a usual one.',
    ),
  memoryMegabytes: z
    .number()
    .positive()
    .default(350)
    .describe(
      'Memory that the process may use, in MB. `LIMPETDALE_MEMORY_MB` in the environment replaces it.',
    ),
  linkMegabits: z
    .number()
    .positive()
    .default(1000)
    .describe('Bandwidth of the network link of the host, in Mbit/s.'),
  agreements: z
    .array(z.string())
    .default([])
    .describe(
      'What the platform has agreed for the deployment; switches on the features that it calls for unless a setting names them. `LIMPETDALE_AGREEMENTS` in the environment replaces it, separated by commas.',
    ),
  handover: z
    .enum(['pool', 'engine'])
    .optional()
    .describe(
      'Whether the time between the orders of two managers is kept for the whole pool or for each engine; `pool` unless the deployment calls for `engine`.',
    ),
  unservedRequests: z
    .enum(['charged', 'refunded'])
    .optional()
    .describe(
      'Whether a request that no endpoint has run counts towards the rate of its team; `charged` unless the deployment calls for `refunded`.',
    ),
  replicaLoads: z
    .enum(['successive', 'parallel'])
    .optional()
    .describe(
      'Whether the replicas that a model lacks are loaded one after the other or at the same time; `successive` unless the deployment calls for `parallel`.',
    ),
  retries: z
    .object({
      ratio: z.number().nonnegative(),
      slack: z.number().nonnegative(),
      windowSeconds: z.number().positive(),
    })
    .describe('Retries allowed over all hosts.'),
  admission: z
    .enum(['immediate', 'ordered'])
    .optional()
    .describe(
      'When requests for loaded models are sent: `immediate` (at once) or `ordered` (while engines are full they wait in the hosts, the most urgent first). `immediate` unless the deployment calls for `ordered`.',
    ),
  coldEngines: z
    .object({
      overrun: z.number().positive().default(1),
      slack: z.number().nonnegative().default(0),
    })
    .default({overrun: 1, slack: 0})
    .describe(
      'Requests that a cold endpoint may get in any one second: its requests a second times `overrun`, plus `slack`. `LIMPETDALE_COLD_OVERRUN` and `LIMPETDALE_COLD_SLACK` in the environment replace them.',
    ),
  log: z
    .object({
      servedLinesPerSecond: z.number().int().positive().default(40),
      otherLinesPerSecond: z.number().int().positive().default(200),
    })
    .default({servedLinesPerSecond: 40, otherLinesPerSecond: 200})
    .describe('Rate limits of log lines.'),
});

/** Settings of an entry host on the users' platform. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>;

/** Settings that a deployment can call for without naming them. */
export type EntryFeatures = Pick<
  EntrySettings,
  'admission' | 'balancing' | 'handover' | 'replicaLoads' | 'unservedRequests'
>;
