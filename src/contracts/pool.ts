import {z} from 'zod';
import {nameSchema} from './_schemas.ts';

/** Kinds of pools. */
export const POOL_KINDS = {engine: 'engine', service: 'service'} as const;

/** Schema of {@link Pool}. */
export const poolSchema = z.strictObject({
  name: nameSchema,
  kind: z.enum(POOL_KINDS),
  /** Number of loads that the weight store can start per second. */
  storeLoadsPerSecond: z.number().positive().default(3),
  /** Number of concurrent loads that the weight store serves at full speed. */
  storeConcurrentLoads: z.number().int().positive().default(4),
  /** Number of concurrent adapter loads beyond which each takes longer. */
  adapterConcurrentLoads: z.number().int().positive().default(32),
});

/** Endpoints of one kind that share the weight store's limits. */
export type Pool = z.infer<typeof poolSchema>;
