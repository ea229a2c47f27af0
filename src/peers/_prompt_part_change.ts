import {z} from 'zod';

const parts = z.array(z.string());

/** Schema of a change of what is known about parts of prompts. */
export const promptPartChangeSchema = z.discriminatedUnion('kind', [
  /** An endpoint crashed before a request with these parts had begun on it. */
  z.object({
    kind: z.literal('crashed'),
    /** Incarnation of the endpoint. */
    incarnation: z.string(),
    parts: z.array(
      z.object({
        part: z.string(),
        /** Whether the sender knows an earlier success of the part. */
        hasRun: z.boolean(),
      }),
    ),
  }),
  /** A request with these parts has begun after the crash, or an operator released them. */
  z.object({kind: z.literal('cleared'), parts}),
  /** The sender knows successes of these parts before the crash. */
  z.object({kind: z.literal('known'), parts}),
  z.object({
    kind: z.literal('trial_started'),
    host: z.string(),
    /** Incarnation of the endpoint. */
    incarnation: z.string(),
    parts,
  }),
  z.object({kind: z.literal('trial_ended'), host: z.string(), parts}),
  /** An endpoint crashed in a trial; one of the parts has caused it. */
  z.object({
    kind: z.literal('blocked'),
    parts,
    /** Number of blocks of the parts so far. */
    count: z.number().int().positive(),
    milliseconds: z.number().nonnegative(),
  }),
]);
