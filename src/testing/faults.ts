import {z} from 'zod';

/** Schema of {@link Faults}. */
export const faultsSchema = z.strictObject({
  /** Milliseconds by which each answer is delayed. */
  delayMilliseconds: z.number().nonnegative().default(0),
  /** Refuses each request with status 503 before it has any effect. */
  down: z.boolean().default(false),
  /** Reads requests and never answers; they have no effect. */
  silent: z.boolean().default(false),
  /** Share of answers lost after the request took effect, 0 to 1. */
  loseAnswers: z.number().min(0).max(1).default(0),
});

/** Faults that a stand-in shows. */
export type Faults = z.infer<typeof faultsSchema>;

/** A stand-in without faults. */
export const NO_FAULTS: Faults = faultsSchema.parse({});
