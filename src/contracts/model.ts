import {z} from 'zod';
import {nameSchema} from './_schemas.ts';

/** Storage tiers from which an engine may load a checkpoint. */
export const CHECKPOINT_TIERS = {
  memory: 'memory',
  disk: 'disk',
  remote: 'remote',
} as const;

/** One of {@link CHECKPOINT_TIERS}. */
export type CheckpointTier =
  (typeof CHECKPOINT_TIERS)[keyof typeof CHECKPOINT_TIERS];

/** Schema of {@link Model}. */
export const modelSchema = z.strictObject({
  name: nameSchema,
  pool: nameSchema,
  version: z.string().min(1).default('1'),
  memoryMegabytes: z.number().positive(),
  /** Expected load time from each tier at full speed, in milliseconds. */
  loadMilliseconds: z
    .strictObject({
      memory: z.number().positive(),
      disk: z.number().positive(),
      remote: z.number().positive(),
    })
    .default({memory: 300, disk: 1500, remote: 4000}),
  /** Maximum number of replicas of this model. */
  maximumReplicas: z.number().int().positive().default(1),
});

/** A model that engines of one pool can load. */
export type Model = z.infer<typeof modelSchema>;
