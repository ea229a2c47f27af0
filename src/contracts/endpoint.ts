import {z} from 'zod';
import {addressSchema, nameSchema} from './_schemas.ts';

/** Wire protocols of endpoints; each has a client in `src/endpoints`. */
export const ENDPOINT_PROTOCOLS = {
  /** Protocol of model engines, see docs/protocols.md. */
  engine: 'limpet-engine-1',
  /** Plain HTTP service. */
  http: 'http',
} as const;

/** Schema of {@link Endpoint}. */
export const endpointSchema = z.strictObject({
  name: nameSchema,
  pool: nameSchema,
  protocol: z.enum(ENDPOINT_PROTOCOLS),
  address: addressSchema,
  dataCentre: nameSchema,
  /** Accelerator memory of an engine; 0 for a service. */
  memoryMegabytes: z.number().nonnegative().default(0),
  /** Whether the engine refuses orders with an outdated fencing token. */
  checksFencing: z.boolean().default(false),
  /** Whether the endpoint is being drained and gets no new requests. */
  leaving: z.boolean().default(false),
});

/** A model engine or an instance of a plain service. */
export type Endpoint = z.infer<typeof endpointSchema>;
