import {z} from 'zod';
import {nameSchema, type revisionSchema} from './_schemas.ts';

/** Schema of {@link Contract}. */
export const contractSchema = z.strictObject({
  team: nameSchema,
  /** Models the team may call. */
  models: z.array(nameSchema),
  /** Adapters the team may call. */
  adapters: z.array(nameSchema),
  /** Services the team may call. */
  services: z.array(nameSchema),
  /** Rate of the token bucket, in tokens per second. */
  tokensPerSecond: z.number().positive(),
  /** Size of the token bucket, in tokens. */
  burstTokens: z.number().positive(),
  /** Weight in fair queuing, relative to the other teams. */
  weight: z.number().positive().default(1),
  /** Maximum number of replicas of one model under this contract. */
  maximumReplicas: z.number().int().positive().default(1),
  /** Time at which the contract ends; null if it does not end. */
  endsAt: z.iso.datetime().nullable().default(null),
});

/** Terms agreed with one team: what it may call, and its limits. */
export type Contract = z.infer<typeof contractSchema>;

/** A stored entity with the log version at which it was last set. */
export type Revised<Entity> = Entity & z.infer<typeof revisionSchema>;
