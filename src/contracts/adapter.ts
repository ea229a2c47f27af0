import {z} from 'zod';
import {nameSchema} from './_schemas.ts';

/** Schema of {@link Adapter}. */
export const adapterSchema = z.strictObject({
  name: nameSchema,
  baseModel: nameSchema,
  version: z.string().min(1).default('1'),
  memoryMegabytes: z.number().positive(),
  loadMilliseconds: z.number().positive().default(8),
});

/** An adapter, which is loaded in addition to its base model. */
export type Adapter = z.infer<typeof adapterSchema>;
